package fold

import (
	"encoding/json"

	"github.com/pomelospool/pomelospool/process/record"
)

// Apply folds the record at offset into the state. A record that was already
// folded has no effect. ErrGap means that earlier records are missing. Every
// daemon alike ignores records of an unknown kind or that can't be decoded.
//
// An append whose response was lost may be in the log twice. Most records name
// the state that they depend on, so a duplicate finds it changed and is void: a
// claim names the preceding claim, an order names the record that ended the
// order before it, and a verdict, a release and the end of an order name what
// they end. Only a refused document leaves its base unchanged. Its id is
// therefore kept with the outcome, see hasDocument.
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
		decodeBody(e, func(d record.Document) { s.document(offset, e.ID, d) })
	case record.KindVerdict:
		decodeBody(e, func(v record.Verdict) { s.verdict(offset, v) })
	case record.KindClaim:
		decodeBody(e, func(c record.Claim) { s.claim(offset, c) })
	case record.KindRelease:
		decodeBody(e, func(r record.Release) { s.release(r) })
	case record.KindOrder:
		decodeBody(e, func(o record.Order) { s.order(offset, e.ID, o) })
	case record.KindOrderDone:
		decodeBody(e, func(d record.OrderDone) { s.orderDone(offset, d) })
	case record.KindCheckpoint:
		decodeBody(e, func(c checkpointCovers) { s.checkpoint(offset, c.Covers) })
	}
}

// decodeBody decodes the body of e and passes it to f. It ignores a body that
// can't be decoded.
func decodeBody[T any](e record.Envelope, f func(T)) {
	var body T
	if json.Unmarshal(e.Body, &body) == nil {
		f(body)
	}
}
