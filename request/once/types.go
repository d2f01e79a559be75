// Package once lets a non-idempotent request run at most once, whatever
// daemons, targets and the log do meanwhile.
package once

import (
	"context"

	"github.com/pomelospool/pomelospool/code"
)

// Call names one non-idempotent request.
type Call struct {
	Service string
	Key     string // the caller's Idempotency-Key
	Digest  uint64 // of method, path and body, to catch a reused key
}

// Answer is the whole answer of a target.
type Answer struct {
	Status int
	Type   string // content type
	Body   []byte
}

// Keeper decides which attempt may run. It is safe for concurrent use.
type Keeper interface {
	// Begin returns a ticket when this process alone may run the call now, or
	// the first answer when it is known. Its errors carry code.KeyBusy,
	// code.KeyReused, code.OutcomeUnknown, code.OnceUnavailable or
	// code.AnswerNotKept.
	Begin(ctx context.Context, c Call) (Ticket, *Answer, error)
}

// Ticket is the right to run a call once. Exactly one of its methods is
// called, once; none of them waits for the log.
type Ticket interface {
	// Done records the whole answer.
	Done(a Answer)
	// NotRun frees the key. The caller proves that nothing was written to a target.
	NotRun(c code.Code)
	// Unknown closes the key for good: the call may have run.
	Unknown()
}
