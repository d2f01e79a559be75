package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/placement"
)

const (
	// latePriority is the urgency of requests that can't make their objective.
	latePriority = 9
	// maxLateWait is the longest wait at an engine, as a share of the objective,
	// that such a request is taken for. Without a bound they would pile up;
	// with none taken, the largest prompts would never be served.
	maxLateWait = 0.24
)

// runStream runs a call at the service's engines, or at plain targets.
func (x *execution) runStream(ctx context.Context, out Stream) error {
	if x.call.Service.Engine == nil {
		return x.runPlainStream(ctx, out)
	}
	prompt, err := x.admit(ctx)
	if err != nil {
		return err
	}
	sends := 1
	for {
		p, f := x.prefill(ctx, prompt)
		if f == nil {
			if p.kv != nil {
				sends = 2
			}
			f = x.decode(ctx, prompt, p, out)
			if f == nil {
				return nil
			}
		}
		x.recordFailure(f)
		if !x.worthRetry(prompt, p, f) || !x.mayRetry(ctx, f, sends) {
			return x.finalError(f)
		}
	}
}

// worthRetry reports whether another round could end better.
//
// When a decoding engine refuses, either the KV cache was gone before it was
// fetched, and another engine should read the prompt, or the decoding engine
// can't take it. Reading the prompt again for an engine that refuses others
// too fills the engines with work for nothing.
func (x *execution) worthRetry(p prompt, from prefilled, f *sendFailure) bool {
	if from.kv == nil || f.Class != failure.NotRun {
		return true
	}
	for _, c := range x.candidates(p, port.RoleDecode, from.zone) {
		if c.FailureRate < doubtfulRate {
			return true
		}
	}
	return false
}

// doubtfulRate is the failure rate from which on an engine isn't counted on.
const doubtfulRate = 0.4

// prompt is the call as placement sees it.
type prompt struct {
	placement.Prompt
	parts    []port.PromptPart
	priority int
}

func (x *execution) prompt() prompt {
	p := prompt{parts: x.call.Ask.Parts}
	p.Tokens = x.call.Ask.Prompt
	p.Zone = x.opts.Zone
	p.Objective = x.call.Route.Objective
	p.RandomSeed = rand.Uint64()
	p.priority = min(x.call.Priority, latePriority-1)
	for _, part := range p.parts[:max(len(p.parts)-1, 0)] {
		p.SharedTokens += part.Tokens
	}
	if len(p.parts) > 0 {
		p.Seed = p.parts[max(len(p.parts)-2, 0)].ID // the last part is the request's own
	}
	return p
}

// admit decides at once whether the call is taken.
//
// Once a queue stands before the engines, every request behind it is late:
// serving all of them earns less than refusing those that can't be on time.
func (x *execution) admit(ctx context.Context) (prompt, error) {
	p := x.prompt()
	x.answerLength(x.call.Route.Name).addCall(x.call.Ask.Hint, x.call.Ask.Output, time.Until(x.call.Deadline))
	f := x.opts.Speed.Figures(x.call.Service.Name)
	ch := x.choosePrefill(ctx, p, f)
	x.admitted = &ch
	x.trace.PredictedDuration = f.Lasts(x.call.Ask.Output)
	err := x.checkObjective(&p, f, ch)
	x.recordDemand(p, f, ch, err != nil)
	return p, err
}

func (x *execution) checkObjective(p *prompt, f speed.Figures, ch prefillChoice) error {
	queue, err := x.predictSlotWait(f, ch.decoders)
	if err != nil {
		return err
	}
	if ch.Index < 0 {
		return nil // decode engines may read it, or nothing can: not for here
	}
	alone := f.Start + ch.ReadTime + f.First
	wait := ch.PredictedWait + queue
	x.trace.PredictedFirst = wait + alone
	objective := x.call.Route.Objective
	usual := x.promptStats(x.call.Service.Name)
	usual.Record(p.Tokens, ch.ReadTime)
	if objective <= 0 || usual.EffectiveWait(wait, p.Tokens, ch.ReadTime, f.Spread)+alone <= objective {
		return nil
	}
	if alone > objective {
		p.priority = latePriority
		if wait <= time.Duration(maxLateWait*float64(objective)) {
			return nil
		}
	}
	predicted := max(x.trace.PredictedFirst, objective)
	return x.overloaded(ch.decoders, predicted-objective, "the first event would take %v", predicted.Round(time.Millisecond))
}

// overloaded rejects a call that is too late by that much at these engines.
func (x *execution) overloaded(decoders []placement.Candidate, late time.Duration, format string, args ...any) error {
	after := max(late, x.jitteredDelay())
	return code.New(code.Overloaded, format, args...).After(x.capRetryDelay(after, decoders))
}

// What part of its time a refused caller waits before it comes back: a random
// one between them. Callers have one try more at most, and loads that turn last
// some seconds. With the queue's excess alone (100 ms mostly) they came back
// into the same crowd, and 12.6 in 100 requests of a quiet day ended refused,
// 9.8 so. Together they would come back as a crowd.
const (
	minRetryShare = 0.12
	maxRetryShare = 0.24
	// maxJitteredDelay bounds it for callers with much time: loads last some seconds.
	maxJitteredDelay = 4 * time.Second
)

// jitteredDelay is the least time after which a refused caller is asked to come back.
func (x *execution) jitteredDelay() time.Duration {
	part := minRetryShare + (maxRetryShare-minRetryShare)*hashFraction(x.call.Ask.ID, "come back")
	return min(max(time.Duration(part*float64(time.Until(x.call.Deadline))), minRetryDelay), maxJitteredDelay)
}

// triesIfRejected is how often a request that is refused is asked: its caller
// comes back once at least.
const triesIfRejected = 2

// recordDemand notes what the call asks of the engines, whether it is taken or not:
// the plan of their roles answers what is asked, not what was served.
func (x *execution) recordDemand(p prompt, f speed.Figures, ch prefillChoice, refused bool) {
	o := demand.Offer{
		Reading: ch.ReadTime, Lasts: f.Lasts(x.call.Ask.Output), Moving: x.transferTime(p, ch),
		Objective: x.call.Route.Objective, Priority: x.call.Priority,
	}
	if ch.Index < 0 {
		o.Reading = f.Read(p.Tokens, p.Tokens)
	}
	if refused {
		o.Reading, o.Lasts, o.Moving = o.Reading/triesIfRejected, o.Lasts/triesIfRejected, o.Moving/triesIfRejected
	}
	x.opts.Demand.Note(x.call.Service.Name, o)
}

// transferTime is how long the prompt's KV cache will take to an engine that decodes,
// one in the zone of the engine that reads if there is any.
func (x *execution) transferTime(p prompt, ch prefillChoice) time.Duration {
	near := slices.ContainsFunc(ch.decoders, func(c placement.Candidate) bool { return c.Entry.Zone == ch.engine.Zone })
	return placement.TransferTime(x.call.Service.Engine, p.Tokens, near)
}

// predictSlotWait predicts how long the call waits for a place at a decoding engine. It
// refuses a call that none would take, before its prompt is read for nothing.
// Engines that refuse lately get one call in some, so that their recovery shows.
func (x *execution) predictSlotWait(f speed.Figures, cands []placement.Candidate) (time.Duration, error) {
	room := x.slotPolicy(f, cands)
	free, full, doubts := 0, 0, 0
	least := maxRetryDelay
	for i := range cands {
		c := &cands[i]
		if x.opts.Health.Ejected(c.Entry.ID) || c.Load.Unreachable() {
			continue
		}
		least = min(least, room.SlotWait(c))
		switch {
		case room.Full(c):
			full++
		case c.FailureRate > doubtfulRate:
			doubts++
		default:
			free++
		}
	}
	switch {
	case free > 0, doubts > 0 && hashFraction(x.call.Ask.ID, "") < probeShare:
		return least, nil
	case full > 0:
		return 0, x.overloaded(cands, least, "%d of %d decoding engines are full", full, len(cands))
	}
	return 0, code.New(code.NoTarget, "none of %d decoding engines takes requests", len(cands)).After(x.call.Service.Engine.SwitchTime)
}

// mostUrgent reports whether no call of the service is more urgent.
func (x *execution) mostUrgent() bool {
	return x.opts.Demand.MostUrgent(x.call.Service.Name, x.call.Priority)
}

// slotPolicy is how the decoding engines' places are shared out to the call.
func (x *execution) slotPolicy(f speed.Figures, cands []placement.Candidate) placement.SlotPolicy {
	r := placement.SlotPolicy{StreamTime: f.Stay, CanRetry: x.canRetry(cands)}
	if len(cands) == 0 || x.mostUrgent() {
		return r
	}
	// The places that are freed meanwhile by more urgent requests are taken by
	// others of them.
	r.StreamTime = f.StayLess
	urgent := x.opts.Demand.Total(x.call.Service.Name).Urgent
	r.Reserved = placement.ReservedSlots(urgent, x.decoderCount(cands), cands[0].Entry.Slots)
	return r
}

// decoderCount is the number of engines that decode, of which cands are looked at.
func (x *execution) decoderCount(cands []placement.Candidate) int {
	if of := x.opts.Targets.Targets(x.call.Service.Name).Of(port.RoleDecode, "").Len(); of > sampleThreshold {
		return of
	}
	return len(cands)
}

// probeShare is the share of calls that engines get which refuse lately.
const probeShare = 0.3
