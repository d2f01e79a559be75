package pool

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/internal/sock"
)

// errSealed is what a write on a sealed connection gets.
var errSealed = errors.New("connection sealed after a failed request")

// conn counts the bytes that were handed to the kernel, so that a failed
// request can prove that nothing of it was written.
type conn struct {
	net.Conn
	mu      sync.Mutex
	started int64 // bytes whose write was begun
	sealed  bool
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.started += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// seal forbids further writes and returns the bytes begun so far. net/http's
// write goroutine can outlive a cancelled RoundTrip: without the seal it could
// write the request just after it was reported as not written, and the caller
// would be told "not run" about a request that ran. The count and the seal
// are taken under one lock, so no write falls between them.
func (c *conn) seal() int64 {
	c.mu.Lock()
	c.sealed = true
	n := c.started
	c.mu.Unlock()
	_ = c.Close()
	return n
}

// dialer returns a dial function whose connections the kernel gives up after
// userTimeout without an acknowledgement. A middlebox that has lost track of a
// connection swallows packets: the request would wait for its deadline. Every
// connection carries data or keepalive probes each second, so the kernel
// reports the loss within about userTimeout plus a second.
func dialer(connect, userTimeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: sock.UserTimeout(userTimeout),
	}
	return d.DialContext
}
