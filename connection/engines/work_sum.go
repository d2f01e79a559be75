package engines

import "github.com/pomelospool/pomelospool/port"

// workSum is the sum of several daemons' reports on one engine. It is updated
// incrementally when reports are added and removed.
//
// Each request looks up each engine several times. Computing the sum of the
// reports of 295 daemons in each look-up took 5.1 µs, and 6 ms per request on a
// VM with a fifth of a core. With the incremental sum, the time of a look-up
// doesn't depend on the number of daemons.
type workSum struct {
	Work
	decode, prefill int // number of daemons that ordered the change to this role
}

func (s *workSum) include(w *Work) {
	s.add(w)
	s.countRole(w.Becomes, 1)
}

func (s *workSum) exclude(w *Work) {
	s.Reading -= w.Reading
	s.Prompts -= w.Prompts
	s.Streams -= w.Streams
	s.Down -= w.Down
	s.countRole(w.Becomes, -1)
}

// countRole adds n to the number of daemons that ordered the role r, and updates
// Becomes.
func (s *workSum) countRole(r port.Role, n int) {
	switch r {
	case port.RoleDecode:
		s.decode += n
	case port.RolePrefill:
		s.prefill += n
	default:
		return
	}
	switch {
	case s.decode > 0:
		s.Becomes = port.RoleDecode
	case s.prefill > 0:
		s.Becomes = port.RolePrefill
	default:
		s.Becomes = ""
	}
}

// add adds all fields of o but Becomes.
func (w *Work) add(o *Work) {
	w.Reading += o.Reading
	w.Prompts += o.Prompts
	w.Streams += o.Streams
	w.Down += o.Down
}
