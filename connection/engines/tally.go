package engines

import "github.com/pomelospool/pomelospool/port"

// tally is the sum of several daemons' reports of one engine, kept up to date
// as reports come and go.
//
// The load that it answers: each request looks at each engine several times.
// Summed up at each look over the reports of 295 daemons, one look took 5.1 µs
// and a request 6 ms of a VM with a fifth of a core; kept up to date, a look
// takes the same with 6 daemons and with 1,000.
type tally struct {
	Work
	decode, prefill int // daemons whose orders make it that
}

func (t *tally) put(w *Work) {
	t.add(w)
	t.becoming(w.Becomes, 1)
}

func (t *tally) take(w *Work) {
	t.Reading -= w.Reading
	t.Prompts -= w.Prompts
	t.Streams -= w.Streams
	t.Down -= w.Down
	t.becoming(w.Becomes, -1)
}

// becoming counts daemons that order a role, and notes the one that is ordered.
func (t *tally) becoming(r port.Role, n int) {
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

// add adds up all but the role that the engine takes.
func (w *Work) add(o *Work) {
	w.Reading += o.Reading
	w.Prompts += o.Prompts
	w.Streams += o.Streams
	w.Down += o.Down
}
