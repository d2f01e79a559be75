package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/placement"
)

// releaseLimit bounds the call that frees unused KV cache.
const releaseLimit = 500 * time.Millisecond

// decode has the answer made from the KV cache. If the engine refuses, another
// one is asked with the same cache: a full engine leaves it where it is.
func (u *run) decode(ctx context.Context, p prompt, from prefilled, out Stream) *failed {
	taken := false
	defer func() {
		if from.kv != nil && !taken {
			u.release(*from.kv)
		}
	}()
	for tries := 1; ; tries++ {
		cands := u.decoders(p, from.zone)
		at := placement.Decode(p.Prompt, cands, u.c.Service.Engine, from.zone)
		if at < 0 {
			return fail(failure.NotRun, from.at, errNoDecoder)
		}
		to := cands[at].Entry
		f := u.events(ctx, &cands[at], p, from, out)
		if f == nil || f.MayHaveRun() {
			taken = true
			if f == nil && from.kv != nil {
				u.opts.Health.Observe(kvOf(from.at), health.OK)
			}
			return f
		}
		if from.kv != nil && f.Class == failure.NotRun {
			u.opts.Health.Observe(kvOf(from.at), health.Refused)
		}
		if tries > 1 || from.kv == nil || !u.others(cands, to.ID) || !u.again(ctx, f, 1) {
			return f
		}
		u.note(f)
	}
}

// kvOf names an engine's KV cache where health is kept: whether what the engine
// read can be fetched from it says nothing of its reading.
func kvOf(id string) string { return id + KVSuffix }

// KVSuffix ends the names of engines' KV caches where health is kept.
const KVSuffix = "/kv"

// others reports whether a candidate is left that hasn't failed this call.
func (u *run) others(cands []placement.Candidate, but string) bool {
	for _, c := range cands {
		if c.Entry.ID != but && !u.avoids(c.Entry.ID) {
			return true
		}
	}
	return false
}

// release frees KV cache that nobody will read, beside the call.
func (u *run) release(kv port.KVSource) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
		defer cancel()
		if err := u.opts.Control.Release(ctx, kv); err != nil {
			// The engine frees it by itself some seconds later.
			log.WithError(err).WithField("addr", kv.Addr).Debug("dispatch: KV cache not released")
		}
	}()
}

// events sends the call to a decoding engine and relays the answer.
func (u *run) events(ctx context.Context, cand *placement.Candidate, p prompt, from prefilled, out Stream) *failed {
	to := cand.Entry
	usual := u.opts.Speed.Figures(u.c.Service.Name).First
	predicted := usual
	if from.kv != nil {
		predicted += placement.Move(u.c.Service.Engine, p.Tokens, from.zone == to.Zone)
	}
	done := u.opts.Engines.Decode(to.ID, u.c.Service.Engine.KVTokens, p.parts, predicted)
	defer done()
	begun := time.Now()
	s := sending{to: to, state: port.Send{Priority: p.priority, KV: from.kv, LastEvent: u.lastID}}
	resp, v, f := u.send(ctx, s)
	if f != nil {
		return f
	}
	if resp.Status != http.StatusOK || v.NotRun {
		return u.noStream(ctx, to.ID, resp, v, out)
	}
	if !v.Signed {
		resp.Close(0)
		return fail(failure.Mismatch, to.ID, errUnsigned)
	}
	firstAt := begun
	first := func() {
		firstAt = time.Now()
		seen := firstAt.Sub(begun)
		if cand.Load.Streams < to.Slots {
			// Beyond its places it would be the wait for one that is learnt.
			u.opts.Speed.First(u.c.Service.Name, usual+seen-predicted)
		}
		if usual > 0 {
			u.opts.Health.ObservePace(to.ID, u.pace(predicted, seen))
		}
	}
	m := &paceMeter{run: u, target: to.ID, resumed: u.lastID != ""}
	f = u.relay(ctx, to.ID, resp, v, out, watch{first: first, batch: m.passed})
	m.ended(f == nil)
	if f == nil && u.c.Ask.Output > 0 {
		u.opts.Speed.Stream(u.c.Service.Name, u.c.Ask.Output, time.Since(firstAt), time.Since(begun), u.mostUrgent())
	}
	return f
}

// noStream takes an answer that is no stream: a refusal, a failure, or the
// target's own answer, which is passed on.
func (u *run) noStream(ctx context.Context, target string, resp *h1.Response, v port.Verdict, out Stream) *failed {
	a, f := u.whole(ctx, target, resp, v)
	if f != nil {
		return f
	}
	if f := u.judge(target, a, v); f != nil {
		return f
	}
	u.start(0)
	if u.trace.Begun {
		return ownFailure(target, a)
	}
	u.trace.Begun = true
	out.Begin(a.Status, a.Header)
	if err := out.Write(a.Body); err != nil {
		return fail(failure.CallerGone, target, err)
	}
	return nil
}

// pace is how many times longer than predicted something took. Short times are
// off by some tens of milliseconds for reasons that aren't the engine's.
func (u *run) pace(predicted, seen time.Duration) float64 {
	slack := paceSlack
	if o := u.c.Route.Objective; o > 0 {
		slack = time.Duration(paceShare * float64(o))
	}
	return float64(seen+slack) / float64(predicted+slack)
}

// What is added to both times of a pace: a share of the objective, or paceSlack
// without one.
const (
	paceShare = 0.2
	paceSlack = 100 * time.Millisecond
)
