package lease

import (
	"context"
	"net"
	"time"

	"github.com/pomelospool/pomelospool/internal/sock"
)

// Check reports whether a write may be made now: nil, or an error with
// code.LeaseLost.
type Check func() error

// Conn is a connection on which nothing is written without authority.
//
// The guard is against a process that is paused between its decision and the
// write, which would send an order long after its lease lapsed. The check runs
// in Write, directly before the system call, so what a pause can still hit is
// the microsecond between the two. Every write checks, so a connection that
// was opened anew by the HTTP client is under the same guard.
type Conn struct {
	net.Conn
	check Check
}

// Write writes p if the check allows it.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetLinger sets what closing does with unsent bytes, see net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// Dialer returns a dial function for http.Transport.DialContext whose
// connections check before each write and give up undelivered bytes after
// userTimeout.
//
// The second guard is against a partition: bytes that were written under the
// lease stay in the kernel, which sends them again for many minutes, and an
// order arrives long after a successor took over. TCP_USER_TIMEOUT makes the
// kernel drop the connection and its bytes; it must be below Rule.Guard.
func Dialer(check Check, userTimeout time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: userTimeout,
		Control: sock.UserTimeout(userTimeout),
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c, check: check}, nil
	}
}
