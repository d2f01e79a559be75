package once

import (
	"sync/atomic"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/record"
)

// ticket implements Ticket.
type ticket struct {
	l    *LogDeduplicator
	a    *attempt
	used atomic.Bool
}

// Done implements Ticket.
func (t *ticket) Done(a Answer) {
	r := t.a.result(code.OK)
	r.Status, r.Type, r.Body, r.Kept = a.Status, a.Type, a.Body, true
	t.finish(r)
}

// NotRun implements Ticket. A code that does not imply "not run" is replaced by
// TargetUnreachable, because the caller of this method has proof that nothing
// ran.
func (t *ticket) NotRun(c code.Code) {
	if !c.Info().NotRun {
		c = code.TargetUnreachable
	}
	t.finish(t.a.result(c))
}

// Unknown implements Ticket.
func (t *ticket) Unknown() { t.finish(t.a.result(code.OutcomeUnknown)) }

func (t *ticket) finish(r *record.Result) {
	if t.used.Swap(true) {
		counts.Add("ticket_used_twice", 1)
		return
	}
	t.l.attempts.finish(t.a, r)
	t.l.queueResult(t.a, resultForLog(r))
}
