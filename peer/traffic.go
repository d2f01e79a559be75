package peer

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"google.golang.org/grpc/stats"

	"github.com/pomelospool/pomelospool/internal/presence"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/sock"
)

const (
	// connectTimeout bounds the time to establish a connection, with TLS.
	connectTimeout = 5 * time.Second
	// maxHeaderList is the size of the largest header list of a call in bytes.
	maxHeaderList = 16 << 10
	// connCost is the cost of a connection in bytes of memory, with its buffers.
	connCost = quota.ConnCost
	// callCost is the cost of an open call besides its messages.
	callCost = 8 << 10
	// maxInflowWait bounds the wait of a check whether a call was cancelled.
	maxInflowWait = 50 * time.Millisecond
	// frameBytes is the number of bytes of frames that stand for each event of a call
	// besides its payload. They are read and forgotten.
	frameBytes = 64
)

// counts are the counters of this package.
var counts = expvar.NewMap("peer")

var notAccepted = quota.NewNotices("peer: connections were closed at once")

// traffic charges the memory of connections from peers. Bytes that were read count until
// gRPC reports the message that they belong to, and messages until their call ends. It
// implements stats.Handler.
type traffic struct {
	o ServerOptions

	mu    sync.Mutex
	conns map[string]*conn // by remote address
}

func newTraffic(o ServerOptions) *traffic { return &traffic{o: o, conns: make(map[string]*conn)} }

// listen returns a listener whose connections are charged.
func (t *traffic) listen(l net.Listener) net.Listener { return &listener{Listener: l, t: t} }

type listener struct {
	net.Listener
	t *traffic
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.t.add(inner); c != nil {
			return c, nil
		}
		counts.Add("not_accepted", 1)
		notAccepted.Add(log.Fields{"limit": l.t.o.MaxConns})
		_ = inner.Close()
	}
}

// add returns the charged connection, or nil if there is no room for it.
func (t *traffic) add(inner net.Conn) *conn {
	c := &conn{Conn: inner, t: t}
	c.account = t.o.Memory.Open(func(bool) { _ = inner.Close() })
	if !t.register(c) {
		c.account.Close()
		return nil
	}
	// Without the lock, as evicted connections take it to release their bytes.
	if c.account.Grow(connCost) != nil {
		t.remove(c)
		return nil
	}
	return c
}

// register adds the connection unless there are too many.
func (t *traffic) register(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.o.MaxConns > 0 && len(t.conns) >= t.o.MaxConns {
		return false
	}
	t.conns[c.RemoteAddr().String()] = c
	return true
}

// remove releases the connection's memory and its place.
func (t *traffic) remove(c *conn) {
	c.account.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c.RemoteAddr().String())
}

// conn is a connection of a peer.
type conn struct {
	net.Conn
	t       *traffic
	account *quota.Account
	inflow  sock.Inflow

	mu      sync.Mutex
	calls   int
	pending int64 // bytes that were read and not yet reported
	held    int64 // bytes of reported messages and of open calls
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.inflow.BeginRead()
	n, err := c.Conn.Read(p)
	c.inflow.EndRead(n)
	if n > 0 && c.update(func() { c.pending += int64(n) }) != nil {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.t.remove(c)
	return c.Conn.Close()
}

// update changes the sums and charges the result. A connection without a call in progress
// isn't evicted: it is made for further calls.
func (c *conn) update(change func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.pending
	change()
	c.pending = max(c.pending, 0)
	switch {
	case c.pending <= frameBytes:
		_ = c.account.Run() // fails if it was evicted, as the charge does
	case before <= frameBytes || c.pending < before:
		c.account.Receive() // a call has begun to arrive, or one has got on
	}
	return c.account.Set(connCost + c.pending + c.held)
}

// connKey and callKey are keys of contexts.
type (
	connKey struct{}
	callKey struct{}
)

// call is an open call of a connection. It implements presence.Caller.
type call struct {
	c    *conn
	ctx  context.Context
	held int64 // guarded by c.mu
}

// Check implements presence.Caller. The server ends the contexts of cancelled calls, once it
// has read that they were.
func (k *call) Check() { k.c.inflow.Await(k.ctx, k.c.Conn, maxInflowWait) }

// Departure implements presence.Caller. How a peer cancels a call isn't tracked.
func (k *call) Departure() (presence.Departure, bool) { return presence.Departure{}, false }

// TagConn implements stats.Handler.
func (t *traffic) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	t.mu.Lock()
	c := t.conns[info.RemoteAddr.String()]
	t.mu.Unlock()
	return context.WithValue(ctx, connKey{}, c)
}

// HandleConn implements stats.Handler.
func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (t *traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil {
		return ctx
	}
	k := &call{c: c, ctx: ctx}
	return presence.WithCaller(context.WithValue(ctx, callKey{}, k), k)
}

// HandleRPC implements stats.Handler.
func (t *traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	k, _ := ctx.Value(callKey{}).(*call)
	if k == nil {
		return
	}
	c := k.c
	var change func()
	switch s := s.(type) {
	case *stats.Begin:
		change = func() {
			c.calls++
			k.held = callCost
			c.held += k.held
		}
	case *stats.InHeader:
		change = func() { c.pending -= int64(s.WireLength) + frameBytes }
	case *stats.InPayload:
		change = func() {
			c.pending -= int64(s.WireLength) + frameBytes
			k.held += int64(s.Length)
			c.held += int64(s.Length)
		}
	case *stats.End:
		change = func() {
			c.calls--
			c.held -= k.held
			c.pending -= frameBytes
			if c.calls == 0 && c.held == 0 {
				c.pending = 0
			}
		}
	default:
		return
	}
	if c.update(change) != nil {
		_ = c.Conn.Close()
	}
}
