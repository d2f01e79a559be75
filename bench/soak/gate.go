package soak

import (
	"net"
	"sync"
)

// gate stops a server in this process, as SIGSTOP stops one of its own: the
// kernel goes on accepting connections and acknowledging data, which the server
// reads when it continues, also those of connections that were closed meanwhile.
type gate struct {
	mu     sync.Mutex
	stops  int           // number of stops that last
	opened chan struct{} // closed when the server continues; nil while it runs
}

// stop stops the server until the returned function is called.
func (g *gate) stop() (resume func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stops++; g.stops == 1 {
		g.opened = make(chan struct{})
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.stops--; g.stops == 0 {
			close(g.opened)
			g.opened = nil
		}
	}
}

// wait blocks while the server is stopped.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}

// gatedListener is the listener of a server that can be stopped.
type gatedListener struct {
	net.Listener
	gate *gate
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.gate.wait()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, gate: l.gate}, nil
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	return n, err
}

func (c *gatedConn) Write(p []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(p)
}
