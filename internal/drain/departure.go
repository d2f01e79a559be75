package drain

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/internal/presence"
)

const (
	// lateNotice is the age of a close from which on its departure is counted as late.
	lateNotice = 500 * time.Millisecond
	// watchInterval is the interval between two checks of connections that nobody reads
	// while a request runs.
	watchInterval = 100 * time.Millisecond
	// checkInterval is the time for which the result of a check holds.
	checkInterval = 10 * time.Millisecond
	// maxInflowWait bounds the wait of a check for what has arrived on a connection that
	// carries several requests at a time.
	maxInflowWait = 50 * time.Millisecond
)

// request is an open request. It implements presence.Caller.
type request struct {
	c         *conn
	ctx       context.Context
	cancel    context.CancelCauseFunc
	checkedAt atomic.Int64 // when the connection was last checked, in nanoseconds since processStart
}

// processStart is the origin of request.checkedAt.
var processStart = time.Now()

// openRequest returns the request with a context that ends when its caller has left. done
// must be called when the request has been handled.
func openRequest(req *http.Request) (_ *http.Request, done func()) {
	c, ok := req.Context().Value(connKey{}).(*conn)
	if !ok {
		return req, func() {}
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	r := &request{c: c, ctx: ctx, cancel: cancel}
	c.setRequest(r)
	r.checkNow()
	return req.WithContext(presence.WithCaller(ctx, r)), func() {
		c.setRequest(nil)
		cancel(nil)
	}
}

// Check implements presence.Caller. It relies on a check within checkInterval.
func (r *request) Check() {
	if time.Since(processStart)-time.Duration(r.checkedAt.Load()) >= checkInterval {
		r.checkNow()
	}
}

// checkNow ends the request's context if the caller has closed the connection. The server
// does so for cancelled requests of HTTP/2, once it has read that they were.
func (r *request) checkNow() {
	if r.c.isMultiplexed() {
		r.c.inflow.Await(r.ctx, r.c.Conn, maxInflowWait)
	}
	if r.c.leftBy(presence.ByCheck) {
		r.cancel(presence.ErrLeft)
	}
	r.checkedAt.Store(int64(time.Since(processStart)))
}

// Departure implements presence.Caller.
func (r *request) Departure() (presence.Departure, bool) {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.c.departure, !r.c.departure.At.IsZero()
}

func (c *conn) isMultiplexed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.multiplexed
}

// setRequest sets the open request of a connection that carries one at a time.
func (c *conn) setRequest(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.multiplexed {
		return
	}
	c.open = r
	if c.inUnread && r == nil {
		c.inUnread = false
		c.t.unread.remove(c)
	}
}

// leftBy reports whether the caller has closed the connection, and records it.
func (c *conn) leftBy(by presence.Source) bool {
	closed := closedByPeer(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if closed {
		c.recordDeparture(by)
	}
	return closed || !c.departure.At.IsZero()
}

// endIfLeft ends the open request if the caller has closed the connection.
func (c *conn) endIfLeft() {
	if !c.leftBy(presence.ByWatch) {
		return
	}
	c.mu.Lock()
	open := c.open
	c.mu.Unlock()
	if open != nil {
		open.cancel(presence.ErrLeft)
	}
}

// recordDeparture records that the caller closed the connection while a request was open.
// Callers hold c.mu.
func (c *conn) recordDeparture(by presence.Source) {
	if c.phase != active || !c.departure.At.IsZero() {
		return
	}
	c.departure = presence.Departure{At: time.Now(), By: by, Age: sinceLastSegment(c.Conn)}
	counts.Add("departures", 1)
	if c.departure.Age >= lateNotice {
		counts.Add("departures_late", 1)
	}
}

// unreadConns are the connections that have an open request and that nobody has read since
// bytes came. Package net/http reads one byte ahead to notice the close of a connection. It
// doesn't read on after a byte that belongs to the next request, so that a close behind it
// would go unnoticed until the answer is written.
type unreadConns struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
	armed bool // a check is due
}

func (u *unreadConns) add(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns == nil {
		u.conns = make(map[*conn]struct{})
	}
	u.conns[c] = struct{}{}
	u.arm()
}

// arm schedules a check, unless one is due. Callers hold u.mu.
func (u *unreadConns) arm() {
	if !u.armed {
		u.armed = true
		time.AfterFunc(watchInterval, u.check)
	}
}

func (u *unreadConns) remove(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}

// check ends the requests whose callers have left.
func (u *unreadConns) check() {
	u.mu.Lock()
	conns := make([]*conn, 0, len(u.conns))
	for c := range u.conns {
		conns = append(conns, c)
	}
	u.armed = false
	if len(conns) > 0 {
		u.arm()
	}
	u.mu.Unlock()
	for _, c := range conns {
		c.endIfLeft()
	}
}
