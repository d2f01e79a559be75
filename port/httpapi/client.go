// Package httpapi holds the adapters that speak the wire protocol of
// docs/design/0-frame.md to the log service, the VM list, the weight store
// and the control side of the engines.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/internal/sock"
	"github.com/pomelospool/pomelospool/port"
)

// The values that stand for a zero in Options.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultMaxConns    = 8
	DefaultUserTimeout = 3 * time.Second
)

const (
	idleTimeout = 30 * time.Second
	maxAnswer   = 64 << 20 // bytes read of one answer
	maxError    = 4 << 10  // bytes read of an error answer
)

// Options are the settings of an adapter.
type Options struct {
	// Timeout bounds one call, without the time that a read may wait.
	Timeout time.Duration
	// MaxConns bounds the connections to the service.
	MaxConns int
	// UserTimeout bounds how long sent bytes may stand unacknowledged before
	// the kernel drops the connection (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// Dial replaces the TCP dialer: lease.Dialer's connections ask for the
	// lease before each write. UserTimeout is then the dialer's own matter.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	if o.UserTimeout <= 0 {
		o.UserTimeout = DefaultUserTimeout
	}
	if o.Dial == nil {
		d := &net.Dialer{Timeout: o.Timeout, Control: sock.UserTimeout(o.UserTimeout)}
		o.Dial = d.DialContext
	}
	return o
}

// client makes the calls of one adapter over connections of its own.
type client struct {
	what string // prefix of the errors
	base string
	opts Options
	http *http.Client

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newClient(what, base string, o Options) *client {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	c := &client{what: what, base: strings.TrimSuffix(base, "/"), opts: o.withDefaults()}
	c.conns = make(map[net.Conn]bool)
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     c.opts.MaxConns,
		MaxIdleConnsPerHost: c.opts.MaxConns,
		IdleConnTimeout:     idleTimeout,
	}}
	return c
}

// answer is a status with the whole body.
type answer struct {
	status int
	body   []byte
}

// call sends one request and reads the whole answer. Its errors wrap
// port.ErrUnavailable; then the call may have had its effect.
func (c *client) call(ctx context.Context, method, path string, body []byte, extra time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout+extra)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("%s: %w", c.what, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}, c.unavailable(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, c.unavailable(err)
	}
	return answer{resp.StatusCode, data}, nil
}

// get decodes the answer to a GET into v.
func (c *client) get(ctx context.Context, path string, v any) error {
	a, err := c.call(ctx, http.MethodGet, path, nil, 0)
	if err != nil {
		return err
	}
	return c.decode(a, v)
}

// decode gives an error for every status but 200. 5xx count as unavailable.
func (c *client) decode(a answer, v any) error {
	if a.status != http.StatusOK {
		return c.statusError(a)
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return c.unavailable(err)
	}
	return nil
}

func (c *client) statusError(a answer) error {
	text := a.body[:min(len(a.body), maxError)]
	err := fmt.Errorf("status %d: %s", a.status, bytes.TrimSpace(text))
	if a.status >= http.StatusInternalServerError {
		return c.unavailable(err)
	}
	return fmt.Errorf("%s: %w", c.what, err)
}

func (c *client) unavailable(err error) error {
	return fmt.Errorf("%s: %w: %w", c.what, port.ErrUnavailable, err)
}

var errClosed = errors.New("adapter closed")

// dial opens a connection that the adapter can cut. Guard against bytes that
// outlive the call: on a connection that lost its peer, the kernel goes on
// sending what a call wrote minutes after the call failed, so that an old
// order arrives late. TCP_USER_TIMEOUT bounds that time while the connection
// is open, and a linger of 0 makes closing drop the bytes at once.
func (c *client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := c.opts.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if l, ok := raw.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	conn := &tracked{Conn: raw, c: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		raw.Close()
		return nil, errClosed
	}
	c.conns[conn] = true
	return conn, nil
}

// close cuts every connection, also those in use, for good.
func (c *client) close() {
	c.mu.Lock()
	c.closed = true
	conns := make([]net.Conn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

// lingerer is a connection that can drop unsent bytes when it is closed, as
// net.TCPConn and what wraps it do.
type lingerer interface{ SetLinger(sec int) error }

// tracked is a connection that its client knows until it is closed.
type tracked struct {
	net.Conn
	c *client
}

// Close ends the connection.
func (t *tracked) Close() error {
	t.c.mu.Lock()
	delete(t.c.conns, t)
	t.c.mu.Unlock()
	return t.Conn.Close()
}
