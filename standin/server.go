// Package standin holds what the small stand-ins for the outside systems have
// in common: a server whose connections can be cut or made silent, and faults
// on command. The stand-ins are fakes at an interface, not a simulator.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// headerTimeout bounds how long a connection may take to send its header.
const headerTimeout = 10 * time.Second

// Server serves a handler and knows its open connections.
type Server struct {
	t    tomb.Tomb
	http *http.Server
	lis  net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
}

// Serve listens on addr ("127.0.0.1:0" for any port) and serves h until Close
// or Crash.
func Serve(h http.Handler, addr string) (*Server, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{lis: lis, conns: make(map[*conn]bool)}
	s.http = &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ConnContext: withConn}
	s.t.Go(s.serve)
	return s, nil
}

// Addr returns host and port of the listener.
func (s *Server) Addr() string { return s.lis.Addr().String() }

// Close stops the server and ends its connections.
func (s *Server) Close() error {
	s.t.Kill(nil)
	err := s.http.Close()
	for _, c := range s.open() {
		c.Close()
	}
	s.t.Wait()
	return err
}

// Crash resets every connection and stops listening, as the kernel does for
// a process that died. It doesn't wait for the handlers.
func (s *Server) Crash() {
	s.t.Kill(nil)
	s.lis.Close()
	for _, c := range s.open() {
		c.reset()
	}
	s.http.Close()
}

// Stall makes every open connection but the one of the request in ctx dead
// for good: it stays open, nothing more is read from or sent on it. New
// connections work.
func (s *Server) Stall(ctx context.Context) int {
	own, _ := ctx.Value(connKey{}).(*conn)
	n := 0
	for _, c := range s.open() {
		if c != own {
			c.silence()
			n++
		}
	}
	return n
}

// Reset ends the connection of the request in ctx with a TCP reset, so that
// its answer is lost.
func (s *Server) Reset(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.reset()
	}
}

func (s *Server) serve() error {
	err := s.http.Serve(tracker{s.lis, s})
	if errors.Is(err, http.ErrServerClosed) || !s.t.Alive() {
		return nil
	}
	return err
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// tracker hands out connections that the server knows.
type tracker struct {
	net.Listener
	s *Server
}

// Accept wraps the next connection.
func (t tracker) Accept() (net.Conn, error) {
	raw, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, s: t.s, quiet: make(chan struct{})}
	t.s.mu.Lock()
	t.s.conns[c] = true
	t.s.mu.Unlock()
	return c, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// conn is a connection that can be made silent.
type conn struct {
	net.Conn
	s     *Server
	once  sync.Once
	quiet chan struct{}
}

// Read gives nothing once the connection is silent: what comes is dropped,
// and that the other side closed is not seen either.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.silent() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err != nil {
			<-c.s.t.Dying()
			return 0, err
		}
	}
}

// Write drops what it is given once the connection is silent.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close ends the connection, but leaves a silent one open until the server
// ends: the other side must not see a FIN from it.
func (c *conn) Close() error {
	if c.silent() && c.s.t.Alive() {
		return nil
	}
	c.forget()
	return c.Conn.Close()
}

func (c *conn) forget() {
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
}

func (c *conn) silence() { c.once.Do(func() { close(c.quiet) }) }

func (c *conn) silent() bool {
	select {
	case <-c.quiet:
		return true
	default:
		return false
	}
}

func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.forget()
	c.Conn.Close()
}
