package lease

import (
	"context"
	"net"
	"time"

	"github.com/pomelospool/pomelospool/internal/sock"
)

// Check returns nil if a write is allowed now, and an error with
// code.LeaseLost otherwise.
type Check func() error

// Conn is a net.Conn that checks the lease before each write.
//
// It prevents a process that is paused between its decision and the write from
// sending an order long after its lease expired. The check runs in Write,
// directly before the system call, so only a pause in the microsecond between
// the two goes undetected. Connections that the HTTP client reopens are
// checked in the same way.
type Conn struct {
	net.Conn
	check Check
}

// Write writes p if the check returns nil, and returns the check's error
// otherwise.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// SetLinger calls SetLinger of the underlying net.TCPConn. It does nothing on
// other connections.
func (c *Conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// Dialer returns a dial function for http.Transport.DialContext. Its
// connections call check before each write and drop unacknowledged data after
// userTimeout.
//
// The timeout covers network partitions: the kernel retransmits data that was
// written under the lease for many minutes, so an order could arrive long after
// a successor took over. TCP_USER_TIMEOUT makes the kernel drop the connection
// and its data. userTimeout must be below Rule.Guard.
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
