package attempt

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pomelospool/pomelospool/code"
)

// Class tells failed attempts apart by what the target may have done.
type Class int

// The classes.
const (
	NotWritten Class = iota // proven: no byte of the request was written
	NoAnswer                // written, and the connection broke before an answer
	Silent                  // written, and no progress in time
	Cut                     // the answer broke off
	Mismatch                // the answer belongs to another request
	Busy                    // the target answered that it has no room
	Failed                  // the target answered with a server error
	Refused                 // the target answered that the request is wrong
	CallerGone              // the caller takes no more
	Late                    // the deadline passed
	Handover                // no failure: another engine goes on
)

var classNames = [...]string{
	"not written", "no answer", "silent", "cut", "mismatch",
	"busy", "failed", "refused", "caller gone", "late", "handover",
}

// String names the class for logs.
func (c Class) String() string { return classNames[c] }

// metric names the class as the key of a metric.
func (c Class) metric() string { return strings.ReplaceAll(c.String(), " ", "_") }

var classCodes = [...]code.Code{
	NotWritten: code.TargetUnreachable,
	NoAnswer:   code.TargetFailed,
	Silent:     code.TargetFailed,
	Cut:        code.StreamCut,
	Mismatch:   code.AnswerMismatch,
	Busy:       code.TargetFailed,
	Failed:     code.TargetFailed,
	Refused:    code.TargetRefused,
	CallerGone: code.CallerGone,
	Late:       code.DeadlinePassed,
	Handover:   code.TargetFailed,
}

// Failure is why an attempt failed.
type Failure struct {
	Class  Class
	Target string
	Err    error

	notWritten bool // proven, whatever the class
	unforeseen bool // a refusal that nothing known of the target announced
}

// Error names the target, the class and the cause.
func (f *Failure) Error() string {
	return fmt.Sprintf("target %s: %s: %v", f.Target, f.Class, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// repeatable tells whether another attempt is allowed. Without proof that the
// target saw nothing, a second attempt could run a call twice: a doubled
// confirmation. So only idempotent requests go on after a byte was written.
func (f *Failure) repeatable(idempotent bool) bool {
	switch f.Class {
	case NotWritten:
		return true
	case NoAnswer, Silent, Cut, Mismatch, Busy, Failed, Handover:
		return idempotent
	}
	return false
}

// breaks tells whether the failure may mean that the target died.
func (f *Failure) breaks() bool {
	return f.Class == NoAnswer || f.Class == Cut
}

// classOf returns the class that a receiver put into err, or other.
func classOf(err error, other Class) Class {
	var f *Failure
	if errors.As(err, &f) {
		return f.Class
	}
	return other
}
