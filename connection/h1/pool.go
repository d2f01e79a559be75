// Package h1 is an HTTP/1.1 client with a pool of persistent connections to
// targets. It exposes what net/http doesn't: how long a connection was idle,
// whether it received unsolicited bytes, and whether any byte of a failed
// request was written. Requests that may run at most once depend on all three.
package h1

import (
	"bufio"
	"context"
	"errors"
	"expvar"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/internal/sock"
)

const (
	// defaultConnectTimeout allows for one lost packet: round trips take up to
	// 3 ms, a target takes 1 ms to accept, and TCP retransmits after 200 ms or
	// more.
	defaultConnectTimeout = 300 * time.Millisecond
	// defaultUserTimeout limits how long sent bytes may stay unacknowledged.
	defaultUserTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout limits the idle time of a reused connection when the
	// target states no keep-alive time.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of the stated keep-alive time in which a
	// connection is reused. The margin, 1 s of 10 s, prevents a request from
	// being sent while the target closes the connection.
	idleTimeoutShare = 0.9
	// recentLimit limits the idle time of a connection for ReuseRecent when the
	// target states no keep-alive time.
	recentLimit = time.Second
	// defaultMaxIdle limits the idle connections per target.
	defaultMaxIdle = 16
)

// Options configures a Pool. Zero values select the defaults.
type Options struct {
	ConnectTimeout time.Duration // time limit for connecting; default 300ms
	UserTimeout    time.Duration // TCP_USER_TIMEOUT; default 1.5s
	MaxIdle        int           // idle connections per target; default 16
	// KeepAlive configures TCP keep-alive probes. With probes,
	// TCP_USER_TIMEOUT also closes dead connections that only wait for a
	// response and have no unacknowledged data.
	KeepAlive net.KeepAliveConfig
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

var counts = expvar.NewMap("h1")

// Pool sends requests over pooled connections. It is safe for concurrent use.
type Pool struct {
	opts Options

	endings *endings

	mu      sync.Mutex
	idle    map[string][]*conn   // by Key, most recently used last
	retired map[string]time.Time // by Key; connections dialed up to this time aren't reused
}

// conn is a connection. It is owned by one exchange, or by the pool while idle.
type conn struct {
	net.Conn
	key         string
	local       string // address of this end, for log lines
	history     history
	head        *headReader // source of reader
	reader      *bufio.Reader
	dialed      time.Time
	lastUsed    time.Time     // end of the last exchange
	idleTimeout time.Duration // derived from the target's keep-alive time; 0 if it stated none
}

// New returns a Pool.
func New(o Options) *Pool {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.UserTimeout <= 0 {
		o.UserTimeout = defaultUserTimeout
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = defaultMaxIdle
	}
	if o.Dial == nil {
		o.Dial = dialWithin(&net.Dialer{KeepAliveConfig: o.KeepAlive, Control: sock.UserTimeout(o.UserTimeout)}, o.ConnectTimeout)
	}
	p := &Pool{opts: o, idle: make(map[string][]*conn), retired: make(map[string]time.Time)}
	p.endings = newEndings(func(addr string) error { return p.Probe(context.Background(), addr) })
	return p
}

// ErrConnect is wrapped by the errors of requests for which no connection could
// be established.
var ErrConnect = errors.New("can't connect")

// acquire returns an idle connection to the target that is still usable, or
// dials a new one.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	key := Key(r.Addr, r.Target)
	for r.Reuse != ReuseNever {
		c := p.popIdle(key, r.Name)
		if c == nil {
			break
		}
		if c.usable(time.Now(), r.Reuse) {
			counts.Add("reused", 1)
			return c, nil
		}
		_ = c.Close()
	}
	counts.Add("dials", 1)
	dialed := time.Now()
	raw, err := p.opts.Dial(ctx, r.Addr)
	if err != nil {
		return nil, fmt.Errorf("h1: %w: %w", ErrConnect, err)
	}
	p.endings.sawLife(r.Addr)
	head := &headReader{src: raw}
	return &conn{Conn: raw, key: key, local: raw.LocalAddr().String(), head: head, reader: bufio.NewReader(head), dialed: dialed}, nil
}

// Probe connects to an address and closes the connection.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	counts.Add("probes", 1)
	c, err := p.opts.Dial(ctx, addr)
	if err != nil {
		return fmt.Errorf("h1: %w: %w", ErrConnect, err)
	}
	p.endings.sawLife(addr)
	return c.Close()
}

// popIdle removes and returns the most recently used idle connection that hasn't
// carried a request of that name, or nil.
func (p *Pool) popIdle(key, name string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !c.history.carried(name) {
			p.idle[key] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// usable reports whether an idle connection may carry a request. It rejects a
// connection
//
//   - that the target has closed, since the request would be lost, also one that
//     may not be retried,
//   - that received unsolicited bytes, since these would be taken for the next
//     response,
//   - that the target's idle timeout is about to close.
func (c *conn) usable(now time.Time, reuse Reuse) bool {
	return now.Sub(c.lastUsed) < c.idleLimit(reuse) && c.reader.Buffered() == 0 && openAndEmpty(c.Conn)
}

// idleLimit returns the idle time from which the connection isn't reused.
func (c *conn) idleLimit(reuse Reuse) time.Duration {
	switch {
	case c.idleTimeout > 0:
		return c.idleTimeout
	case reuse == ReuseRecent:
		return recentLimit
	}
	return defaultIdleTimeout
}

// HasIdle reports whether there is an idle connection to the target that is
// recent enough for reuse. It doesn't check the state of the connection.
func (p *Pool) HasIdle(addr, target string, reuse Reuse) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[Key(addr, target)]
	if len(list) == 0 {
		return false
	}
	c := list[len(list)-1]
	return now.Sub(c.lastUsed) < c.idleLimit(reuse)
}

// IdleKeys returns the keys of the targets with idle connections, most recently
// used first.
func (p *Pool) IdleKeys() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]string, 0, len(p.idle))
	for key, list := range p.idle {
		if len(list) > 0 {
			out = append(out, key)
		}
	}
	used := func(key string) time.Time {
		list := p.idle[key]
		return list[len(list)-1].lastUsed
	}
	slices.SortFunc(out, func(a, b string) int { return used(b).Compare(used(a)) })
	return out
}

// putIdle returns a connection to the pool after a complete exchange.
func (p *Pool) putIdle(c *conn, keepAlive time.Duration) {
	c.lastUsed = time.Now()
	if keepAlive > 0 {
		c.idleTimeout = time.Duration(float64(keepAlive) * idleTimeoutShare)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addIdle(c)
}

// addIdle adds a connection to the idle ones. Callers hold p.mu.
func (p *Pool) addIdle(c *conn) {
	if retired, ok := p.retired[c.key]; ok && !c.dialed.After(retired) {
		_ = c.Close()
		return
	}
	list := p.idle[c.key]
	if len(list) >= p.opts.MaxIdle {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[c.key] = append(list, c)
}

// putBack returns a connection that was acquired and not used.
func (p *Pool) putBack(c *conn) {
	if c.lastUsed.IsZero() { // a new one
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addIdle(c)
}

// Retire ends the reuse of the existing connections to a target after one of
// them stalled: a network device that dropped the state of one connection has
// often dropped that of others. Idle connections are closed. Busy ones finish
// their request and aren't reused.
func (p *Pool) Retire(addr, target string) {
	key := Key(addr, target)
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.retired[key] = time.Now()
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Retain closes the idle connections to targets whose key keep rejects, and the
// connections that are no longer usable.
func (p *Pool) Retain(keep func(key string) bool) {
	now := time.Now()
	var closing []*conn
	p.mu.Lock()
	for key, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if keep(key) && c.usable(now, ReuseIdle) {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = kept
		}
	}
	for key := range p.retired {
		if !keep(key) {
			delete(p.retired, key)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// Key returns the key of a target in the pool.
func Key(addr, target string) string { return addr + "/" + target }

// SplitKey returns the parts of a key. An address contains no slash.
func SplitKey(key string) (addr, target string) {
	addr, target, _ = strings.Cut(key, "/")
	return addr, target
}

// EndStats returns how requests that were given up have ended since the start.
func (p *Pool) EndStats() EndStats { return p.endings.snapshot() }

// Close closes the idle connections and those of requests that were given up.
func (p *Pool) Close() {
	p.endings.close()
	p.Retain(func(string) bool { return false })
}
