package drain

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/internal/presence"
)

const (
	// lateNotice is the age of a close from which on its departure is counted as late.
	lateNotice = 500 * time.Millisecond
	// checkInterval is the time for which the result of a check holds.
	checkInterval = 10 * time.Millisecond
)

// request is an open request. It implements presence.Caller.
type request struct {
	c      *conn
	cancel context.CancelCauseFunc
	check  atomic.Int64 // when the connection was last checked, in nanoseconds since processStart
}

var processStart = time.Now()

// openRequest returns the request with a context that ends when its caller has left. done
// must be called when the request has been handled.
func openRequest(req *http.Request) (_ *http.Request, done func()) {
	c, ok := req.Context().Value(connKey{}).(*conn)
	if !ok {
		return req, func() {}
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	r := &request{c: c, cancel: cancel}
	r.checkNow()
	return req.WithContext(presence.WithCaller(ctx, r)), func() { cancel(nil) }
}

// Check implements presence.Caller. It does nothing if there was a check within
// checkInterval.
func (r *request) Check() {
	if time.Since(processStart)-time.Duration(r.check.Load()) >= checkInterval {
		r.checkNow()
	}
}

func (r *request) checkNow() {
	if r.c.leftBy(presence.ByCheck) {
		r.cancel(presence.ErrLeft)
	}
	r.check.Store(int64(time.Since(processStart)))
}

// Departure implements presence.Caller.
func (r *request) Departure() (presence.Departure, bool) {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.c.departure, !r.c.departure.At.IsZero()
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
