package agreecheck

import (
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/reconcile"
	"github.com/pomelospool/pomelospool/process/record"
)

// workStep advances the work on one engine: reading its state and deciding, then
// writing an order, then waiting for the response.
func (p *proc) workStep(i int, k *work) {
	switch {
	case p.w.now < k.stalledUntil:
	case k.write != nil:
		p.awaitResponse(k)
	case k.ready:
		p.writeStep(i, k)
	case k.observed == nil:
		p.updateGroup(i, k)
		p.readEngine(p.w.engines[i], k)
	default:
		p.decide(i, k)
	}
}

// updateGroup updates the engine's group. An engine that changed its group starts
// with new progress.
func (p *proc) updateGroup(i int, k *work) {
	versions := p.tail.State.Versions
	skipped := versions > k.versions+1 && p.w.planted != versionsSkipped
	if g := p.groupOf(i); g != k.group || skipped {
		*k = work{group: g, progress: reconcile.Progress{JoinedAt: p.clock(), JoinedVersion: p.tail.State.Changed}}
	}
	k.versions = versions
	if p.w.planted == noWaitInGroup {
		k.progress.JoinedAt = -time.Hour
	}
}

// readEngine reads the engine's state for the next decision.
func (p *proc) readEngine(e *engine, k *work) {
	k.deadline = p.tracker.Rule().ValidUntil(p.tail.ReadStart)
	e.finishChange(p.w.now)
	state := e.state
	k.observed, k.tail = &state, p.tail.State
	if p.w.chance(20) {
		k.stalledUntil = p.w.now + p.w.ms(0, 9000)
	}
	k.connectedTo = e.incarnation
}

func (p *proc) decide(i int, k *work) {
	a, ok := p.authority(k.group)
	if !ok {
		k.observed = nil
		return
	}
	s := k.tail
	open := s.Engines[engineID(i)].Open
	k.progress.ResetFor(open)
	defer func() { k.observed = nil }()
	d := reconcile.Decide(reconcile.Input{
		Now: p.clock(), Rule: p.tracker.Rule(), Fence: a.Fence, Applied: s.Applied,
		Desired: p.want(s), HasDesired: s.Services[service].Version > 0,
		Open: open, Observed: *k.observed, ObservedKnown: true, Progress: k.progress, Slots: 1,
	})
	switch d.Action {
	case reconcile.AppendOrder:
		id := p.w.id("o")
		p.w.send(id, record.KindOrder, record.Order{Group: k.group, Claim: a.Fence, Engine: engineID(i), Spec: d.Spec, After: s.LastEndedOrder(engineID(i)), Reason: "why-" + id})
	case reconcile.SendOrder:
		k.order, k.ready = port.Order{ID: open.ID, Fence: a.Fence, Spec: open.Spec}, true
	case reconcile.Reclaim:
		if !p.w.chance(5) {
			return
		}
		p.w.send(p.w.id("claim"), record.KindClaim, record.Claim{Group: k.group, Previous: a.Fence, Holder: p.incarnation})
	case reconcile.EndOrder:
		k.progress.RecordEnd(open, d.Reason, p.clock())
		done := record.OrderDone{Group: k.group, Claim: a.Fence, Changed: s.Changed, Engine: engineID(i), Order: open.ID}
		p.w.send(p.w.id("done"), record.KindOrderDone, done)
	}
}

// want returns a spec with the newest version, and occasionally with a role that a
// planner could assign.
func (p *proc) want(s *fold.State) port.EngineSpec {
	spec := port.EngineSpec{Version: fmt.Sprint(s.Services[service].Version)}
	if p.w.chance(5) {
		spec.Role = port.RoleDecode
	}
	return spec
}

// writeStep checks the lease and writes the order. Time may pass between the two.
func (p *proc) writeStep(i int, k *work) {
	a, ok := p.authority(k.group)
	if p.clock() >= k.deadline && p.w.planted != stalledStep {
		ok = false
	}
	if p.w.planted != checkOnce && (!ok || a.Fence != k.order.Fence) {
		k.ready = false
		return
	}
	delay := p.w.ms(0, int(rule.UserTimeout().Milliseconds()))
	x := &write{from: p.incarnation, engine: i, incarnation: k.connectedTo, order: k.order}
	if p.w.kind.anyDelay && p.w.chance(6) {
		delay, x.beyondGuard = p.w.ms(500, 30000), true
	}
	if p.w.kind.anyPause && p.w.chance(6) {
		pause := p.w.ms(0, 20000)
		p.pausedUntil, delay, x.beyondGuard = p.w.now+pause, delay+pause, true
		p.w.stats.pauses++
	}
	x.due = p.w.now + delay
	p.w.writes = append(p.w.writes, x)
	k.ready, k.write, k.sentAt = false, x, p.clock()
	k.timeoutAt = max(p.pausedUntil, p.w.now) + p.w.ms(100, 2000)
	if p.w.chance(6) {
		x.err = port.ErrUnavailable
	}
}

// awaitResponse handles the response to an order, or its timeout.
func (p *proc) awaitResponse(k *work) {
	responded := k.write.answered && k.write.err != port.ErrUnavailable
	if !responded && p.w.now < k.timeoutAt {
		return
	}
	k.progress.RecordSend(k.write.order.ID, k.sentAt, p.clock(), responded, "", p.tracker.Rule().Guard)
	k.write = nil
}
