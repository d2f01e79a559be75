// Package httpapi implements the ports to the log service, the VM list, the
// weight store and the engines' control interface over HTTP. The wire protocol
// is described in docs/design/0-frame.md.
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

// Defaults for zero values in Options.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultMaxConns    = 8
	DefaultUserTimeout = 3 * time.Second
)

const (
	idleTimeout = 30 * time.Second
	maxAnswer   = 64 << 20 // limit of an answer's body, in bytes
	maxError    = 4 << 10  // bytes of an error answer that the error quotes
)

// Options are the settings of an adapter.
type Options struct {
	// Timeout bounds one call. The time that a read may wait for records is
	// added to it.
	Timeout time.Duration
	// MaxConns bounds the connections to the service.
	MaxConns int
	// UserTimeout bounds how long sent bytes may stay unacknowledged before
	// the kernel closes the connection (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// SingleUse makes each call open a connection of its own. The service may send the
	// answer to a call twice, the copy before the answer to a later call.
	SingleUse bool
	// Dial replaces the TCP dialer, for example by lease.Dialer, whose
	// connections check the lease before each write. UserTimeout doesn't apply
	// to it.
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

// client makes the calls of one adapter over its own connections.
type client struct {
	service string // prefix of error messages
	base    string
	opts    Options
	http    *http.Client

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newClient(service, base string, o Options) *client {
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	c := &client{service: service, base: strings.TrimSuffix(base, "/"), opts: o.withDefaults()}
	c.conns = make(map[net.Conn]bool)
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     c.opts.MaxConns,
		MaxIdleConnsPerHost: c.opts.MaxConns,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   c.opts.SingleUse,
	}}
	return c
}

// answer is an HTTP status with the complete body.
type answer struct {
	status int
	body   []byte
}

// call sends one request and reads the complete answer. The time wait is added
// to the timeout. When it returns port.ErrUnavailable, the call may still have
// taken effect.
func (c *client) call(ctx context.Context, method, path string, body []byte, wait time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("%s: %w", c.service, err)
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

// decode decodes the body of an answer with status 200 into v. Any other status
// is an error, and a 5xx status is reported as port.ErrUnavailable.
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
	return fmt.Errorf("%s: %w", c.service, err)
}

func (c *client) unavailable(err error) error {
	return fmt.Errorf("%s: %w: %w", c.service, port.ErrUnavailable, err)
}

var errClosed = errors.New("adapter closed")

// dial opens a connection and registers it, so that close can close it. It guards
// against bytes that outlive the call: if the peer can't be reached, the kernel
// retransmits the bytes of a call for minutes after the call has failed, so that
// an old order may arrive late. TCP_USER_TIMEOUT bounds this time while the
// connection is open, and a linger of 0 discards the bytes as soon as it is
// closed.
func (c *client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := c.opts.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if l, ok := raw.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	conn := &trackedConn{Conn: raw, client: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		raw.Close()
		return nil, errClosed
	}
	c.conns[conn] = true
	return conn, nil
}

// close closes all connections, including those in use. The client opens no new
// ones.
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

// lingerer is a connection that can discard unsent bytes when it is closed, such
// as net.TCPConn and its wrappers.
type lingerer interface{ SetLinger(sec int) error }

// trackedConn is a connection that is registered with its client until it is
// closed.
type trackedConn struct {
	net.Conn
	client *client
}

// Close closes the connection and removes it from its client.
func (t *trackedConn) Close() error {
	t.client.mu.Lock()
	delete(t.client.conns, t)
	t.client.mu.Unlock()
	return t.Conn.Close()
}
