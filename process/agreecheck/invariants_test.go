package agreecheck

import (
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
)

// checkAccepted checks that versions never go back and that no decision is
// accepted twice.
func (w *world) checkAccepted(svc fold.Service, before int64) {
	w.stats.accepted++
	if svc.Version < before {
		w.fail("version went back from %d to %d", before, svc.Version)
	}
	if old, ok := w.tokens[svc.YAML]; ok {
		w.fail("document %s in force a second time, as %d after %d", svc.YAML, svc.Version, old)
	}
	w.tokens[svc.YAML] = svc.Version
}

// deliver delivers an order to its engine, if the connection still exists.
func (w *world) deliver(x *write) {
	e := w.engines[x.engine]
	if x.incarnation != e.incarnation {
		x.err = port.ErrUnavailable
		return
	}
	x.answered = true
	e.finishChange(w.now)
	switch {
	case e.state.ChecksFence && x.order.Fence < e.state.LastFence:
		x.err = port.ErrFenced
		w.stats.late++
		return
	case e.state.LastOrder == x.order.ID, w.kind.allIDs && e.ids[x.order.ID]:
		w.stats.copies++
	default:
		w.applyOrder(e, x)
	}
	e.state.LastFence = max(e.state.LastFence, x.order.Fence)
}

// applyOrder carries out the order and checks that it may take effect now.
func (w *world) applyOrder(e *engine, x *write) {
	w.stats.effects++
	if e.state.Changing {
		w.reportStale(x, "engine %d gets %s while it carries out %s", x.engine, x.order.ID, e.state.LastOrder)
	}
	open := w.reference.Engines[engineID(x.engine)].Open
	if open == nil || open.ID != x.order.ID {
		w.reportStale(x, "%s of %s takes effect at engine %d but is not open in the log", x.order.ID, x.from, x.engine)
	} else {
		w.checkOrderID(open)
	}
	for _, p := range w.procs {
		if p.incarnation != x.from && p.mayOrder(x.engine) && !x.beyondGuard {
			w.fail("%s of %s takes effect while %s may order", x.order.ID, x.from, p.incarnation)
		}
	}
	e.ids[x.order.ID] = true
	e.state.LastOrder, e.state.Changing, e.state.NextSpec = x.order.ID, true, x.order.Spec
	e.changeEnds = w.now + w.ms(0, 4000)
}

// reportStale reports a violation, unless this kind of engine can't be protected
// from it: the engine ignores fencing numbers and remembers only the last id, and
// the sender was paused between its check and its write. The consequences of such
// an order are no violation either.
func (w *world) reportStale(x *write, format string, args ...any) {
	if !w.kind.fenced && !w.kind.allIDs && (x.beyondGuard || w.stats.staleOrders > 0) {
		w.stats.staleOrders = 1
		return
	}
	w.fail(format, args...)
}

// checkOrderID checks that a decision is carried out under a single id.
func (w *world) checkOrderID(open *fold.OpenOrder) {
	if id, ok := w.executed[open.Reason]; ok && id != open.ID {
		w.fail("decision %s is carried out as %s and again as %s", open.Reason, id, open.ID)
	}
	w.executed[open.Reason] = open.ID
}

// checkHolders checks that no two processes may act for a group, or send orders to
// one engine, at the same time.
func (w *world) checkHolders() {
	for i, g := range groups {
		holder, orders := "", ""
		for _, p := range w.procs {
			if _, ok := p.authority(g); ok {
				w.requireSole(&holder, p, "hold the lease")
			}
			if p.mayOrder(i) {
				w.requireSole(&orders, p, "may order an engine")
			}
		}
	}
}

func (w *world) requireSole(first *string, p *proc, what string) {
	if *first != "" {
		w.fail("%s and %s both %s", *first, p.incarnation, what)
	}
	*first = p.incarnation
}
