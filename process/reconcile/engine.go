package reconcile

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/process/record"
)

// engine is this process's state about one engine.
type engine struct {
	id         string
	group      string
	fence      int64 // fencing number under which adapter was made
	adapter    port.Engine
	check      lease.Check
	deadline   atomic.Int64 // end of the step's writes, on Options.Clock
	progress   Progress
	lastReason string // reason of the last decision, used only for logging
}

// setDeadline limits the writes of a step by the age of the state that the step
// is based on.
//
// It covers a step that stalls. The process meanwhile reads on, so its lease stays
// valid, but the step doesn't know a document that moved the engine to another
// group. The holder of that group waits for Duration + Guard, and by then writes
// of this step are no longer allowed.
func (e *engine) setDeadline(rule lease.Rule, tail lease.Tail) {
	e.deadline.Store(int64(rule.ValidUntil(tail.ReadStart)))
}

// withDeadline returns a check that also enforces the deadline of setDeadline.
func (e *engine) withDeadline(check lease.Check, now func() time.Duration) lease.Check {
	return func() error {
		if now() >= time.Duration(e.deadline.Load()) {
			return code.New(code.LeaseLost, "the state of the step is too old")
		}
		return check()
	}
}

// startTerm creates a new adapter at the start of a lease term. Data of an earlier
// term can't be sent over its connections.
func (e *engine) startTerm(group string, fence int64, o Options) {
	if e.adapter != nil && e.fence == fence {
		return
	}
	e.close()
	e.fence = fence
	e.check = e.withDeadline(o.Leases.Check(group, fence), o.Clock.Now)
	e.adapter = o.Connect(e.id, e.check, o.Rule.UserTimeout())
}

// close closes the adapter. It may be called on a nil engine.
func (e *engine) close() {
	if e == nil || e.adapter == nil {
		return
	}
	if c, ok := e.adapter.(io.Closer); ok {
		_ = c.Close()
	}
	e.adapter = nil
}

// reconcile reads the engine's state and executes the next step.
func (r *Reconciler) reconcile(ctx context.Context, e *engine, m Member, tail lease.Tail) {
	observed, err := e.readState(ctx)
	if err == nil {
		r.setLeaving(e.id, observed.Leaving)
	}
	open := tail.State.Engines[e.id].Open
	e.progress.ResetFor(open)
	now := r.o.Clock.Now()
	desired, hasDesired := Desired(m, r.o.PlannedRole)
	d := Decide(Input{
		Now:           now,
		Rule:          r.o.Rule,
		Fence:         e.fence,
		Applied:       tail.State.Applied,
		Desired:       desired,
		HasDesired:    hasDesired,
		Open:          open,
		Observed:      observed,
		ObservedKnown: err == nil,
		Progress:      e.progress,
		Ahead:         r.loads.Ahead(now, tail.State, open),
		Slots:         r.slots,
	})
	e.logReason(d)
	r.execute(ctx, e, d, open, tail.State)
}

func (e *engine) readState(ctx context.Context) (port.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.adapter.State(ctx)
}

// logReason logs the reason of a decision when it differs from the last one.
func (e *engine) logReason(d Decision) {
	if d.Reason == e.lastReason {
		return
	}
	e.lastReason = d.Reason
	log.WithFields(log.Fields{"engine": e.id, "group": e.group, "why": d.Reason}).Debug("reconcile: decision for engine changed")
}

// execute executes a decision.
func (r *Reconciler) execute(ctx context.Context, e *engine, d Decision, open *fold.OpenOrder, s *fold.State) {
	switch d.Action {
	case Wait:
	case AppendOrder:
		r.appendOrder(ctx, e, d, s)
	case SendOrder:
		r.sendOrder(ctx, e, open)
	case EndOrder:
		e.progress.RecordEnd(open, d.Reason, r.o.Clock.Now())
		r.endOrder(ctx, record.OrderDone{Group: e.group, Claim: e.fence, Changed: s.Changed, Engine: e.id, Order: open.ID, Detail: d.Reason})
	case Reclaim:
		log.WithField("group", e.group).Info("reconcile: engine may know a higher fencing number; claiming the group again")
		r.o.Leases.Reclaim(e.group)
	}
}

// appendOrder appends a new order. The state shows whether the append succeeded:
// after a lost response, the next step finds the order open. If the order isn't
// there yet, another one is appended, and the fold accepts only the first.
func (r *Reconciler) appendOrder(ctx context.Context, e *engine, d Decision, s *fold.State) {
	if e.check() != nil {
		return
	}
	r.appendRecord(ctx, "order-"+uuid.NewString(), record.KindOrder, record.Order{
		Group:  e.group,
		Claim:  e.fence,
		Engine: e.id,
		Addr:   e.id,
		Spec:   d.Spec,
		After:  s.LastEndedOrder(e.id),
		Load:   d.Load,
		Reason: d.Reason,
	})
}

// sendOrder sends the open order with this process's own fencing number. The lease
// is checked here, and again by the connection before each write.
func (r *Reconciler) sendOrder(ctx context.Context, e *engine, open *fold.OpenOrder) {
	if err := e.check(); err != nil {
		log.WithError(err).Warn("reconcile: order not sent")
		return
	}
	sentAt := r.o.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.adapter.Order(ctx, port.Order{ID: open.ID, Fence: e.fence, Spec: open.Spec})
	counts.Add("orders_sent", 1)
	responded, refused := classifyResponse(err)
	e.progress.RecordSend(open.ID, sentAt, r.o.Clock.Now(), responded, refused, r.o.Rule.Guard)
	fields := log.Fields{"engine": e.id, "order": open.ID, "fence": e.fence}
	if err != nil {
		log.WithError(err).WithFields(fields).Warn("reconcile: order not accepted")
		return
	}
	log.WithFields(fields).Info("reconcile: order accepted")
}

// classifyResponse reports whether the engine responded to an order, and why it
// rejected the order permanently. After ErrBusy and ErrFenced the order stays
// open.
//
// Errors other than these, transport errors, a lost lease and an ended context
// are permanent rejections. Otherwise an order for a version that doesn't exist
// would stay open forever, and the corrected document could never be ordered.
func classifyResponse(err error) (responded bool, refused string) {
	switch {
	case err == nil, errors.Is(err, port.ErrBusy), errors.Is(err, port.ErrFenced):
		return true, ""
	case errors.Is(err, port.ErrUnavailable), code.Of(err) == code.LeaseLost,
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return false, ""
	}
	return true, err.Error()
}

// endOrder appends the end of an order.
func (r *Reconciler) endOrder(ctx context.Context, d record.OrderDone) {
	if d.Detail != "" {
		log.WithFields(log.Fields{"engine": d.Engine, "order": d.Order, "why": d.Detail}).Warn("reconcile: order ended without success")
	}
	r.appendRecord(ctx, "done-"+uuid.NewString(), record.KindOrderDone, d)
}

func (r *Reconciler) appendRecord(ctx context.Context, id string, kind record.Kind, body any) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := r.o.Follower.Write(ctx, id, kind, body); err != nil {
		log.WithError(err).WithField("kind", string(kind)).Warn("reconcile: append not confirmed")
	}
}

// endOrphans ends open orders of engines that no document names any more. This is
// done by the holder of the service's first group, after all other daemons have
// had time to read the new document.
func (r *Reconciler) endOrphans(ctx context.Context, now time.Duration, groups []Group, tail lease.Tail) {
	first := firstGroups(groups)
	openSince := make(map[string]time.Duration)
	for id, e := range tail.State.Engines {
		if e.Open == nil || r.engines[id] != nil {
			continue
		}
		openSince[id] = now
		if since, ok := r.orphanedSince[id]; ok {
			openSince[id] = since
		}
		group := first[fold.ServiceOf(e.Open.Group)]
		fence, _, held := r.o.Leases.Held(group)
		if held && now >= openSince[id]+r.o.Rule.Duration+r.o.Rule.Guard {
			r.endOrder(ctx, record.OrderDone{Group: group, Claim: fence, Changed: tail.State.Changed, Engine: id, Order: e.Open.ID, Detail: "target left"})
		}
	}
	r.orphanedSince = openSince
}

// firstGroups returns the name of the first group of each service.
func firstGroups(groups []Group) map[string]string {
	first := make(map[string]string)
	for _, g := range groups {
		service := fold.ServiceOf(g.Name)
		if first[service] == "" {
			first[service] = g.Name
		}
	}
	return first
}
