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

func (t *workSum) include(w *Work) {
	t.add(w)
	t.countRole(w.Becomes, 1)
}

func (t *workSum) exclude(w *Work) {
	t.Reading -= w.Reading
	t.Prompts -= w.Prompts
	t.Streams -= w.Streams
	t.Down -= w.Down
	t.countRole(w.Becomes, -1)
}

// countRole adds n to the number of daemons that ordered the role r, and updates
// Becomes.
func (t *workSum) countRole(r port.Role, n int) {
	switch r {
	case port.RoleDecode:
		t.decode += n
	case port.RolePrefill:
		t.prefill += n
	default:
		return
	}
	switch {
	case t.decode > 0:
		t.Becomes = port.RoleDecode
	case t.prefill > 0:
		t.Becomes = port.RolePrefill
	default:
		t.Becomes = ""
	}
}

// add adds all fields of o but Becomes.
func (w *Work) add(o *Work) {
	w.Reading += o.Reading
	w.Prompts += o.Prompts
	w.Streams += o.Streams
	w.Down += o.Down
}
