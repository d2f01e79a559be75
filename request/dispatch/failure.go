package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/health"
)

// class tells failed sends apart by what the target may have done.
type class int

const (
	unreachable class = iota // no byte was written
	notRun                   // the target says that it ran nothing
	broken                   // the answer is missing, broke off, or is none
	failed                   // the target's own answer of failure
	silent                   // no answer within the time given to this send
	callerGone
	late // the deadline or the route's timeout passed
)

var classNames = [...]string{"unreachable", "not run", "broken", "failed", "silent", "caller gone", "late"}

// String names the class for logs.
func (c class) String() string { return classNames[c] }

// failure is why a send failed.
type failure struct {
	class  class
	target string
	err    error
	answer *Answer       // the target's own, if it gave one
	after  time.Duration // the target said when to come back
	noted  bool          // the target was judged already
}

// Error names the target, the class and the cause.
func (f *failure) Error() string {
	return fmt.Sprintf("target %s: %s: %s", f.target, f.class, f.cause())
}

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.err }

// mayHaveRun tells whether the target may have run the request.
func (f *failure) mayHaveRun() bool {
	return f.class != unreachable && f.class != notRun
}

// outcome is what the failure says of the target.
func (f *failure) outcome() (health.Outcome, bool) {
	switch f.class {
	case unreachable, silent:
		return health.Unreachable, true
	case broken, failed:
		return health.Failed, true
	case notRun:
		return health.Refused, true
	}
	return health.OK, false
}

// errOf names the failures that have no error of their own.
var (
	errUnsigned  = errors.New("the answer isn't the target's own")
	errTooLarge  = errors.New("the answer is too large")
	errTimeout   = errors.New("the time for the request is over")
	errWrongOne  = errors.New("another target has the address")
	errSaysNoRun = errors.New("the target says that it ran nothing")
)

// cause describes the error without anything that a caller or target sent.
func (f *failure) cause() string {
	var errno syscall.Errno
	var op *net.OpError
	switch {
	case f.answer != nil && f.class == failed:
		return fmt.Sprintf("status %d", f.answer.Status)
	case errors.As(f.err, &errno):
		return errno.Error()
	case errors.Is(f.err, io.ErrUnexpectedEOF), errors.Is(f.err, io.EOF):
		return "the connection ended"
	case errors.As(f.err, &op):
		return op.Op + " failed"
	case errors.Is(f.err, h1.ErrConnect):
		return h1.ErrConnect.Error()
	}
	for _, known := range []error{errUnsigned, errTooLarge, h1.ErrSilent, errTimeout, errWrongOne, errSaysNoRun, errNoDecoder, context.Canceled} {
		if errors.Is(f.err, known) {
			return known.Error()
		}
	}
	return fmt.Sprintf("%T", f.err)
}

// sendFailure classes an error of h1. Whether the caller left or the time is
// over is read from ctx, of the call, before the target is blamed.
func sendFailure(ctx context.Context, target string, err error) *failure {
	f := &failure{class: broken, target: target, err: err}
	var he *h1.Error
	if errors.As(err, &he) && !he.Written {
		f.class = unreachable
	}
	if errors.Is(err, h1.ErrSilent) && f.class == broken {
		f.class = silent
	}
	f.stopped(ctx)
	return f
}

// stopped turns the failure into the caller's leaving or the end of its time.
// A request of which nothing was written stays so.
func (f *failure) stopped(ctx context.Context) {
	if ctx.Err() == nil || f.class == unreachable {
		return
	}
	f.class = callerGone
	if cause := context.Cause(ctx); errors.Is(cause, errTimeout) || errors.Is(cause, context.DeadlineExceeded) {
		f.class = late
	}
}

// finalError turns the end of a call into its code. "Not run" must be true: it
// is said only when every send was refused or never written.
func (u *run) finalError(ctx context.Context, f *failure) error {
	switch {
	case f.class == callerGone:
		return code.Wrap(code.CallerGone, f, "")
	case u.ran > 0 && f.class == late:
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

func (u *run) comeBack(f *failure) time.Duration {
	d := u.c.Route.Objective / 2
	if f != nil && f.after > 0 {
		d = f.after
	}
	return min(max(d, minComeBack), maxComeBack)
}

// promises tells whether a status says that the request didn't run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
