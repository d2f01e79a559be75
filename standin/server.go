// Package standin provides the common parts of the test stand-ins for external
// systems: an HTTP server whose connections can be reset or stalled, and fault
// injection on command. The stand-ins are fakes of an interface, not
// simulators of the systems behind it.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/internal/sock"
)

// headerTimeout bounds how long a client may take to send a request header.
const headerTimeout = 10 * time.Second

// Server serves a handler over HTTP and tracks its open connections.
type Server struct {
	t    tomb.Tomb
	http *http.Server
	lis  net.Listener

	mu       sync.Mutex
	conns    map[*conn]bool
	reserved *os.File // holds the port after a crash
}

// Serve listens on addr and serves h until Close or Crash. Port 0 selects a
// free port.
func Serve(h http.Handler, addr string) (*Server, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return ServeListener(h, lis), nil
}

// ServeListener is Serve on a listener, which the server closes.
func ServeListener(h http.Handler, lis net.Listener) *Server {
	s := &Server{lis: lis, conns: make(map[*conn]bool)}
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnContext: withConn}
	s.t.Go(s.serve)
	return s
}

// Addr returns the listener's host and port.
func (s *Server) Addr() string { return s.lis.Addr().String() }

// Close stops the server and closes its connections.
func (s *Server) Close() error {
	s.t.Kill(nil)
	s.releasePort()
	err := s.http.Close()
	for _, c := range s.openConns() {
		c.Close()
	}
	s.t.Wait()
	return err
}

// Crash resets every connection and stops listening, as the kernel does after a
// process has crashed. It doesn't wait for the handlers. No other server gets the
// port until Close: it would receive what clients still send to this one.
func (s *Server) Crash() {
	s.t.Kill(nil)
	s.lis.Close()
	s.keepPort()
	for _, c := range s.openConns() {
		c.reset()
	}
	s.http.Close()
}

func (s *Server) keepPort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.lis.(*net.TCPListener); !ok || s.reserved != nil {
		return
	}
	var err error
	if s.reserved, err = sock.Reserve(s.Addr()); err != nil {
		log.WithError(err).Warn("standin: can't keep the port of a crashed server")
	}
}

func (s *Server) releasePort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved != nil {
		_ = s.reserved.Close()
		s.reserved = nil
	}
}

// Stall permanently stalls every open connection except the one of the request
// in ctx, and returns their number. A stalled connection stays open but
// delivers and sends no more data. New connections work normally.
func (s *Server) Stall(ctx context.Context) int {
	own, _ := ctx.Value(connKey{}).(*conn)
	n := 0
	for _, c := range s.openConns() {
		if c != own {
			c.stall()
			n++
		}
	}
	return n
}

// Reset ends the connection of the request in ctx with a TCP reset, so that
// the client doesn't get the answer.
func (s *Server) Reset(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.reset()
	}
}

func (s *Server) serve() error {
	err := s.http.Serve(trackingListener{s.lis, s})
	if errors.Is(err, http.ErrServerClosed) || !s.t.Alive() {
		return nil
	}
	return err
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// trackingListener registers each accepted connection with the server.
type trackingListener struct {
	net.Listener
	s *Server
}

// Accept returns the next connection, wrapped as a conn.
func (t trackingListener) Accept() (net.Conn, error) {
	raw, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, s: t.s, stalled: make(chan struct{})}
	t.s.mu.Lock()
	t.s.conns[c] = true
	t.s.mu.Unlock()
	return c, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// conn is a connection that can be stalled.
type conn struct {
	net.Conn
	s       *Server
	once    sync.Once
	stalled chan struct{}
}

// Read drops all data once the connection is stalled. It then reports the
// client's close only when the server stops.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.isStalled() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err != nil {
			<-c.s.t.Dying()
			return 0, err
		}
	}
}

// Write drops its data and reports success once the connection is stalled.
func (c *conn) Write(b []byte) (int, error) {
	if c.isStalled() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A stalled one stays open until the server stops,
// because the client must not receive a FIN.
func (c *conn) Close() error {
	if c.isStalled() && c.s.t.Alive() {
		return nil
	}
	c.untrack()
	return c.Conn.Close()
}

func (c *conn) untrack() {
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
}

func (c *conn) stall() { c.once.Do(func() { close(c.stalled) }) }

func (c *conn) isStalled() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.untrack()
	c.Conn.Close()
}
