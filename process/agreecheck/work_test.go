package agreecheck

import (
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/reconcile"
	"github.com/pomelospool/pomelospool/process/record"
)

// works at one engine: look and decide, then write, then wait for the answer.
func (p *proc) workStep(i int, k *work) {
	switch {
	case p.w.now < k.stall:
	case k.write != nil:
		p.await(k)
	case k.ready:
		p.writeStep(i, k)
	case k.seen == nil:
		p.keep(i, k)
		p.look(p.w.engines[i], k)
	default:
		p.decide(i, k)
	}
}

// keep begins a step: an engine that changed its group is new there.
func (p *proc) keep(i int, k *work) {
	versions := p.tail.State.Versions
	skipped := versions > k.versions+1 && p.w.plant != versionsSkipped
	if g := p.groupOf(i); g != k.group || skipped {
		*k = work{group: g, memory: reconcile.Memory{Since: p.clock(), Moved: p.tail.State.Changed}}
	}
	k.versions = versions
	if p.w.plant == noWaitInGroup {
		k.memory.Since = -time.Hour
	}
}

// look reads the engine's state for the next decision.
func (p *proc) look(e *engine, k *work) {
	k.until = p.tracker.Rule().Until(p.tail.Began)
	e.settle(p.w.now)
	seen := e.state
	k.seen, k.tail = &seen, p.tail.State
	if p.w.chance(20) {
		k.stall = p.w.now + p.w.ms(0, 9000)
	}
	k.held = e.incarnation
}

func (p *proc) decide(i int, k *work) {
	a, ok := p.authority(k.group)
	if !ok {
		k.seen = nil
		return
	}
	s := k.tail
	open := s.Engines[engineID(i)].Open
	k.memory.ForOrder(open)
	defer func() { k.seen = nil }()
	d := reconcile.Decide(reconcile.Input{
		Now: p.clock(), Rule: p.tracker.Rule(), Fence: a.Fence, Applied: s.Applied,
		Want: p.want(s), Wanted: s.Services[service].Version > 0,
		Open: open, Seen: *k.seen, Known: true, Memory: k.memory, Slots: 1,
	})
	switch d.Action {
	case reconcile.Log:
		id := p.w.id("o")
		p.w.send(id, record.KindOrder, record.Order{Group: k.group, Claim: a.Fence, Engine: engineID(i), Spec: d.Spec, After: s.LastEndedOrder(engineID(i)), Reason: "why-" + id})
	case reconcile.Send:
		k.order, k.ready = port.Order{ID: open.ID, Fence: a.Fence, Spec: open.Spec}, true
	case reconcile.Reclaim:
		if !p.w.chance(5) {
			return
		}
		p.w.send(p.w.id("claim"), record.KindClaim, record.Claim{Group: k.group, Previous: a.Fence, Holder: p.incarnation})
	case reconcile.Done:
		k.memory.End(open, d.Why, p.clock())
		done := record.OrderDone{Group: k.group, Claim: a.Fence, Changed: s.Changed, Engine: engineID(i), Order: open.ID}
		p.w.send(p.w.id("done"), record.KindOrderDone, done)
	}
}

// want is the newest version, or now and then a role that a planner wishes.
func (p *proc) want(s *fold.State) port.EngineSpec {
	spec := port.EngineSpec{Version: fmt.Sprint(s.Services[service].Version)}
	if p.w.chance(5) {
		spec.Role = port.RoleDecode
	}
	return spec
}

// writeStep checks the lease and writes. Time may pass between the two.
func (p *proc) writeStep(i int, k *work) {
	a, ok := p.authority(k.group)
	if p.clock() >= k.until && p.w.plant != stalledStep {
		ok = false
	}
	if p.w.plant != checkOnce && (!ok || a.Fence != k.order.Fence) {
		k.ready = false
		return
	}
	delay := p.w.ms(0, int(rule.UserTimeout().Milliseconds()))
	x := &write{from: p.incarnation, engine: i, incarnation: k.held, order: k.order}
	if p.w.kind.anyDelay && p.w.chance(6) {
		delay, x.excused = p.w.ms(500, 30000), true
	}
	if p.w.kind.anyPause && p.w.chance(6) {
		pause := p.w.ms(0, 20000)
		p.wakes, delay, x.excused = p.w.now+pause, delay+pause, true
		p.w.stats.pauses++
	}
	x.due = p.w.now + delay
	p.w.writes = append(p.w.writes, x)
	k.ready, k.write, k.sentAt = false, x, p.clock()
	k.ends = max(p.wakes, p.w.now) + p.w.ms(100, 2000)
	if p.w.chance(6) {
		x.err = port.ErrUnavailable
	}
}

// await takes the answer, or gives up.
func (p *proc) await(k *work) {
	answered := k.write.answered && k.write.err != port.ErrUnavailable
	if !answered && p.w.now < k.ends {
		return
	}
	k.memory.Note(k.write.order.ID, k.sentAt, p.clock(), answered, "", p.tracker.Rule().Guard)
	k.write = nil
}
