package ingress

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/request/duration"
)

const (
	// stoppingRetryAfter is the Retry-After time of requests that are refused
	// because the process stops. It is short since other daemons can serve them.
	stoppingRetryAfter = 20 * time.Millisecond
	// allStoppingRetryAfter is used while all daemons are being stopped. The others
	// would refuse the request, too, and its caller might not try a third time.
	// Daemons start again within about that time.
	allStoppingRetryAfter = time.Second
	// lastAnswerTime is the time before a stop that is kept for error answers to the
	// calls that have no answer yet.
	lastAnswerTime = 150 * time.Millisecond
)

// plannedStop holds the times of a planned stop.
type plannedStop struct {
	end         time.Time // when open connections are closed
	lastArrival time.Time // until when callers can't know of the stop
}

// errStopping ends calls that have no answer when the process stops. It is a
// DeadlineExceeded, since the call's time is over.
var errStopping = fmt.Errorf("the daemon stops: %w", context.DeadlineExceeded)

// StopAt announces that the process closes its connections at end. Until then every
// answer asks its caller to close the connection, and calls that are expected to last
// longer are refused, so that another daemon can answer them. Calls that have no answer shortly
// before end are answered with an error.
//
// Callers that send before lastArrival can't know of the stop. While no other daemon
// serves, their requests are accepted even if the answers may be cut: a refused caller
// has nowhere else to go.
func (i *Ingress) StopAt(end, lastArrival time.Time) {
	i.stop.Store(&plannedStop{end: end, lastArrival: lastArrival})
	time.AfterFunc(time.Until(end)-lastAnswerTime, i.endWaiting)
}

// untilStop returns a context for the call's run that ends shortly before a planned
// stop if the answer hasn't begun by then.
func (x *exchange) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(x.waiting, func() {
		if !x.headerSent.Load() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// stopError returns the error of a call, with its own code if the stop ended it.
func (x *exchange) stopError(ctx context.Context, err error) error {
	if code.Of(err) == code.DeadlinePassed && errors.Is(context.Cause(ctx), errStopping) {
		return code.Wrap(code.Stopped, err, "")
	}
	return err
}

// stopsBefore reports whether a call is refused because the process stops before its
// answer is expected to be complete.
func (i *Ingress) stopsBefore(c *dispatch.Call) bool {
	stop := i.stop.Load()
	if stop == nil || !i.o.Durations.Outlasts(durationCall(c), stop.end) {
		return false
	}
	return i.othersServe() || c.Arrived.After(stop.lastArrival)
}

func (i *Ingress) othersServe() bool { return i.o.OthersServe == nil || i.o.OthersServe() }

func durationCall(c *dispatch.Call) duration.Call {
	return duration.Call{Route: c.Route.Name, Output: c.Meta.MaxOutputTokens, Arrived: c.Arrived, Timeout: callTimeout(c)}
}

// refuse returns the error for a call whose answer may outlast the process.
func (i *Ingress) refuse() error {
	after := stoppingRetryAfter
	if !i.othersServe() {
		after = allStoppingRetryAfter
	}
	return code.New(code.Draining, "the answer may take longer than this daemon stays").WithRetryAfter(after)
}
