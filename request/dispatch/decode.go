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
func (x *execution) decode(ctx context.Context, p prompt, from prefilled, out Stream) *sendFailure {
	taken := false
	defer func() {
		if from.kv != nil && !taken {
			x.releaseKV(*from.kv)
		}
	}()
	for tries := 1; ; tries++ {
		cands := x.decoders(p, from.zone)
		at := placement.Decode(p.Prompt, cands, x.call.Service.Engine, from.zone)
		if at < 0 {
			return newFailure(failure.NotRun, from.engineID, errNoDecoder)
		}
		to := cands[at].Entry
		f := x.streamFrom(ctx, &cands[at], p, from, out)
		if f == nil || f.MayHaveRun() {
			taken = true
			if f == nil && from.kv != nil {
				x.opts.Health.Note(kvHealthKey(from.engineID), health.OK)
			}
			return f
		}
		if from.kv != nil && f.Class == failure.NotRun {
			x.opts.Health.Note(kvHealthKey(from.engineID), health.Refused)
		}
		if tries > 1 || from.kv == nil || !x.hasAlternative(cands, to.ID) || !x.mayRetry(ctx, f, 1) {
			return f
		}
		x.recordFailure(f)
	}
}

// kvHealthKey names an engine's KV cache where health is kept: whether what the engine
// read can be fetched from it says nothing of its reading.
func kvHealthKey(id string) string { return id + KVSuffix }

// KVSuffix ends the names of engines' KV caches where health is kept.
const KVSuffix = "/kv"

// hasAlternative reports whether a candidate is left that hasn't failed this call.
func (x *execution) hasAlternative(cands []placement.Candidate, but string) bool {
	for _, c := range cands {
		if c.Entry.ID != but && !x.hasFailed(c.Entry.ID) {
			return true
		}
	}
	return false
}

// releaseKV frees KV cache that nobody will read, beside the call.
func (x *execution) releaseKV(kv port.KVSource) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
		defer cancel()
		if err := x.opts.Control.Release(ctx, kv); err != nil {
			// The engine frees it by itself some seconds later.
			log.WithError(err).WithField("addr", kv.Addr).Debug("dispatch: KV cache not released")
		}
	}()
}

// streamFrom sends the call to a decoding engine and relays the answer.
func (x *execution) streamFrom(ctx context.Context, cand *placement.Candidate, p prompt, from prefilled, out Stream) *sendFailure {
	to := cand.Entry
	usual := x.opts.Speed.Figures(x.call.Service.Name).First
	predicted := usual
	if from.kv != nil {
		predicted += placement.TransferTime(x.call.Service.Engine, p.Tokens, from.zone == to.Zone)
	}
	done := x.opts.Engines.Decode(to.ID, x.call.Service.Engine.KVTokens, p.parts, predicted)
	defer done()
	begun := time.Now()
	s := outgoing{target: to, state: port.Send{Priority: p.priority, KV: from.kv, LastEvent: x.lastID}}
	resp, v, f := x.send(ctx, s)
	if f != nil {
		return f
	}
	if resp.Status != http.StatusOK || v.NotRun {
		return x.relayNonStream(ctx, to.ID, resp, v, out)
	}
	if !v.Signed {
		resp.Close(0)
		return newFailure(failure.Mismatch, to.ID, errUnsigned)
	}
	firstAt := begun
	first := func() {
		firstAt = time.Now()
		seen := firstAt.Sub(begun)
		if cand.Load.Streams < to.Slots {
			// Beyond its places it would be the wait for one that is learnt.
			x.opts.Speed.First(x.call.Service.Name, usual+seen-predicted)
		}
		if usual > 0 {
			x.opts.Health.NotePace(to.ID, x.slowdown(predicted, seen))
		}
	}
	m := &paceMeter{exec: x, target: to.ID, resumed: x.lastID != ""}
	f = x.relay(ctx, to.ID, resp, v, out, streamHooks{first: first, batch: m.addEvents})
	m.finish(f == nil)
	if f == nil && x.call.Ask.Output > 0 {
		x.opts.Speed.Stream(x.call.Service.Name, x.call.Ask.Output, time.Since(firstAt), time.Since(begun), x.mostUrgent())
	}
	return f
}

// relayNonStream takes an answer that is no stream: a refusal, a failure, or the
// target's own answer, which is passed on.
func (x *execution) relayNonStream(ctx context.Context, target string, resp *h1.Response, v port.Verdict, out Stream) *sendFailure {
	a, f := x.readAnswer(ctx, target, resp, v)
	if f != nil {
		return f
	}
	if f := x.answerFailure(target, a, v); f != nil {
		return f
	}
	x.markStarted(0)
	if x.trace.AnswerStarted {
		return targetError(target, a)
	}
	x.trace.AnswerStarted = true
	out.Begin(a.Status, a.Header)
	if err := out.Write(a.Body); err != nil {
		return newFailure(failure.CallerGone, target, err)
	}
	return nil
}

// slowdown is how many times longer than predicted something took. Short times are
// off by some tens of milliseconds for reasons that aren't the engine's.
func (x *execution) slowdown(predicted, seen time.Duration) float64 {
	slack := defaultSlack
	if o := x.call.Route.Objective; o > 0 {
		slack = time.Duration(slackShare * float64(o))
	}
	return float64(seen+slack) / float64(predicted+slack)
}

// What is added to both times of a pace: a share of the objective, or defaultSlack
// without one.
const (
	slackShare   = 0.2
	defaultSlack = 100 * time.Millisecond
)
