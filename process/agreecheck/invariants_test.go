package agreecheck

import (
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
)

// accepted checks that versions go up and that no decision counts twice.
func (w *world) accepted(svc fold.Service, before int64) {
	w.stats.accepted++
	if svc.Version < before {
		w.fail("version went back from %d to %d", before, svc.Version)
	}
	if old, ok := w.tokens[svc.YAML]; ok {
		w.fail("document %s in force a second time, as %d after %d", svc.YAML, svc.Version, old)
	}
	w.tokens[svc.YAML] = svc.Version
}

// deliver hands an order to its engine, if the connection still exists.
func (w *world) deliver(x *write) {
	e := w.engines[x.engine]
	if x.incarnation != e.incarnation {
		x.err = port.ErrUnavailable
		return
	}
	x.answered = true
	e.settle(w.now)
	switch {
	case e.state.ChecksFence && x.order.Fence < e.state.LastFence:
		x.err = port.ErrFenced
		w.stats.late++
		return
	case e.state.LastOrder == x.order.ID, w.kind.allIDs && e.ids[x.order.ID]:
		w.stats.copies++
	default:
		w.effect(e, x)
	}
	e.state.LastFence = max(e.state.LastFence, x.order.Fence)
}

// effect carries the order out and checks that it may have an effect now.
func (w *world) effect(e *engine, x *write) {
	w.stats.effects++
	if e.state.Changing {
		w.stale(x, "engine %d gets %s while it carries out %s", x.engine, x.order.ID, e.state.LastOrder)
	}
	open := w.truth.Engines[engineID(x.engine)].Open
	if open == nil || open.ID != x.order.ID {
		w.stale(x, "%s of %s takes effect at engine %d but is not open in the log", x.order.ID, x.from, x.engine)
	} else {
		w.once(open)
	}
	for _, p := range w.procs {
		if p.incarnation != x.from && p.mayOrder(x.engine) && !x.excused {
			w.fail("%s of %s takes effect while %s may order", x.order.ID, x.from, p.incarnation)
		}
	}
	e.ids[x.order.ID] = true
	e.state.LastOrder, e.state.Changing, e.state.Target = x.order.ID, true, x.order.Spec
	e.until = w.now + w.ms(0, 4000)
}

// stale is a violation, unless this kind of engine can't be kept from it: it
// ignores fencing numbers, forgets ids, and the sender was paused between its
// check and its write. What follows from such an order is no violation either.
func (w *world) stale(x *write, format string, args ...any) {
	if !w.kind.fenced && !w.kind.allIDs && (x.excused || w.stats.excused > 0) {
		w.stats.excused = 1
		return
	}
	w.fail(format, args...)
}

// once checks that a decision is carried out under one id.
func (w *world) once(open *fold.OpenOrder) {
	if id, ok := w.decided[open.Reason]; ok && id != open.ID {
		w.fail("decision %s is carried out as %s and again as %s", open.Reason, id, open.ID)
	}
	w.decided[open.Reason] = open.ID
}

// oneHolder checks that no two processes may act for a group, or order one
// engine, at the same moment.
func (w *world) oneHolder() {
	for i, g := range groups {
		holder, orders := "", ""
		for _, p := range w.procs {
			if _, ok := p.authority(g); ok {
				w.onlyOne(&holder, p, "hold the lease")
			}
			if p.mayOrder(i) {
				w.onlyOne(&orders, p, "may order an engine")
			}
		}
	}
}

func (w *world) onlyOne(first *string, p *proc, what string) {
	if *first != "" {
		w.fail("%s and %s both %s", *first, p.incarnation, what)
	}
	*first = p.incarnation
}
