// Package linkfault cuts the links of one process, in tests of processes that
// share a machine. It dials TCP connections that can be cut.
package linkfault

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Mode is the state of the links.
type Mode int

// ParseMode returns the mode with the given name, or Pass for another name.
func ParseMode(name string) Mode {
	for m, n := range modeNames {
		if n == name {
			return Mode(m)
		}
	}
	return Pass
}

var modeNames = [...]string{"pass", "silent", "reset", "refuse"}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// The modes.
const (
	Pass   Mode = iota
	Silent      // open connections transfer nothing, and new ones hang
	Reset       // open connections are reset, and new ones hang
	Refuse      // open connections work, and new ones are refused
)

// connectTimeout is the time after which a connection that hangs is given up.
const connectTimeout = 300 * time.Millisecond

// Links dials connections. It is safe for concurrent use. The zero value passes
// everything.
type Links struct {
	mu    sync.Mutex
	mode  Mode
	conns map[*conn]bool
}

// Set changes the mode. When the mode becomes Pass, data that was held back is
// transferred.
func (l *Links) Set(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	for c := range l.conns {
		switch m {
		case Silent:
			c.hold()
		case Reset:
			_ = c.TCPConn.SetLinger(0)
			_ = c.TCPConn.Close()
		default:
			c.release()
		}
	}
}

// Dial connects to a TCP address unless the links are cut.
func (l *Links) Dial(ctx context.Context, addr string) (net.Conn, error) {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	switch mode {
	case Refuse:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case Silent, Reset:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: raw.(*net.TCPConn), links: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*conn]bool)
	}
	l.conns[c] = true
	return c, nil
}

// conn is a connection whose data can be held back.
type conn struct {
	*net.TCPConn
	links  *Links
	closed chan struct{}

	mu      sync.Mutex
	held    chan struct{} // closed when data passes again; nil: data passes
	pending []byte        // written while data was held back
}

func (c *conn) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = make(chan struct{})
	}
}

func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		return
	}
	_, _ = c.TCPConn.Write(c.pending) // the next read reports an error
	c.pending = nil
	close(c.held)
	c.held = nil
}

// Write implements net.Conn. Data that is held back counts as written, like
// data in the kernel's buffer.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held != nil {
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	held := c.held
	c.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.links.mu.Lock()
	if c.links.conns[c] {
		delete(c.links.conns, c)
		close(c.closed)
	}
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}
