// Package once runs each non-idempotent request at most once, also when
// daemons, targets or the log fail.
package once

import (
	"context"

	"github.com/pomelospool/pomelospool/code"
)

// Call identifies one non-idempotent request.
type Call struct {
	Service string
	Key     string // the caller's Idempotency-Key
	Digest  uint64 // of method, path and body, to detect a reused key
}

// Answer is the complete answer of a target.
type Answer struct {
	Status int
	Type   string // content type
	Body   []byte
}

// Deduplicator decides which attempt of a call may run. It is safe for concurrent use.
type Deduplicator interface {
	// Begin returns a ticket if this process, and no other, may run the call
	// now, or the first answer if it is known. Its errors carry code.KeyBusy,
	// code.KeyReused, code.OutcomeUnknown, code.OnceUnavailable or
	// code.AnswerNotKept.
	Begin(ctx context.Context, c Call) (Ticket, *Answer, error)
}

// Ticket is the right to run a call once. Exactly one of its methods must be
// called, exactly once. None of them waits for the log.
type Ticket interface {
	// Done records the complete answer.
	Done(a Answer)
	// NotRun frees the key. The caller must be certain that nothing was written
	// to a target.
	NotRun(c code.Code)
	// Unknown closes the key permanently because the call may have run.
	Unknown()
}
