package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/placement"
)

const (
	// An engine may take prefillTimeoutFactor times the predicted time of a
	// prefill, and prefillTimeoutExtra on top. A timeout is the only sign
	// of an engine that has lost power or its network. If nothing can be
	// predicted, the engine may take unpredictedTimeoutShare of the time
	// that the call has left.
	prefillTimeoutFactor    = 3
	prefillTimeoutExtra     = 700 * time.Millisecond
	unpredictedTimeoutShare = 0.5
)

// prefilled is the result of the prefill step. Without KV cache the decoding
// engine prefills the prompt itself.
type prefilled struct {
	kv       *port.KVSource // nil if there is none
	zone     string         // of the engine that holds the KV cache
	engineID string         // of the engine that holds the KV cache
}

// prefillChoice is the choice of the engine that prefills the prompt.
type prefillChoice struct {
	placement.Choice
	engine          port.TargetEntry
	fetchAddr       string        // address of the engine to fetch KV cache from; empty if there is none
	reportedPrefill time.Duration // reported to other daemons; an assumption while nothing can be predicted
	reportedWait    time.Duration // reported time in the engine's queue, assumed likewise
	backlog         time.Duration // queued work divided by the engines

	decoders []placement.Candidate // engines that may decode
}

// nextPrefillChoice returns the choice made at admission on its first call,
// and a new one on later calls.
func (x *execution) nextPrefillChoice(ctx context.Context, p prompt, est speed.Estimates) prefillChoice {
	if ch := x.admitted; ch != nil {
		x.admitted = nil
		return *ch
	}
	return x.choosePrefill(ctx, p, est)
}

// choosePrefill chooses the engine that prefills the prompt.
//
// While no engine's speed is known, prompts count by their tokens with an
// assumed speed, but only in the choice and in the reported load. If they
// counted as no work, all engines would look alike when a fleet starts or
// recovers from a power loss: some engines had 2.7 s of prompts queued while
// others were idle, and no cached prefix was fetched from another engine.
func (x *execution) choosePrefill(ctx context.Context, p prompt, est speed.Estimates) prefillChoice {
	cands := x.candidates(p, port.RolePrefill, x.opts.Zone)
	for i := range cands {
		cands[i].FailureRate += x.opts.Health.FailureRate(kvHealthKey(cands[i].Entry.ID))
		cands[i].Speed = x.opts.Factors.Factor(cands[i].Entry.ID)
	}
	x.reserve(p, cands, est)
	decoders := x.decoders(p, x.opts.Zone)
	// Among engines that hold equally much, prefill engines come first: running
	// requests fill the memory of decoding engines, which evicts cached prefixes.
	sources := slices.Concat(cands, decoders)
	ch := prefillChoice{decoders: decoders, backlog: backlog(cands), Choice: x.choose(ctx, p, cands, sources, est.OrDefault())}
	ch.reportedPrefill, ch.reportedWait = ch.PrefillTime, ch.PredictedWait
	if !est.Known() {
		ch.PrefillTime, ch.PredictedWait = 0, 0
	}
	if ch.Index >= 0 {
		ch.engine = cands[ch.Index].Entry
	}
	if ch.Source >= 0 {
		ch.fetchAddr = sources[ch.Source].Entry.Addr
	}
	return ch
}

// choose chooses among the candidates by the tracked load, or by queried
// queues where these are more accurate.
func (x *execution) choose(ctx context.Context, p prompt, cands, sources []placement.Candidate, est speed.Estimates) placement.Choice {
	e := x.call.Service.Engine
	if !x.opts.Queues.CanQueryQueues() {
		return placement.Prefill(p.Prompt, cands, sources, e, est)
	}
	shortlist := placement.Shortlist(p.Prompt, cands, sources, e, est)
	ids := make([]string, 0, len(shortlist))
	for _, ch := range shortlist {
		ids = append(ids, cands[ch.Index].Entry.ID)
	}
	waits := x.opts.Queues.Queues(ctx, ids)
	if !x.assumeWaits(shortlist, cands, waits) {
		return placement.Prefill(p.Prompt, cands, sources, e, est)
	}
	return placement.SelectByWait(shortlist, cands, waits)
}

// decoders returns the candidates for the decode, including some in the
// zone.
func (x *execution) decoders(p prompt, zone string) []placement.Candidate {
	out := x.candidates(p, port.RoleDecode, zone)
	x.setStreamLimits(out)
	return out
}

// candidates returns the considered engines of a role. They are of any zone
// and include some in the given one.
func (x *execution) candidates(p prompt, role port.Role, zone string) []placement.Candidate {
	var out []placement.Candidate
	sample := x.sampleTargets(role, &p, zone)
	reuse := x.connReuse(outgoing{state: port.DispatchMeta{Prefill: role == port.RolePrefill}})
	usable := x.usable(sample, p.parts)
	if role == port.RoleDecode {
		usable = x.preferSettled(usable)
	}
	for _, t := range usable {
		if t.load.Becomes != "" {
			continue
		}
		out = append(out, placement.Candidate{
			Entry:       *t.TargetEntry,
			Load:        t.load,
			FailureRate: x.opts.Health.FailureRate(t.ID),
			Slowdown:    x.opts.Health.Pace(t.ID),
			HasIdleConn: x.opts.Pool.HasIdle(t.Addr, t.ID, reuse),
			LocalOnly:   t.localOnly,
		})
	}
	return out
}

// prefill runs the prefill of the prompt. If there is no engine for it, the
// decoding engine prefills the prompt itself, at half the speed.
func (x *execution) prefill(ctx context.Context, p prompt) (prefilled, *sendFailure) {
	est := x.opts.Speed.Estimates(x.call.Service.Name)
	ch := x.nextPrefillChoice(ctx, p, est)
	if ch.Index < 0 {
		return prefilled{}, nil
	}
	to := ch.engine
	if ch.NotCheapest {
		counts.Add("prefill_not_cheapest", 1)
	}
	done := x.opts.Engines.Prefill(to.ID, x.call.Service.Engine.KVTokens, p.parts, est.PromptOverhead+ch.reportedWait, ch.reportedPrefill)
	defer done()
	predicted := est.PromptOverhead + ch.PredictedWait + ch.PrefillTime
	x.trace.Prefill = Prefill{PromptTokens: p.Tokens, SharedTokens: p.SharedTokens, MissingTokens: ch.MissingTokens, FetchedTokens: ch.FetchedTokens, Speculative: ch.Speculative, PredictedWait: ch.PredictedWait, PredictedPrefill: ch.PrefillTime}
	start := time.Now()
	timeout, shortened := x.limitToUseful(x.prefillTimeout(est, predicted), est.FirstEvent)
	resp, v, f := x.send(ctx, outgoing{
		target:        to,
		state:         port.DispatchMeta{Priority: p.priority, Prefill: true, FetchFrom: ch.fetchAddr},
		headerTimeout: timeout,
	})
	if f != nil {
		return prefilled{}, x.asNotRun(markCancelled(f, shortened))
	}
	a, f := x.readAnswer(ctx, to.ID, resp, v)
	if f != nil {
		return prefilled{}, x.asNotRun(markCancelled(f, shortened))
	}
	if v.NotRun || a.Status != http.StatusOK {
		f := newFailure(failure.NotRun, to.ID, errNotRun)
		f.retryAfter = v.RetryAfter
		return prefilled{}, f
	}
	handle, err := x.opts.Protocol.ParseKVHandle(a.Body)
	if err != nil {
		return prefilled{}, newFailure(failure.NotRun, to.ID, err)
	}
	took := time.Since(start)
	x.trace.Prefill.Duration = took
	if !ch.Speculative {
		// A speculative fetch was predicted as a full prefill, so its time would
		// distort the measured speed.
		s := speed.Sample{
			Prompt: p.Tokens, Missing: ch.MissingTokens, PredictedWait: ch.PredictedWait + ch.FetchTime, Duration: took,
			Factor: x.opts.Factors.Factor(to.ID),
		}
		x.opts.Speed.ObservePrompt(x.call.Service.Name, s)
		x.opts.Factors.Observe(to.ID, s, est)
		if est.Known() {
			x.opts.Health.ObservePace(to.ID, x.slowdown(predicted, took))
		}
	}
	x.leaveRun()
	x.recordSuccess(to.ID)
	return prefilled{kv: &port.KVSource{Addr: to.Addr, Handle: handle}, zone: to.Zone, engineID: to.ID}, nil
}

// prefillTimeout returns how long an engine may take for a prefill.
func (x *execution) prefillTimeout(est speed.Estimates, predicted time.Duration) time.Duration {
	if !est.Known() {
		return time.Duration(unpredictedTimeoutShare * float64(time.Until(x.call.Deadline)))
	}
	return prefillTimeoutFactor*predicted + prefillTimeoutExtra
}

// asNotRun changes a failed prefill to a failure that states that the
// request didn't run, since a prefill makes no answer and may be repeated.
// The target's health is updated by the original failure.
func (x *execution) asNotRun(f *sendFailure) *sendFailure {
	if f.Final() {
		return f
	}
	x.recordHealth(f)
	if f.Class != failure.NotWritten {
		f.Class = failure.NotRun
	}
	return f
}
