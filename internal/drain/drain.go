// Package drain stops an HTTP server, and closes its idle connections, without
// dropping requests that it has read. Package net/http takes a connection for idle
// until it has parsed the next request's header: Shutdown, SetKeepAlivesEnabled(false)
// and IdleTimeout may close one whose request has been read.
package drain

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/internal/quota"
)

const (
	// maxNewWait bounds the wait for the rest of a request, and for the first requests
	// of new connections. Callers send them as soon as they are connected.
	maxNewWait = time.Second
	// pollInterval is the interval between two checks for open requests.
	pollInterval = 5 * time.Millisecond
	// defaultHeaderTimeout bounds the time to read a header if the server sets no bound.
	defaultHeaderTimeout = 10 * time.Second
)

// Options configures a Tracker.
type Options struct {
	// IdleTimeout returns how long connections may stay idle. It may change. If it is
	// nil or returns 0 or less, the limit is defaultIdleTimeout.
	IdleTimeout func() time.Duration
	// MaxConns is the number of connections above which the longest idle ones are
	// closed, so that new ones can be accepted, and then those whose requests have cost
	// most without being complete. 0 means no limit. Connections whose requests run are
	// never closed; beyond a sixteenth more, new ones are.
	MaxConns int
	// HeaderTimeout returns how long a caller may take to send a header. It may change.
	// If it is nil or returns 0 or less, the limit is the server's ReadHeaderTimeout.
	HeaderTimeout func() time.Duration
	// HeaderBytes returns the maximum size of a header in bytes, 0 for that of the
	// server. It may change. A header that isn't complete is refused soon after it
	// exceeds the limit; the handler checks complete ones.
	HeaderBytes func() int
	// Memory is charged for what connections and their headers cost, and its account of a
	// request stands in the request's context. It may be nil.
	Memory *quota.Memory
	// Reject answers a request whose header doesn't fit into Memory. If it is nil, the
	// answer is a 503.
	Reject func(w http.ResponseWriter, req *http.Request)
}

// counts are the counters of this package.
var counts = expvar.NewMap("drain")

var (
	notAccepted     = quota.NewNotices("drain: connections were closed at once")
	headersTooLarge = quota.NewNotices("drain: headers were refused before their end")
)

// Tracker tracks the connections of a server. It is safe for concurrent use.
type Tracker struct {
	server   *http.Server
	next     http.Handler
	o        Options
	secure   bool // the server uses TLS; the server's own TLSConfig is set in any case once it serves
	draining atomic.Bool
	count    atomic.Int64 // of conns
	unread   unreadConns

	mu        sync.Mutex
	conns     map[*conn]struct{}
	accepting int // listeners that still accept connections
}

// Track returns a Tracker of a server that doesn't serve yet. It sets the server's
// ConnState and wraps its Handler and ConnContext. Serve the server with Tracker.Serve.
func Track(s *http.Server, o Options) *Tracker {
	t := &Tracker{server: s, next: s.Handler, o: o, secure: s.TLSConfig != nil, conns: make(map[*conn]struct{})}
	if t.next == nil {
		t.next = http.DefaultServeMux
	}
	s.Handler = http.HandlerFunc(t.serveHTTP)
	s.ConnState = recordState
	passConn(s)
	return t
}

// Serve serves the connections that l accepts, with TLS if the server has a
// TLSConfig. It returns a net.ErrClosed or http.ErrServerClosed after Shutdown.
func (t *Tracker) Serve(l net.Listener) error {
	done := make(chan struct{})
	defer close(done)
	go t.sweepUntil(done)
	t.mu.Lock()
	t.accepting++
	t.mu.Unlock()
	tracked := &listener{Listener: l, t: t}
	defer tracked.end()
	if t.secure {
		return t.server.ServeTLS(tracked, "", "")
	}
	return t.server.Serve(tracked)
}

// serveHTTP asks callers to close their connections during a stop, and while there
// are many.
func (t *Tracker) serveHTTP(w http.ResponseWriter, req *http.Request) {
	if t.draining.Load() || t.crowded() {
		w.Header().Set("Connection", "close")
	}
	req, done, ok := t.openAccount(w, req)
	if !ok {
		return
	}
	defer done()
	req, end := openRequest(req)
	defer end()
	if req.ProtoAtLeast(1, 1) {
		t.next.ServeHTTP(w, req)
		return
	}
	serveUnframed(t.next, w, req)
}

// Shutdown closes the listener l, answers the requests of open connections and then
// closes the connections. Until the last open request is answered, idle connections
// stay open and their requests are answered, too.
func (t *Tracker) Shutdown(ctx context.Context, l net.Listener) error {
	t.draining.Store(true)
	for begun := time.Now(); backlogged(l) && time.Since(begun) < maxNewWait; {
		if pause.For(ctx, pollInterval) != nil {
			break
		}
	}
	_ = l.Close()
	begun := time.Now()
	for !t.drained(begun) {
		if pause.For(ctx, pollInterval) != nil {
			break
		}
	}
	return t.server.Shutdown(ctx)
}

// drained reports whether all connections are closed. It closes them if no request
// is open. Connections with HTTP/2 are left to the server, whose GOAWAY states
// which requests it has read.
func (t *Tracker) drained(begun time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accepting > 0 {
		return false
	}
	now := time.Now()
	remaining := 0
	for c := range t.conns {
		switch c.drainState(begun, now) {
		case busy:
			return false
		case closable:
			remaining++
		}
	}
	for c := range t.conns {
		c.closeIfWaiting()
	}
	return remaining == 0
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	t     *Tracker
	ended sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				l.end()
			} else {
				l.t.evict(l.t.batch(), 0)
			}
			return nil, err
		}
		c := &conn{Conn: inner, t: l.t, since: time.Now()}
		c.account = l.t.o.Memory.Open(c.evict)
		c.account.ControlWindow(c.setWindow)
		if !l.t.full() && c.account.Grow(quota.ConnCost) == nil {
			l.t.add(c)
			return c, nil
		}
		counts.Add("not_accepted", 1)
		notAccepted.Add(log.Fields{"port": l.Addr().String(), "connections": l.t.count.Load()})
		c.account.Close()
		_ = inner.Close()
	}
}

func (l *listener) end() {
	l.ended.Do(func() {
		l.t.mu.Lock()
		defer l.t.mu.Unlock()
		l.t.accepting--
	})
}

func (t *Tracker) add(c *conn) {
	t.mu.Lock()
	t.conns[c] = struct{}{}
	n := len(t.conns)
	t.count.Store(int64(n))
	t.mu.Unlock()
	t.makeRoom(n)
}

func (t *Tracker) remove(c *conn) {
	c.account.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.count.Store(int64(len(t.conns)))
}
