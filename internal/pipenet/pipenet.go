// Package pipenet is an in-memory network for tests on virtual time. Servers
// have addresses, and connections are pipes.
package pipenet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Net is a network of servers. It is safe for concurrent use. The zero value
// has no servers.
type Net struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	servers    []*http.Server
	dialCounts map[string]int
	refusals   map[string]int // further connections that are refused, by address
}

// connContexter is implemented by handlers that need the connection of a request.
type connContexter interface {
	ConnContext(context.Context, net.Conn) context.Context
}

// Serve serves HTTP requests at an address until Close or Stop is called.
func (n *Net) Serve(addr string, h http.Handler) {
	l, srv := n.Listen(addr), &http.Server{Handler: h}
	if c, ok := h.(connContexter); ok {
		srv.ConnContext = c.ConnContext
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers = append(n.servers, srv)
	go func() { _ = srv.Serve(l) }()
}

// Listen returns a listener for the connections to an address, until Close or Stop
// is called.
func (n *Net) Listen(addr string) net.Listener {
	l := &listener{addr: netAddr(addr), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
		n.dialCounts = make(map[string]int)
	}
	n.listeners[addr] = l
	return l
}

// ServeConn calls serve, which owns the connection, for each connection to an
// address.
func (n *Net) ServeConn(addr string, serve func(net.Conn)) {
	l := n.Listen(addr)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
}

// RefuseNext makes the network refuse the next n connections to an address.
func (n *Net) RefuseNext(addr string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refusals == nil {
		n.refusals = make(map[string]int)
	}
	n.refusals[addr] = count
}

// Dial connects to an address. The connection is refused if there is no server.
func (n *Net) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	if n.refusals[addr] > 0 {
		n.refusals[addr]--
		l = nil
	}
	if l != nil {
		n.dialCounts[addr]++
	}
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// DialCount returns the number of connections made to an address.
func (n *Net) DialCount(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dialCounts[addr]
}

// Stop makes the network refuse new connections to an address.
func (n *Net) Stop(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.listeners[addr]; l != nil {
		_ = l.Close()
		delete(n.listeners, addr)
	}
}

// Close closes all servers and their connections.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
}

type netAddr string

func (netAddr) Network() string  { return "pipe" }
func (a netAddr) String() string { return string(a) }

type listener struct {
	addr   netAddr
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.addr }
