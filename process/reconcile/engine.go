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

// engine is what this process keeps of one engine.
type engine struct {
	id      string
	group   string
	fence   int64 // lease term of adapter
	adapter port.Engine
	check   lease.Check
	until   atomic.Int64 // on the clock: end of what the step's state allows
	memory  Memory
	why     string // of the last decision, for log lines
}

// allow bounds the writes of a step by the age of the state that it decides on.
//
// The guard is against a step that stalls: the process reads on meanwhile, so
// its lease stays young, but the step doesn't know of a document that moved
// the engine to another group. The holder of that group waits for T + Guard,
// by when writes of this step have ended.
func (e *engine) allow(rule lease.Rule, tail lease.Tail) {
	e.until.Store(int64(rule.Until(tail.Began)))
}

// bounded adds the bound of allow to the check of the lease.
func (e *engine) bounded(check lease.Check, now func() time.Duration) lease.Check {
	return func() error {
		if now() >= time.Duration(e.until.Load()) {
			return code.New(code.LeaseLost, "the state of the step is too old")
		}
		return check()
	}
}

// term makes a fresh adapter at the begin of a lease term. Bytes of an older
// term can't leave through its connections.
func (e *engine) term(group string, fence int64, o Options) {
	if e.adapter != nil && e.fence == fence {
		return
	}
	e.close()
	e.fence = fence
	e.check = e.bounded(o.Leases.Check(group, fence), o.Clock.Now)
	e.adapter = o.Connect(e.id, e.check, o.Rule.UserTimeout())
}

// close drops the adapter. It may be called on nil.
func (e *engine) close() {
	if e == nil || e.adapter == nil {
		return
	}
	if c, ok := e.adapter.(io.Closer); ok {
		_ = c.Close()
	}
	e.adapter = nil
}

// reconcile reads the engine's state and takes the next step.
func (r *Reconciler) reconcile(ctx context.Context, e *engine, m Member, tail lease.Tail) {
	seen, err := e.state(ctx)
	if err == nil {
		r.setLeaving(e.id, seen.Leaving)
	}
	open := tail.State.Engines[e.id].Open
	e.memory.ForOrder(open)
	now := r.o.Clock.Now()
	want, wanted := Desired(m, r.o.Wish)
	d := Decide(Input{
		Now:     now,
		Rule:    r.o.Rule,
		Fence:   e.fence,
		Applied: tail.State.Applied,
		Want:    want,
		Wanted:  wanted,
		Open:    open,
		Seen:    seen,
		Known:   err == nil,
		Memory:  e.memory,
		Ahead:   r.loads.Ahead(now, tail.State, open),
		Slots:   r.slots,
	})
	e.report(d)
	r.act(ctx, e, d, open, tail.State)
}

func (e *engine) state(ctx context.Context) (port.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.adapter.State(ctx)
}

// report writes a log line when the reason changes.
func (e *engine) report(d Decision) {
	if d.Why == e.why {
		return
	}
	e.why = d.Why
	log.WithFields(log.Fields{"engine": e.id, "group": e.group, "why": d.Why}).Debug("reconcile: engine looked at")
}

// act carries a decision out.
func (r *Reconciler) act(ctx context.Context, e *engine, d Decision, open *fold.OpenOrder, s *fold.State) {
	switch d.Action {
	case Wait:
	case Log:
		r.logOrder(ctx, e, d, s)
	case Send:
		r.send(ctx, e, open)
	case Done:
		e.memory.End(open, d.Why, r.o.Clock.Now())
		r.done(ctx, record.OrderDone{Group: e.group, Claim: e.fence, Changed: s.Changed, Engine: e.id, Order: open.ID, Detail: d.Why})
	case Reclaim:
		log.WithField("group", e.group).Info("reconcile: engine knows a newer fence, claim anew")
		r.o.Leases.Reclaim(e.group)
	}
}

// logOrder appends a new order. Whether it stands is seen in the state: after
// a lost answer the next step finds it open, and if it doesn't stand another
// is decided, of which the fold takes only the first.
func (r *Reconciler) logOrder(ctx context.Context, e *engine, d Decision, s *fold.State) {
	if e.check() != nil {
		return
	}
	r.write(ctx, "order-"+uuid.NewString(), record.KindOrder, record.Order{
		Group:  e.group,
		Claim:  e.fence,
		Engine: e.id,
		Addr:   e.id,
		Spec:   d.Spec,
		After:  s.LastEndedOrder(e.id),
		Load:   d.Load,
		Reason: d.Why,
	})
}

// send sends the open order under this process's own fencing number. The lease
// is checked here and once more by the connection before each write.
func (r *Reconciler) send(ctx context.Context, e *engine, open *fold.OpenOrder) {
	if err := e.check(); err != nil {
		log.WithError(err).Warn("reconcile: order not sent")
		return
	}
	at := r.o.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.adapter.Order(ctx, port.Order{ID: open.ID, Fence: e.fence, Spec: open.Spec})
	counts.Add("orders_sent", 1)
	answered, refused := answer(err)
	e.memory.Note(open.ID, at, r.o.Clock.Now(), answered, refused, r.o.Rule.Guard)
	fields := log.Fields{"engine": e.id, "order": open.ID, "fence": e.fence}
	if err != nil {
		log.WithError(err).WithFields(fields).Warn("reconcile: order not accepted")
		return
	}
	log.WithFields(fields).Info("reconcile: order accepted")
}

// answer sorts the outcome of a send: whether the engine answered, and why it
// refused the order for good. Busy and fenced are answers that end nothing.
//
// Any other error that isn't one of the way is a refusal for good. Without
// that an order for a version that doesn't exist would stay open for ever, and
// the corrected document could never be ordered.
func answer(err error) (answered bool, refused string) {
	switch {
	case err == nil, errors.Is(err, port.ErrBusy), errors.Is(err, port.ErrFenced):
		return true, ""
	case errors.Is(err, port.ErrUnavailable), code.Of(err) == code.LeaseLost,
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return false, ""
	}
	return true, err.Error()
}

// done appends the end of an order.
func (r *Reconciler) done(ctx context.Context, d record.OrderDone) {
	if d.Detail != "" {
		log.WithFields(log.Fields{"engine": d.Engine, "order": d.Order, "why": d.Detail}).Warn("reconcile: order ended otherwise")
	}
	r.write(ctx, "done-"+uuid.NewString(), record.KindOrderDone, d)
}

func (r *Reconciler) write(ctx context.Context, id string, kind record.Kind, body any) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := r.o.Follower.Write(ctx, id, kind, body); err != nil {
		log.WithError(err).WithField("kind", string(kind)).Warn("reconcile: append not confirmed")
	}
}

// endOrphans ends open orders of engines that no document names any more. The
// holder of the first group of the service does it, after all others have had
// time to learn of the new document.
func (r *Reconciler) endOrphans(ctx context.Context, now time.Duration, groups []Group, tail lease.Tail) {
	first := firstGroups(groups)
	seen := make(map[string]time.Duration)
	for id, e := range tail.State.Engines {
		if e.Open == nil || r.engines[id] != nil {
			continue
		}
		seen[id] = now
		if since, ok := r.orphans[id]; ok {
			seen[id] = since
		}
		group := first[fold.ServiceOf(e.Open.Group)]
		fence, _, held := r.o.Leases.Held(group)
		if held && now >= seen[id]+r.o.Rule.T+r.o.Rule.Guard {
			r.done(ctx, record.OrderDone{Group: group, Claim: fence, Changed: tail.State.Changed, Engine: id, Order: e.Open.ID, Detail: "target left"})
		}
	}
	r.orphans = seen
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
