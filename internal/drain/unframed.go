package drain

import (
	"context"
	"net"
	"net/http"

	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/sock"
)

// connKey is the context key of a request's *conn.
type connKey struct{}

// passConn adds each connection to the context of its requests.
func passConn(s *http.Server) {
	next := s.ConnContext
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if next != nil {
			ctx = next(ctx, nc)
		}
		if c := tracked(nc); c != nil {
			ctx = context.WithValue(ctx, connKey{}, c)
			if c.account != nil {
				ctx = quota.WithAccount(ctx, c.account)
			}
		}
		return ctx
	}
}

// tracked returns the *conn that nc is or wraps, or nil if there is none.
func tracked(nc net.Conn) *conn {
	for {
		if c, ok := nc.(*conn); ok {
			return c
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = wrapper.NetConn()
	}
}

// serveUnframed serves a request of HTTP/1.0, whose answer may end with its connection.
// Until the handler returns, any close of the connection resets it, also that of a
// process that is killed: an answer that ends early would look complete otherwise.
func serveUnframed(next http.Handler, w http.ResponseWriter, req *http.Request) {
	c, _ := req.Context().Value(connKey{}).(*conn)
	if c == nil {
		next.ServeHTTP(w, req)
		return
	}
	c.setLinger(0)
	next.ServeHTTP(w, req)
	c.setLinger(-1) // not reached if the handler aborts the answer
}

// setLinger sets what a close of the connection does, as net.TCPConn.SetLinger.
func (c *conn) setLinger(seconds int) {
	if tcp, ok := sock.Innermost(c.Conn).(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds) // fails if the connection is closed
	}
}
