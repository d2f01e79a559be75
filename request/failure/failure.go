// Package failure classifies failed attempts by what the target may have done.
// The class decides whether the request may be repeated and whether the caller
// may be told that it didn't run.
package failure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"

	"github.com/pomelospool/pomelospool/connection/h1"
)

// Class is the class of a failed attempt.
type Class int

// Classes of failures.
const (
	NotWritten Class = iota // no byte of the request was written
	NoAnswer                // the connection broke after the request was written, before an answer
	Stalled                 // the request was written, and the progress timeout expired
	Cut                     // the answer ended early
	Mismatch                // the answer belongs to another request or isn't from the target
	NotRun                  // the target answered that it didn't run the request
	Failed                  // the target answered with a server error
	Refused                 // the target answered that the request is invalid
	CallerGone              // the caller has disconnected
	Late                    // the deadline passed
	Handover                // no failure: another engine continues the answer
)

var classNames = [...]string{
	"not written", "no answer", "silent", "cut", "mismatch",
	"not run", "failed", "refused", "caller gone", "late", "handover",
}

// String returns the name of the class in logs.
func (c Class) String() string { return classNames[c] }

// Metric returns the name of the class as a metric key.
func (c Class) Metric() string { return strings.ReplaceAll(c.String(), " ", "_") }

// Failure is the error of a failed attempt.
type Failure struct {
	Class  Class
	Target string // name or id
	Err    error
	// Unwritten reports that no byte was written. It is separate from Class
	// because CallerGone and Late occur with and without written bytes.
	Unwritten bool
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("target %s: %s: %v", f.Target, f.Class, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// MayHaveRun reports whether the target may have run the request.
func (f *Failure) MayHaveRun() bool {
	return !f.Unwritten && f.Class != NotWritten && f.Class != NotRun
}

// Settled reports whether the target won't receive the request any more. It has
// then closed the connection, or its kernel hasn't received the request.
func (f *Failure) Settled() bool {
	var he *h1.Error
	if errors.As(f.Err, &he) && he.Unacknowledged {
		return true
	}
	return EndedByTarget(f.Err)
}

// EndedByTarget reports whether err says that the target closed or reset the connection.
func EndedByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Final reports whether another attempt is pointless because the caller has
// disconnected or the deadline has passed.
func (f *Failure) Final() bool { return f.Class == CallerGone || f.Class == Late }

// Cause describes the error for a log line.
func (f *Failure) Cause() string { return Cause(f.Err) }

// ClassOf returns the class of the *Failure that err wraps, or other if it wraps
// none.
func ClassOf(err error, other Class) Class {
	var f *Failure
	if errors.As(err, &f) {
		return f.Class
	}
	return other
}

// ClassifySend classifies an error of sending a request and reading the answer's header.
// ctx is the request's context. The class is NotWritten only if err proves it:
// otherwise a second attempt could run a call twice, so that a caller gets a
// confirmation twice, for example.
func ClassifySend(ctx context.Context, target string, err error) *Failure {
	f := &Failure{Class: NoAnswer, Target: target, Err: err}
	f.refineClass(ctx)
	var he *h1.Error
	f.Unwritten = errors.As(err, &he) && !he.Written
	if f.Unwritten && !f.Final() {
		f.Class = NotWritten
	}
	return f
}

// ClassifyRead classifies an error of reading an answer's body. If err wraps a *Failure,
// its class is kept.
func ClassifyRead(ctx context.Context, target string, err error) *Failure {
	f := &Failure{Class: ClassOf(err, Cut), Target: target, Err: err}
	if f.Class == Cut {
		f.refineClass(ctx)
	}
	return f
}

// refineClass replaces the class of a broken connection if the actual cause is
// a progress timeout, the passed deadline or a caller that has disconnected.
func (f *Failure) refineClass(ctx context.Context) {
	switch {
	case errors.Is(f.Err, h1.ErrNoProgress):
		f.Class = Stalled
	case ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		f.Class = Late
	default:
		f.Class = CallerGone
	}
}
