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

// releaseLimit bounds the request that releases unused KV cache.
const releaseLimit = 500 * time.Millisecond

// decode runs the decode from the KV cache. If the engine rejects it,
// another engine is tried with the same cache, since a full engine doesn't
// consume it.
func (x *execution) decode(ctx context.Context, p prompt, from prefilled, out Stream) *sendFailure {
	consumed := false
	defer func() {
		if from.kv != nil && !consumed {
			x.releaseKV(*from.kv)
		}
	}()
	for attempt := 1; ; attempt++ {
		cands := x.decoders(p, from.zone)
		at, isCheapest := placement.ChooseDecode(p.Prompt, cands, x.call.Service.Engine, from.zone)
		if at < 0 {
			return newFailure(failure.NotRun, from.engineID, errNoDecoder)
		}
		if !isCheapest {
			counts.Add("decode_not_cheapest", 1)
		}
		to := cands[at].Entry
		f := x.streamFrom(ctx, &cands[at], p, from, out)
		if f == nil || f.MayHaveRun() {
			consumed = true
			if f == nil && from.kv != nil {
				x.opts.Health.Observe(kvHealthKey(from.engineID), health.OK)
			}
			return f
		}
		if from.kv != nil && f.Class == failure.NotRun {
			x.opts.Health.Observe(kvHealthKey(from.engineID), health.Refused)
		}
		if attempt > 1 || from.kv == nil || x.linksLost() || !x.hasAlternative(cands, to.ID) || !x.mayRetry(ctx, f, f.sendCost()) {
			return f
		}
		x.recordFailure(f)
	}
}

// kvHealthKey returns the name under which the health of an engine's KV
// cache is tracked. It is tracked apart from the engine's own health,
// because failed fetches from its cache say nothing about its prefills.
func kvHealthKey(id string) string { return id + KVSuffix }

// KVSuffix is the suffix of the names under which the health of KV caches is
// tracked.
const KVSuffix = "/kv"

// hasAlternative reports whether there is a candidate other than except that
// hasn't failed this call.
func (x *execution) hasAlternative(cands []placement.Candidate, except string) bool {
	for _, c := range cands {
		if c.Entry.ID != except && !x.hasFailed(c.Entry.ID) {
			return true
		}
	}
	return false
}

// releaseKV releases KV cache that won't be used. It doesn't block the call.
func (x *execution) releaseKV(kv port.KVSource) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
		defer cancel()
		if err := x.opts.Control.ReleaseKV(ctx, kv); err != nil {
			// The engine releases it by itself after some seconds.
			log.WithError(err).WithField("addr", kv.Addr).Debug("dispatch: failed to release KV cache")
		}
	}()
}

// streamFrom sends the call to a decoding engine and relays its answer.
func (x *execution) streamFrom(ctx context.Context, cand *placement.Candidate, p prompt, from prefilled, out Stream) *sendFailure {
	to := cand.Entry
	firstEvent := x.opts.Speed.Estimates(x.call.Service.Name).FirstEvent
	predicted := firstEvent
	if from.kv != nil {
		predicted += placement.TransferTime(x.call.Service.Engine, p.Tokens, from.zone == to.Zone)
	}
	done := x.opts.Engines.Decode(to.ID, x.call.Service.Engine.KVTokens, p.parts, predicted)
	defer done()
	start := time.Now()
	s := outgoing{target: to, state: port.DispatchMeta{Priority: p.priority, KV: from.kv, LastEventID: x.lastID}}
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
	firstAt := start
	overdue := x.verifyIfOverdue(&to, predicted)
	defer overdue.Stop()
	first := func() {
		overdue.Stop()
		firstAt = time.Now()
		took := firstAt.Sub(start)
		if cand.Load.Streams < to.Slots {
			// At a full engine the sample would include the wait for a slot.
			x.opts.Speed.ObserveFirstEvent(x.call.Service.Name, firstEvent+took-predicted)
		}
		if firstEvent > 0 {
			x.opts.Health.ObservePace(to.ID, x.slowdown(predicted, took))
		}
	}
	m := &paceMeter{exec: x, target: to.ID, resumed: x.lastID != ""}
	x.budget.SentAll()
	f = x.relay(ctx, to.ID, resp, v, out, streamHooks{first: first, batch: m.addEvents})
	m.finish(f == nil)
	if f == nil && x.call.Meta.MaxOutputTokens > 0 {
		x.opts.Speed.ObserveStream(x.call.Service.Name, x.call.Meta.MaxOutputTokens, time.Since(firstAt), time.Since(start), x.mostUrgent())
	}
	return f
}

// relayNonStream handles an answer that isn't a stream: a rejection, a
// failure, or an answer of the target itself, which is relayed.
func (x *execution) relayNonStream(ctx context.Context, target string, resp *h1.Response, v port.ResponseMeta, out Stream) *sendFailure {
	a, f := x.readAnswer(ctx, target, resp, v)
	if f != nil {
		return f
	}
	if f := x.answerFailure(target, a, v); f != nil {
		return f
	}
	x.markStarted(0)
	x.completeRun()
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

// slowdown returns the ratio of a measured time to its prediction.
func (x *execution) slowdown(predicted, took time.Duration) float64 {
	return slowdown(x.call.Route.Objective, predicted, took)
}

// slowdown returns the ratio of a measured time to its prediction. Slack is
// added to both because short times deviate by some tens of milliseconds for
// reasons outside the engine.
func slowdown(objective, predicted, took time.Duration) float64 {
	slack := defaultSlack
	if objective > 0 {
		slack = time.Duration(slackShare * float64(objective))
	}
	return float64(took+slack) / float64(predicted+slack)
}

// The slack of slowdown is slackShare of the objective, or defaultSlack if the
// route has none.
const (
	slackShare   = 0.2
	defaultSlack = 100 * time.Millisecond
)
