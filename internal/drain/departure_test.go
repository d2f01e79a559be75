package drain

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// noticeTime is the time in which a close must end the request.
const noticeTime = 500 * time.Millisecond

// seenRequest is what the handler of a departures server saw of a request.
type seenRequest struct {
	path  string
	ended chan struct{} // closed when the request's context ended
}

// departures is a tracked server whose requests stay open until their contexts end.
type departures struct {
	t       *testing.T
	l       net.Listener
	tracker *Tracker
	tls     *tls.Config // of callers; nil: the server doesn't use TLS
	begun   chan seenRequest
	live    atomic.Int64 // requests that began with an open context
}

func newDepartures(t *testing.T, secure bool) *departures {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &departures{t: t, l: l, begun: make(chan seenRequest, 64)}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	if secure {
		keys := httptest.NewTLSServer(nil) // for its certificate
		t.Cleanup(keys.Close)
		server.TLSConfig = &tls.Config{Certificates: keys.TLS.Certificates}
		roots := x509.NewCertPool()
		roots.AddCert(keys.Certificate())
		d.tls = &tls.Config{RootCAs: roots, ServerName: "example.com"}
	}
	d.tracker = Track(server, Options{})
	t.Cleanup(func() { _ = server.Close(); _ = l.Close() })
	return d
}

func (d *departures) start() { go func() { _ = d.tracker.Serve(d.l) }() }

func (d *departures) serve(_ http.ResponseWriter, req *http.Request) {
	if req.Context().Err() == nil {
		d.live.Add(1)
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r := seenRequest{path: req.URL.Path, ended: make(chan struct{})}
	d.begun <- r
	select {
	case <-req.Context().Done():
		close(r.ended)
	case <-d.t.Context().Done():
	}
}

func (d *departures) dial() net.Conn {
	c, err := net.Dial("tcp", d.l.Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = c.Close() })
	if d.tls == nil {
		return c
	}
	return tls.Client(c, d.tls)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// awaitEarlyBytes waits until the server has read bytes behind an open request, after
// which it reads no more.
func (d *departures) awaitEarlyBytes() {
	for {
		d.tracker.mu.Lock()
		seen := false
		for c := range d.tracker.conns {
			c.mu.Lock()
			seen = seen || c.phase == active && !c.waiting
			c.mu.Unlock()
		}
		d.tracker.mu.Unlock()
		if seen || d.t.Context().Err() != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (r *seenRequest) checkEnds(t *testing.T) {
	t.Helper()
	select {
	case <-r.ended:
	case <-time.After(noticeTime):
		t.Errorf("%s: still open %v after its caller closed the connection", r.path, noticeTime)
	}
}

const (
	firstRequest  = "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
	secondRequest = "GET /second HTTP/1.1\r\nHost: a\r\n\r\n"
)

// Guards against requests that go on for callers that have left, if bytes came between
// the request and the close.
func TestCloseBehindEarlyBytesEndsRequest(t *testing.T) {
	large := "POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("b", 300000)
	cases := map[string]struct{ request, early string }{
		"next request":         {firstRequest, secondRequest},
		"part of next request": {firstRequest, secondRequest[:7]},
		"empty line":           {firstRequest, "\r\n"},
		"line behind a body":   {large, "\r\n"},
	}
	for name, c := range cases {
		for _, secure := range []bool{false, true} {
			t.Run(name+map[bool]string{true: " with TLS"}[secure], func(t *testing.T) {
				d := newDepartures(t, secure)
				d.start()
				caller := d.dial()
				write(t, caller, c.request)
				open := <-d.begun
				write(t, caller, c.early)
				d.awaitEarlyBytes()
				if err := caller.Close(); err != nil {
					t.Fatal(err)
				}
				open.checkEnds(t)
			})
		}
	}
}

// Guards against requests that run though their callers closed the connection before they
// were taken up, behind an open request or at a process that was late.
func TestRequestOfClosedConnectionIsNotTakenUp(t *testing.T) {
	t.Run("behind an open request", func(t *testing.T) {
		d := newDepartures(t, false)
		d.start()
		caller := d.dial()
		write(t, caller, firstRequest)
		open := <-d.begun
		write(t, caller, secondRequest)
		d.awaitEarlyBytes()
		_ = caller.Close()
		open.checkEnds(t)
		d.awaitNoConns()
		if n := d.live.Load(); n != 1 {
			t.Errorf("%d requests began with an open context, want the first only", n)
		}
	})
	t.Run("at a late process", func(t *testing.T) {
		const callers = 32
		d := newDepartures(t, false)
		for range callers {
			caller := d.dial()
			write(t, caller, firstRequest)
			_ = caller.Close()
		}
		d.start()
		for range callers {
			open := <-d.begun
			open.checkEnds(t)
		}
		if n := d.live.Load(); n != 0 {
			t.Errorf("%d of %d requests began with an open context", n, callers)
		}
	})
}

// awaitNoConns waits until the server has closed all connections, for noticeTime at most.
func (d *departures) awaitNoConns() {
	limit := time.Now().Add(noticeTime)
	for d.tracker.count.Load() > 0 {
		if time.Now().After(limit) {
			d.t.Fatal("the connection is still open")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against HTTP/2 requests that go on for callers that have cancelled them or closed
// the connection.
func TestDepartureEndsHTTP2Requests(t *testing.T) {
	for _, closed := range []bool{false, true} {
		t.Run(map[bool]string{false: "cancelled", true: "closed"}[closed], func(t *testing.T) {
			begun := make(chan seenRequest, 1)
			client, _, l := newHTTP2(t, func(_ http.ResponseWriter, req *http.Request) {
				r := seenRequest{path: req.URL.Path, ended: make(chan struct{})}
				begun <- r
				select {
				case <-req.Context().Done():
					close(r.ended)
				case <-t.Context().Done():
				}
			})
			var sockets []net.Conn
			client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				sockets = append(sockets, c)
				return c, err
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+l.Addr().String()+"/", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				if resp, err := client.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
			open := <-begun
			if closed {
				_ = sockets[0].Close()
			} else {
				cancel()
			}
			open.checkEnds(t)
		})
	}
}
