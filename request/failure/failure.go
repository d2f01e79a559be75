// Package failure classes failed attempts at targets by what the target may
// have done. Whether a request may be repeated, and whether its caller may be
// told that it didn't run, hangs on the class.
package failure

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/pomelospool/pomelospool/connection/h1"
)

// Class tells failed attempts apart by what the target may have done.
type Class int

// The classes.
const (
	NotWritten Class = iota // proven: no byte of the request was written
	NoAnswer                // written, and the connection broke before an answer
	Silent                  // written, and no progress in time
	Cut                     // the answer broke off
	Mismatch                // the answer isn't the target's own, or belongs to another request
	NotRun                  // the target says itself that it ran nothing
	Failed                  // the target answered with a server error
	Refused                 // the target answered that the request is wrong
	CallerGone              // the caller takes no more
	Late                    // the deadline passed
	Handover                // no failure: another engine goes on
)

var classNames = [...]string{
	"not written", "no answer", "silent", "cut", "mismatch",
	"not run", "failed", "refused", "caller gone", "late", "handover",
}

// String names the class for logs.
func (c Class) String() string { return classNames[c] }

// Metric names the class as the key of a metric.
func (c Class) Metric() string { return strings.ReplaceAll(c.String(), " ", "_") }

// Failure is why an attempt failed.
type Failure struct {
	Class  Class
	Target string // name or id
	Err    error
	// Unwritten is set when no byte was written, whatever the class: a caller
	// that left or a deadline that passed ends the request either way.
	Unwritten bool
}

// Error names the target, the class and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("target %s: %s: %v", f.Target, f.Class, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// MayHaveRun reports whether the target may have run the request.
func (f *Failure) MayHaveRun() bool {
	return !f.Unwritten && f.Class != NotWritten && f.Class != NotRun
}

// Final reports whether nobody waits for another attempt.
func (f *Failure) Final() bool { return f.Class == CallerGone || f.Class == Late }

// Cause describes the error for a log line.
func (f *Failure) Cause() string { return Cause(f.Err) }

// ClassOf returns the class that err holds, or other.
func ClassOf(err error, other Class) Class {
	var f *Failure
	if errors.As(err, &f) {
		return f.Class
	}
	return other
}

// Send classes an error of sending a request and reading the answer's header.
// ctx is the request's. Without proof that the target saw nothing, a second
// attempt could run a call twice: a doubled confirmation.
func Send(ctx context.Context, target string, err error) *Failure {
	f := &Failure{Class: NoAnswer, Target: target, Err: err}
	f.settle(ctx)
	var he *h1.Error
	f.Unwritten = errors.As(err, &he) && !he.Written
	if f.Unwritten && !f.Final() {
		f.Class = NotWritten
	}
	return f
}

// Read classes an error of reading an answer's body; a class that err holds
// already stays.
func Read(ctx context.Context, target string, err error) *Failure {
	f := &Failure{Class: ClassOf(err, Cut), Target: target, Err: err}
	if f.Class == Cut {
		f.settle(ctx)
	}
	return f
}

// settle tells a target that went silent, a caller that left and the end of the
// deadline from a connection that broke.
func (f *Failure) settle(ctx context.Context) {
	switch {
	case errors.Is(f.Err, h1.ErrSilent):
		f.Class = Silent
	case ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		f.Class = Late
	default:
		f.Class = CallerGone
	}
}
