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
	// maxIdle is the number of idle connections kept to one target.
	maxIdle = 16
)

// Options of a Pool. Zero values take the defaults.
type Options struct {
	Connect     time.Duration // longest time to connect; 400ms
	UserTimeout time.Duration // TCP_USER_TIMEOUT; 1.5s
	// Dial replaces the TCP dialer, in tests.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

var counts = expvar.NewMap("h1")

// Pool is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[string][]*conn // by target address and id, the newest last
}

// conn is one connection. It belongs to one exchange at a time, or to the pool.
type conn struct {
	net.Conn
	key    string
	reader *bufio.Reader
	used   time.Time     // end of the last exchange
	limit  time.Duration // idle time that the target stated, less a margin; 0: none
}

// New returns a Pool.
func New(o Options) *Pool {
	if o.Connect <= 0 {
		o.Connect = defaultConnect
	}
	if o.UserTimeout <= 0 {
		o.UserTimeout = defaultUserTimeout
	}
	if o.Dial == nil {
		d := net.Dialer{Timeout: o.Connect, Control: sock.UserTimeout(o.UserTimeout)}
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return &Pool{opts: o, idle: make(map[string][]*conn)}
}

// ErrConnect is wrapped by the errors of requests that got no connection.
var ErrConnect = errors.New("can't connect")

// take returns a connection to the target: an idle one that is still good, or
// a new one.
func (p *Pool) take(ctx context.Context, r *Request) (*conn, bool, error) {
	key := r.Addr + "/" + r.Target
	for {
		c := p.pop(key)
		if c == nil {
			break
		}
		if c.good(time.Now(), r.Fresh) {
			return c, true, nil
		}
		_ = c.Close()
	}
	counts.Add("dials", 1)
	raw, err := p.opts.Dial(ctx, r.Addr)
	if err != nil {
		return nil, false, fmt.Errorf("h1: %w: %w", ErrConnect, err)
	}
	return &conn{Conn: raw, key: key, reader: bufio.NewReader(raw)}, false, nil
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

// good tells whether the connection may carry a request.
//
// The guard is against three faults of idle connections: the target closed it
// (a request would be lost, and one that may not be repeated with it), bytes
// came that answer nothing (they would be taken for the next answer), and it
// is about to be closed by the target's idle timeout.
func (c *conn) good(now time.Time, fresh bool) bool {
	idle := now.Sub(c.used)
	limit := c.limit
	if limit == 0 {
		limit = defaultIdle
	}
	if fresh && c.limit == 0 {
		limit = freshFor
	}
	return idle < limit && c.reader.Buffered() == 0 && quiet(c.Conn)
}

// put keeps a connection whose exchange ended whole.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	c.used = time.Now()
	if keepAlive > 0 {
		c.limit = time.Duration(float64(keepAlive) * idleMargin)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.key]
	if len(list) >= maxIdle {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[c.key] = append(list, c)
}

// Forget closes the idle connections to a target, because one of its
// connections went silent: what a device between lost of one connection it
// lost of many.
func (p *Pool) Forget(addr, target string) {
	key := addr + "/" + target
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
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
			if keep(key) && c.good(now, false) {
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
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// Key names a target as Retain does.
func Key(addr, target string) string { return addr + "/" + target }

// Close closes the idle connections.
func (p *Pool) Close() {
	p.Retain(func(string) bool { return false })
}
