package dispatch

import (
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/request/failure"
)

// sendFailure describes a failed send.
type sendFailure struct {
	*failure.Failure
	answer         *Answer       // the target's answer, if there was one
	retryAfter     time.Duration // stated by the target; 0 if it wasn't
	healthRecorded bool          // the target's health has been updated
	cancelled      bool          // the prefill ended only because its answer was of no use any more
}

func newFailure(class failure.Class, target string, err error) *sendFailure {
	return &sendFailure{Failure: &failure.Failure{Class: class, Target: target, Err: err}}
}

// sendCost returns the number of sends that the budget is charged with if the
// failed send is repeated.
func (f *sendFailure) sendCost() int {
	if f.Class == failure.NotWritten {
		return 0
	}
	return 1
}

// healthOutcome returns what the failure means for the target's health. It
// returns false if the call ended because the caller left or its deadline
// passed.
func (f *sendFailure) healthOutcome() (health.Outcome, bool) {
	switch {
	case f.Final():
		return health.OK, false
	case f.cancelled:
		return health.Failed, true // the engine may only have a long queue, so it isn't ejected
	case f.Unwritten || f.Class == failure.Stalled:
		return health.Unreachable, true
	case f.Class == failure.NotRun:
		return health.Refused, true
	}
	return health.Failed, true
}

// Causes of failures that this package detects itself.
const (
	errUnsigned    = failure.Detail("the answer isn't the target's own")
	errTooLarge    = failure.Detail("the answer is too large")
	errWrongTarget = failure.Detail("another target has the address")
	errNotRun      = failure.Detail("the target says that it ran nothing")
	errNoDecoder   = failure.Detail("no engine decodes")
)

// finalError returns the error that ends the call. It states that nothing
// ran only if every send was rejected or never written.
func (x *execution) finalError(f *sendFailure) error {
	switch {
	case f.Class == failure.CallerGone:
		return code.Wrap(code.CallerGone, f, "")
	case x.possibleRuns > 0 && f.Class == failure.Late:
		return code.Wrap(code.DeadlinePassed, f, "after %d sends", x.trace.Sends)
	case x.possibleRuns > 0:
		return code.Wrap(code.TargetFailed, f, "after %d sends", x.trace.Sends)
	}
	return code.Wrap(code.NoTarget, f, "after %d sends", x.trace.Sends).WithRetryAfter(x.retryDelay(f))
}

// Bounds of the delay after which a caller is asked to retry.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

func (x *execution) retryDelay(f *sendFailure) time.Duration {
	d := x.call.Route.Objective / 2
	if f != nil && f.retryAfter > 0 {
		d = f.retryAfter
	}
	return min(max(d, minRetryDelay), maxRetryDelay)
}

// impliesNotRun reports whether callers take a status to mean that the
// request didn't run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
