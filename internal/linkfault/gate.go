package linkfault

import (
	"net"
	"sync"
)

// Gate is a listener whose connections hold back what their Read has read while the
// gate is shut, as those of a process which gets its processor late.
type Gate struct {
	net.Listener
	Held chan struct{} // gets a value for the first Read that holds back bytes

	mu     sync.Mutex
	opened chan struct{} // nil: not shut
}

// NewGate returns an open Gate.
func NewGate(l net.Listener) *Gate { return &Gate{Listener: l, Held: make(chan struct{}, 1)} }

// Shut holds back what is read from now on, until open is called.
func (g *Gate) Shut() (open func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	opened := make(chan struct{})
	g.opened = opened
	return sync.OnceFunc(func() { close(opened) })
}

// Accept implements net.Listener.
func (g *Gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{c, g}, nil
}

type gatedConn struct {
	net.Conn
	g *Gate
}

// NetConn returns the wrapped connection.
func (c *gatedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.g.mu.Lock()
	opened := c.g.opened
	c.g.mu.Unlock()
	if n > 0 && opened != nil {
		select {
		case c.g.Held <- struct{}{}:
		default:
		}
		<-opened
	}
	return n, err
}
