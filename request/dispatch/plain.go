package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/internal/fraction"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
)

const (
	// patience is how many objectives an idempotent call waits for one target
	// before it asks another: targets that hang would hold it for its deadline.
	patience = 2
	// minPatience is the least of these waits.
	minPatience = 150 * time.Millisecond
)

// plain sends the call until it has an answer to pass on.
func (u *run) plain(ctx context.Context) (*Answer, error) {
	for {
		to, ok := u.pickPlain()
		if !ok {
			return nil, u.noTarget()
		}
		a, f := u.plainAt(ctx, to)
		if f == nil {
			u.ok(to.ID)
			return a, nil
		}
		u.note(f)
		if !u.again(ctx, f, 1) {
			return u.lastWord(f)
		}
	}
}

func (u *run) plainAt(ctx context.Context, to port.TargetEntry) (*Answer, *failed) {
	done := u.opts.Engines.Decode(to.ID, 0, nil, 0)
	defer done()
	s := sending{to: to, state: port.Send{Priority: -1}}
	if u.c.Route.Idempotent() && u.ran+1 < u.c.Route.Attempts {
		s.silence = max(patience*u.c.Route.Objective, minPatience)
	}
	sent := time.Now()
	resp, v, f := u.send(ctx, s)
	if f != nil {
		return nil, f
	}
	if !v.NotRun {
		u.start(time.Since(sent))
	}
	a, f := u.whole(ctx, to.ID, resp, v)
	if f != nil {
		return nil, f
	}
	return a, u.judge(to.ID, a, v)
}

// lastWord answers with the target's own failure where that is allowed.
//
// A status that promises "not run" isn't passed on from a target that ran the
// request: the caller would send it again.
func (u *run) lastWord(f *failed) (*Answer, error) {
	if f.Class == failure.Failed && !promises(f.answer.Status) {
		return f.answer, nil
	}
	if f.Class == failure.NotRun && f.answer != nil && f.answer.Status == http.StatusBadRequest && u.ran == 0 {
		return f.answer, nil
	}
	return nil, u.finalError(f)
}

func (u *run) noTarget() error {
	if u.last != nil {
		return u.finalError(u.last)
	}
	return code.New(code.NoTarget, "service %q has no target", u.c.Service.Name).After(u.comeBack(nil))
}

// The weights of what speaks against a target, in shares of its places.
const (
	failWeight = 2.0  // for a failure rate of one
	zoneWeight = 0.05 // for another availability zone: half a millisecond, and bytes that are paid for
	dialWeight = 0.05 // for a new connection: a round trip, and it is paid for
)

// pickPlain chooses the target with the most free places.
func (u *run) pickPlain() (port.TargetEntry, bool) {
	var best port.TargetEntry
	bestCost := -1.0
	reuse := u.reuse(sending{})
	for _, e := range u.usable(u.consider("", nil, u.opts.Zone), nil) {
		cost := float64(e.load.Streams) / float64(max(e.Slots, 1))
		cost += failWeight * u.opts.Health.FailureRate(e.ID)
		if e.Zone != u.opts.Zone {
			cost += zoneWeight
		}
		if !u.opts.Pool.Warm(e.Addr, e.ID, reuse) {
			cost += dialWeight
		}
		cost += zoneWeight / 2 * spread(u.c.Ask.ID, e.ID)
		if bestCost < 0 || cost < bestCost {
			best, bestCost = *e.TargetEntry, cost
		}
	}
	return best, bestCost >= 0
}

// spread is a number in [0,1) for a call and a target, so that targets that
// are alike share the calls.
func spread(id, target string) float64 {
	return fraction.Of(engines.Hash(id) ^ engines.Hash(target))
}

// plainStream runs a streamed call at plain targets.
func (u *run) plainStream(ctx context.Context, out Stream) error {
	for {
		to, ok := u.pickPlain()
		if !ok {
			return u.noTarget()
		}
		f := u.plainEvents(ctx, to, out)
		if f == nil {
			u.ok(to.ID)
			return nil
		}
		u.note(f)
		if !u.again(ctx, f, 1) {
			return u.finalError(f)
		}
	}
}

func (u *run) plainEvents(ctx context.Context, to port.TargetEntry, out Stream) *failed {
	done := u.opts.Engines.Decode(to.ID, 0, nil, 0)
	defer done()
	resp, v, f := u.send(ctx, sending{to: to, state: port.Send{Priority: -1, LastEvent: u.lastID}})
	if f != nil {
		return f
	}
	if resp.Status != http.StatusOK || v.NotRun || !v.Signed {
		return u.noStream(ctx, to.ID, resp, v, out)
	}
	return u.relay(ctx, to.ID, resp, v, out, watch{first: func() {}, batch: func(int) {}})
}
