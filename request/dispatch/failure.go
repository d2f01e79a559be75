package dispatch

import (
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/request/failure"
)

// sendFailure is a send that failed.
type sendFailure struct {
	*failure.Failure
	answer         *Answer       // the target's own, if it gave one
	retryAfter     time.Duration // the target said when to come back
	healthRecorded bool          // the target was judged already
}

// newFailure makes a failed send.
func newFailure(class failure.Class, target string, err error) *sendFailure {
	return &sendFailure{Failure: &failure.Failure{Class: class, Target: target, Err: err}}
}

// healthOutcome is what the failure says of the target. It reports false if the call
// ended on the caller's side: by its leaving or by its deadline.
func (f *sendFailure) healthOutcome() (health.Outcome, bool) {
	switch {
	case f.Final():
		return health.OK, false
	case f.Unwritten || f.Class == failure.Silent:
		return health.Unreachable, true
	case f.Class == failure.NotRun:
		return health.Refused, true
	}
	return health.Failed, true
}

// Causes in words of this code's own.
const (
	errUnsigned    = failure.Detail("the answer isn't the target's own")
	errTooLarge    = failure.Detail("the answer is too large")
	errWrongTarget = failure.Detail("another target has the address")
	errNotRun      = failure.Detail("the target says that it ran nothing")
	errNoDecoder   = failure.Detail("no engine decodes")
)

// finalError turns the end of a call into its code. "Not run" must be true: it
// is said only when every send was refused or never written.
func (x *execution) finalError(f *sendFailure) error {
	switch {
	case f.Class == failure.CallerGone:
		return code.Wrap(code.CallerGone, f, "")
	case x.possibleRuns > 0 && f.Class == failure.Late:
		return code.Wrap(code.DeadlinePassed, f, "after %d sends", x.trace.Sends)
	case x.possibleRuns > 0:
		return code.Wrap(code.TargetFailed, f, "after %d sends", x.trace.Sends)
	}
	return code.Wrap(code.NoTarget, f, "after %d sends", x.trace.Sends).After(x.retryDelay(f))
}

// The least and the most that a caller is asked to wait.
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

// impliesNotRun reports whether a status says that the request didn't run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
