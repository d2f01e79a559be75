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
	// prefillTimeoutFactor times the predicted time, and prefillTimeoutExtra on top, is how
	// long an engine may take to read a prompt. A dark engine shows in nothing
	// but silence. While nothing can be predicted it may take unpredictedTimeoutShare of
	// the time that the call has.
	prefillTimeoutFactor    = 3
	prefillTimeoutExtra     = 700 * time.Millisecond
	unpredictedTimeoutShare = 0.5
)

// prefilled is a prompt that was read, or the decision to have it read by the
// engine that decodes.
type prefilled struct {
	kv       *port.KVSource // nil: there is none
	zone     string         // of the engine that keeps it
	engineID string         // id of that engine
}

// prefillChoice is a choice of the engine that reads the prompt.
type prefillChoice struct {
	placement.Choice
	engine       port.TargetEntry
	fetchAddr    string        // address of the engine to fetch from, empty: none
	reportedRead time.Duration // that is reported, assumed while nothing can be predicted
	reportedWait time.Duration // of it, until the engine begins with it

	decoders []placement.Candidate // engines that may make the answer
}

// prefillChoice returns the choice that the call was admitted with, or a new one for
// another round.
func (x *execution) takePrefillChoice(ctx context.Context, p prompt, f speed.Figures) prefillChoice {
	if ch := x.admitted; ch != nil {
		x.admitted = nil
		return *ch
	}
	return x.choosePrefill(ctx, p, f)
}

// choosePrefill chooses the engine that reads the prompt.
//
// While no engine's speed is known prompts are weighed by their tokens, for the
// choice and for what is reported, and for nothing else. Otherwise each
// counts as no work at all: in the first seconds of a fleet, and after all of it
// lost its power, engines look alike whatever waits there, some hold 2.7 s of
// prompts and others are idle, and nothing is fetched that is kept elsewhere.
func (x *execution) choosePrefill(ctx context.Context, p prompt, f speed.Figures) prefillChoice {
	cands := x.candidates(p, port.RolePrefill, x.opts.Zone)
	for i := range cands {
		cands[i].FailureRate += x.opts.Health.Rate(kvHealthKey(cands[i].Entry.ID))
	}
	decoders := x.decoders(p, x.opts.Zone)
	// Engines that read come first, of those that keep as much: requests that
	// run fill the memory of those that decode, and push out what they keep.
	sources := slices.Concat(cands, decoders)
	ch := prefillChoice{decoders: decoders, Choice: x.choose(ctx, p, cands, sources, f.OrAssumed())}
	ch.reportedRead, ch.reportedWait = ch.ReadTime, ch.PredictedWait
	if !f.Known() {
		ch.ReadTime, ch.PredictedWait = 0, 0
	}
	if ch.Index >= 0 {
		ch.engine = cands[ch.Index].Entry
	}
	if ch.Source >= 0 {
		ch.fetchAddr = sources[ch.Source].Entry.Addr
	}
	return ch
}

// choose chooses among the candidates by the books, or by the queues that
// others know better.
func (x *execution) choose(ctx context.Context, p prompt, cands, sources []placement.Candidate, f speed.Figures) placement.Choice {
	e := x.call.Service.Engine
	if !x.opts.Queues.CanQueryQueues() {
		return placement.Prefill(p.Prompt, cands, sources, e, f)
	}
	list := placement.Shortlist(p.Prompt, cands, sources, e, f)
	ids := make([]string, 0, len(list))
	for _, ch := range list {
		ids = append(ids, cands[ch.Index].Entry.ID)
	}
	waits := x.opts.Queues.Queues(ctx, ids)
	if waits == nil {
		return placement.Prefill(p.Prompt, cands, sources, e, f)
	}
	return placement.SelectByWait(list, cands, waits)
}

// decoders are the engines that may make the answer, some of the zone among them.
func (x *execution) decoders(p prompt, zone string) []placement.Candidate {
	out := x.candidates(p, port.RoleDecode, zone)
	x.setStreamLimits(out)
	return out
}

// candidates are the engines of a role that are looked at. They are of any zone,
// some of the given one among them.
func (x *execution) candidates(p prompt, role port.Role, zone string) []placement.Candidate {
	var out []placement.Candidate
	c := x.sampleTargets(role, &p, zone)
	reuse := x.connReuse(outgoing{state: port.Send{Prefill: role == port.RolePrefill}})
	for _, t := range x.usable(c, p.parts) {
		if t.load.Becomes != "" {
			continue
		}
		out = append(out, placement.Candidate{
			Entry:       *t.TargetEntry,
			Load:        t.load,
			FailureRate: x.opts.Health.Rate(t.ID),
			Slowdown:    x.opts.Health.Pace(t.ID),
			HasIdleConn: x.opts.Pool.Warm(t.Addr, t.ID, reuse),
			LocalOnly:   t.localOnly,
		})
	}
	return out
}

// prefill has the prompt read. Without an engine for that the decoding engine
// reads it itself, at half the speed.
func (x *execution) prefill(ctx context.Context, p prompt) (prefilled, *sendFailure) {
	figures := x.opts.Speed.Figures(x.call.Service.Name)
	ch := x.takePrefillChoice(ctx, p, figures)
	if ch.Index < 0 {
		return prefilled{}, nil
	}
	to := ch.engine
	done := x.opts.Engines.Prefill(to.ID, x.call.Service.Engine.KVTokens, p.parts, figures.Start+ch.reportedWait, ch.reportedRead)
	defer done()
	predicted := figures.Start + ch.PredictedWait + ch.ReadTime
	x.trace.Prefill = Prefill{PromptTokens: p.Tokens, SharedTokens: p.SharedTokens, MissingTokens: ch.MissingTokens, FetchedTokens: ch.FetchedTokens, Speculative: ch.Speculative, PredictedWait: ch.PredictedWait, PredictedRead: ch.ReadTime}
	begun := time.Now()
	resp, v, f := x.send(ctx, outgoing{
		target:        to,
		state:         port.Send{Priority: p.priority, Prefill: true, FetchFrom: ch.fetchAddr},
		headerTimeout: x.prefillTimeout(figures, predicted),
	})
	if f != nil {
		return prefilled{}, x.asNotRun(f)
	}
	a, f := x.readAnswer(ctx, to.ID, resp, v)
	if f != nil {
		return prefilled{}, x.asNotRun(f)
	}
	if v.NotRun || a.Status != http.StatusOK {
		f := newFailure(failure.NotRun, to.ID, errNotRun)
		f.retryAfter = v.RetryAfter
		return prefilled{}, f
	}
	handle, err := x.opts.Wire.KVHandle(a.Body)
	if err != nil {
		return prefilled{}, newFailure(failure.NotRun, to.ID, err)
	}
	took := time.Since(begun)
	x.trace.Prefill.Duration = took
	if !ch.Speculative {
		// What a guess fetched was predicted as read: it would teach a wrong pace.
		x.opts.Speed.Read(x.call.Service.Name, speed.Sample{
			Prompt: p.Tokens, Missing: ch.MissingTokens, Before: ch.PredictedWait + ch.FetchTime, Took: took,
		})
		if figures.Known() {
			x.opts.Health.NotePace(to.ID, x.slowdown(predicted, took))
		}
	}
	x.recordSuccess(to.ID)
	return prefilled{kv: &port.KVSource{Addr: to.Addr, Handle: handle}, zone: to.Zone, engineID: to.ID}, nil
}

// prefillTimeout is how long an engine may take to read a prompt.
func (x *execution) prefillTimeout(f speed.Figures, predicted time.Duration) time.Duration {
	if !f.Known() {
		return time.Duration(unpredictedTimeoutShare * float64(time.Until(x.call.Deadline)))
	}
	return prefillTimeoutFactor*predicted + prefillTimeoutExtra
}

// asNotRun says of a failed prefill that the request did not run: reading a
// prompt makes no answer and may be repeated. The target is judged by what it
// did, the call by "not run".
func (x *execution) asNotRun(f *sendFailure) *sendFailure {
	if f.Final() {
		return f
	}
	if o, counts := f.healthOutcome(); counts {
		x.opts.Health.Note(f.Target, o)
	}
	f.healthRecorded = true
	if f.Class != failure.NotWritten {
		f.Class = failure.NotRun
	}
	return f
}
