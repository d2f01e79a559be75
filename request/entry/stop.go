package entry

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/stopping"
)

// stoppingRetryAfter is the Retry-After time of requests that are refused because
// their answers may take longer than the daemon stays. It is short since other
// daemons can serve them.
const stoppingRetryAfter = 20 * time.Millisecond

// StopAt announces that open requests are cut at end. Until Drain, requests whose
// deadline passes later are refused, so that another daemon can serve them. An
// estimate of their durations would be no bound: the mix may change during the stop.
func (e *Entry) StopAt(end time.Time) { e.stopAt.Store(&end) }

// begin counts a request as open, or refuses it. The count is incremented
// before the draining flag is read, so that Drain can't miss a request that
// passed the check.
func (e *Entry) begin(deadline time.Time) error {
	e.open.Add(1)
	err := e.checkAccepting()
	if err == nil {
		err = e.checkStop(deadline)
	}
	if err != nil {
		e.open.Add(-1)
	}
	return err
}

// checkStop refuses a request that may be open when the daemon stops.
func (e *Entry) checkStop(deadline time.Time) error {
	if end := e.stopAt.Load(); end != nil && deadline.After(*end) {
		return code.New(code.Draining, "the answer may take longer than this daemon stays").WithRetryAfter(stoppingRetryAfter)
	}
	return nil
}

// EndCalls ends the open requests with errors, so that their callers get answers rather
// than closed connections. Calls that may run once go on without their callers.
func (e *Entry) EndCalls() { e.endCalls() }

// callContext returns a context for a request's run. It ends at the deadline, or with
// EndCalls.
func (e *Entry) callContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, release := stopping.WithStop(ctx, e.calls, func() bool { return true })
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		cancel()
		release()
	}
}
