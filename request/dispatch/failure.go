package dispatch

import (
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/request/failure"
)

// failed is a send that failed.
type failed struct {
	*failure.Failure
	answer *Answer       // the target's own, if it gave one
	after  time.Duration // the target said when to come back
	noted  bool          // the target was judged already
}

// fail makes a failed send.
func fail(class failure.Class, target string, err error) *failed {
	return &failed{Failure: &failure.Failure{Class: class, Target: target, Err: err}}
}

// outcome is what the failure says of the target. It reports false if the call
// ended on the caller's side: by its leaving or by its deadline.
func (f *failed) outcome() (health.Outcome, bool) {
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
	errUnsigned  = failure.Detail("the answer isn't the target's own")
	errTooLarge  = failure.Detail("the answer is too large")
	errWrongOne  = failure.Detail("another target has the address")
	errSaysNoRun = failure.Detail("the target says that it ran nothing")
	errNoDecoder = failure.Detail("no engine decodes")
)

// finalError turns the end of a call into its code. "Not run" must be true: it
// is said only when every send was refused or never written.
func (u *run) finalError(f *failed) error {
	switch {
	case f.Class == failure.CallerGone:
		return code.Wrap(code.CallerGone, f, "")
	case u.ran > 0 && f.Class == failure.Late:
		return code.Wrap(code.DeadlinePassed, f, "after %d sends", u.trace.Sends)
	case u.ran > 0:
		return code.Wrap(code.TargetFailed, f, "after %d sends", u.trace.Sends)
	}
	return code.Wrap(code.NoTarget, f, "after %d sends", u.trace.Sends).After(u.comeBack(f))
}

// The least and the most that a caller is asked to wait.
const (
	minComeBack = 100 * time.Millisecond
	maxComeBack = 2 * time.Second
)

func (u *run) comeBack(f *failed) time.Duration {
	d := u.c.Route.Objective / 2
	if f != nil && f.after > 0 {
		d = f.after
	}
	return min(max(d, minComeBack), maxComeBack)
}

// promises reports whether a status says that the request didn't run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
