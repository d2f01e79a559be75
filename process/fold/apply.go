package fold

import (
	"encoding/json"

	"github.com/pomelospool/pomelospool/process/record"
)

// Apply folds the record at offset into the state. A record that was folded
// before has no effect; ErrGap means that others are missing before it. What
// can't be decoded and what is of an unknown kind is passed over, the same at
// every daemon.
//
// The guard is against an append whose answer was lost and that stands twice.
// Most records name what they were decided on, so a copy at any distance finds
// that changed and is void: a claim its predecessor, an order the one that
// ended before it, a verdict, a release and the end of an order what they end.
// Only a document that was refused leaves its base as it was; its id is kept
// with the outcome, see known.
func (s *State) Apply(offset int64, data []byte) error {
	if offset <= s.Applied {
		return nil
	}
	if offset > s.Applied+1 {
		return ErrGap
	}
	s.Applied = offset
	var e record.Envelope
	if json.Unmarshal(data, &e) != nil {
		return nil
	}
	s.apply(offset, e)
	return nil
}

func (s *State) apply(offset int64, e record.Envelope) {
	switch e.Kind {
	case record.KindDocument:
		with(e, func(d record.Document) { s.document(offset, e.ID, d) })
	case record.KindVerdict:
		with(e, func(v record.Verdict) { s.verdict(offset, v) })
	case record.KindClaim:
		with(e, func(c record.Claim) { s.claim(offset, c) })
	case record.KindRelease:
		with(e, func(r record.Release) { s.release(r) })
	case record.KindOrder:
		with(e, func(o record.Order) { s.order(offset, e.ID, o) })
	case record.KindOrderDone:
		with(e, func(d record.OrderDone) { s.orderDone(offset, d) })
	case record.KindCheckpoint:
		with(e, func(c coversOnly) { s.checkpoint(offset, c.Covers) })
	}
}

// with decodes the body of e and passes it on, or does nothing.
func with[T any](e record.Envelope, f func(T)) {
	var body T
	if json.Unmarshal(e.Body, &body) == nil {
		f(body)
	}
}
