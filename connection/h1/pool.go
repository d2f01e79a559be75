// Package h1 speaks HTTP/1.1 to targets over kept connections. It knows of
// each connection what net/http doesn't tell: how long it was idle, whether
// anything came on it unasked, and whether a byte of a failed request was
// written. Requests that may run once at most depend on all three.
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
	// defaultConnect is the longest wait for a connection: round trips take
	// up to 3 ms, a target takes 1 ms to accept, and a lost packet is sent
	// again after 200 ms or more.
	defaultConnect = 300 * time.Millisecond
	// defaultUserTimeout is how long bytes may stand unacknowledged.
	defaultUserTimeout = 1500 * time.Millisecond
	// defaultIdle is how long an idle connection is used again when the
	// target states no time.
	defaultIdle = 4 * time.Second
	// idleMargin is the part of a stated idle time that is made use of, so
	// that a request doesn't cross the target's close: of 10 s, one is left.
	idleMargin = 0.9
	// freshFor is how long after its last use a connection counts as fresh.
	freshFor = time.Second
	// defaultMaxIdle is the number of idle connections kept to one target.
	defaultMaxIdle = 16
)

// Options of a Pool. Zero values take the defaults.
type Options struct {
	ConnectTimeout time.Duration // longest time to connect; 300ms
	UserTimeout    time.Duration // TCP_USER_TIMEOUT; 1.5s
	MaxIdle        int           // idle connections kept to one target; 16
	// KeepAlive is when the kernel probes connections that carry no data. With
	// it TCP_USER_TIMEOUT also ends those on which only an answer is awaited.
	KeepAlive net.KeepAliveConfig
	// Dial replaces the TCP dialer, in tests.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

var counts = expvar.NewMap("h1")

// Pool is safe for concurrent use.
type Pool struct {
	opts Options

	mu      sync.Mutex
	idle    map[string][]*conn   // by target address and id, the newest last
	retired map[string]time.Time // connections to a target that are older take no request
}

// conn is one connection. It belongs to one exchange at a time, or to the pool.
type conn struct {
	net.Conn
	key    string
	reader *bufio.Reader
	dialed time.Time
	used   time.Time     // end of the last exchange
	limit  time.Duration // idle time that the target stated, less a margin; 0: none
}

// New returns a Pool.
func New(o Options) *Pool {
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnect
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
	return &Pool{opts: o, idle: make(map[string][]*conn), retired: make(map[string]time.Time)}
}

// ErrConnect is wrapped by the errors of requests that got no connection.
var ErrConnect = errors.New("can't connect")

// take returns a connection to the target: an idle one that is still good, or
// a new one.
func (p *Pool) take(ctx context.Context, r *Request) (*conn, error) {
	key := Key(r.Addr, r.Target)
	for r.Reuse != ReuseNever {
		c := p.pop(key)
		if c == nil {
			break
		}
		if c.good(time.Now(), r.Reuse) {
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
	return &conn{Conn: raw, key: key, reader: bufio.NewReader(raw), dialed: dialed}, nil
}

func (p *Pool) pop(key string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]
	return c
}

// good reports whether the connection may carry a request.
//
// The guard is against three faults of idle connections: the target closed it
// (a request would be lost, and one that may not be repeated with it), bytes
// came that answer nothing (they would be taken for the next answer), and it
// is about to be closed by the target's idle timeout.
func (c *conn) good(now time.Time, reuse Reuse) bool {
	return now.Sub(c.used) < c.idleLimit(reuse) && c.reader.Buffered() == 0 && quiet(c.Conn)
}

// idleLimit is how long the connection may have been idle.
func (c *conn) idleLimit(reuse Reuse) time.Duration {
	switch {
	case c.limit > 0:
		return c.limit
	case reuse == ReuseRecent:
		return freshFor
	}
	return defaultIdle
}

// HasIdle reports whether a request to a target would find an idle connection that it
// may use.
func (p *Pool) HasIdle(addr, target string, reuse Reuse) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[Key(addr, target)]
	if len(list) == 0 {
		return false
	}
	c := list[len(list)-1]
	return now.Sub(c.used) < c.idleLimit(reuse)
}

// IdleKeys returns the keys of the targets that there are idle connections to, the
// ones used last first.
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
		return list[len(list)-1].used
	}
	slices.SortFunc(out, func(a, b string) int { return used(b).Compare(used(a)) })
	return out
}

// put keeps a connection whose exchange ended whole.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	c.used = time.Now()
	if keepAlive > 0 {
		c.limit = time.Duration(float64(keepAlive) * idleMargin)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
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

// Retire retires the connections to a target, because one of them went silent:
// what a device between lost of one connection it lost of many. Idle ones are
// closed; those that carry a request now take no other one after it.
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

// Retain closes the idle connections to all targets but those that keep names,
// and those that were idle too long.
func (p *Pool) Retain(keep func(key string) bool) {
	now := time.Now()
	var closing []*conn
	p.mu.Lock()
	for key, list := range p.idle {
		var stay []*conn
		for _, c := range list {
			if keep(key) && c.good(now, ReuseIdle) {
				stay = append(stay, c)
			} else {
				closing = append(closing, c)
			}
		}
		if len(stay) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = stay
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

// Key names a target as Retain does.
func Key(addr, target string) string { return addr + "/" + target }

// SplitKey undoes Key: addresses hold no slash.
func SplitKey(key string) (addr, target string) {
	addr, target, _ = strings.Cut(key, "/")
	return addr, target
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.Retain(func(string) bool { return false })
}
