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
	"github.com/pomelospool/pomelospool/request/overload"
	"github.com/pomelospool/pomelospool/request/placement"
)

// latePriority is the priority of requests that can't meet their objective.
const latePriority = 9

// runStream executes a streamed call at the service's engines, or at plain
// targets if it has no engines.
func (x *execution) runStream(ctx context.Context, out Stream) error {
	if x.call.Service.Engine == nil {
		return x.runPlainStream(ctx, out)
	}
	if err := x.checkContent(); err != nil {
		return err
	}
	if x.viaPeer() {
		return x.streamAtPeer(ctx, out)
	}
	if err := x.refuseForwarded(); err != nil {
		return err
	}
	if err := x.findOrigin(ctx); err != nil {
		return err
	}
	if err := x.checkOriginServed(port.RoleDecode); err != nil {
		return err
	}
	prompt, err := x.admit(ctx)
	if err != nil {
		return x.refuseOrForward(ctx, out, err)
	}
	sends := 1
	for {
		if err := x.checkContent(); err != nil {
			return err
		}
		if err := x.refuseForwarded(); err != nil {
			return err
		}
		if x.viaPeer() {
			return x.streamAtPeer(ctx, out)
		}
		if err := x.checkOriginServed(port.RoleDecode); err != nil {
			return err
		}
		p, f := x.prefill(ctx, prompt)
		if f == nil {
			if err := x.checkContent(); err != nil {
				if p.kv != nil {
					x.releaseKV(*p.kv)
				}
				return err
			}
			if p.kv != nil {
				sends = 2
			}
			f = x.decode(ctx, prompt, p, out)
			if f == nil {
				return nil
			}
		}
		x.recordFailure(f)
		cost := sends * f.sendCost()
		if p.kv != nil {
			cost = 1 + f.sendCost() // the prefill was received in any case
		}
		if !x.worthRetry(prompt, p, f) || !x.retryInTime(ctx, prompt) || !x.mayRetry(ctx, f, cost) {
			return x.finalError(f)
		}
	}
}

// worthRetry reports whether another prefill and decode could succeed.
//
// A decoding engine rejects a call either because the KV cache was gone
// before it was fetched, in which case another engine should prefill the
// prompt, or because it can't take the call. Another prefill for an engine
// that rejects other calls too loads the engines with useless work.
func (x *execution) worthRetry(p prompt, from prefilled, f *sendFailure) bool {
	if from.kv == nil || f.Class != failure.NotRun || x.viaPeer() {
		return true
	}
	for _, c := range x.candidates(p, port.RoleDecode, from.zone) {
		if c.FailureRate < doubtfulRate {
			return true
		}
	}
	return false
}

// doubtfulRate is the failure rate from which on an engine is considered
// unreliable.
const doubtfulRate = 0.4

// prompt is the call's prompt as placement sees it.
type prompt struct {
	placement.Prompt
	parts    []port.PromptPart
	priority int
}

func (x *execution) prompt() prompt {
	p := prompt{parts: x.call.Meta.PromptParts}
	p.Tokens = x.call.Meta.PromptTokens
	p.Zone = x.opts.Zone
	p.Objective = x.call.Route.Objective
	p.RandomSeed = rand.Uint64()
	p.Unreported = x.Unreported(x.call.Service.Name)
	p.AvoidLate = x.opts.Factors != nil
	p.priority = min(x.call.Priority, latePriority-1)
	for _, part := range p.parts[:max(len(p.parts)-1, 0)] {
		p.SharedTokens += part.Tokens
	}
	if len(p.parts) > 0 {
		p.Seed = p.parts[max(len(p.parts)-2, 0)].ID // the last part belongs to this request only
	}
	return p
}

// admit decides at once whether the call is admitted.
//
// Once there is a queue at the engines, every request behind it is late.
// Serving all of them yields less than rejecting those that can't be on
// time.
func (x *execution) admit(ctx context.Context) (prompt, error) {
	p := x.prompt()
	x.answerLength(x.call.Route.Name).addCall(x.call.Meta.OutputHint, x.call.Meta.MaxOutputTokens, time.Until(x.call.Deadline))
	est := x.opts.Speed.Estimates(x.call.Service.Name)
	ch := x.choosePrefill(ctx, p, est)
	x.admitted = &ch
	x.trace.PredictedDuration = est.StreamDuration(x.call.Meta.MaxOutputTokens)
	err := x.enforceShare(p, est, ch, x.checkObjective(&p, est, ch))
	x.recordDemand(p, est, ch, err != nil)
	return p, err
}

// checkObjective rejects a call whose first event would miss the objective
// because of the queues. It lowers the priority of a call that would miss it
// at an idle engine too.
func (x *execution) checkObjective(p *prompt, est speed.Estimates, ch prefillChoice) error {
	slotWait, err := x.predictSlotWait(est, ch.decoders)
	if err != nil {
		return err
	}
	if x.call.TakesUp() {
		return nil // the stream was admitted before, and its caller has a part of it
	}
	if ch.Index < 0 {
		return nil // a decoding engine prefills it, or none can; that is decided later
	}
	unqueuedTime := est.PromptOverhead + ch.PrefillTime + est.FirstEvent
	wait := ch.PredictedWait + slotWait
	x.trace.PredictedFirst, x.trace.PredictedWait = wait+unqueuedTime, wait
	objective := x.call.Route.Objective
	stats := x.promptStats(x.call.Service.Name)
	stats.Record(p.Tokens, ch.PrefillTime)
	if objective > 0 && unqueuedTime > objective {
		p.priority = latePriority
	}
	verdict := overload.FirstEvent{
		Wait: wait, EffectiveWait: stats.EffectiveWait(wait, p.Tokens, ch.PrefillTime, est.QueuedError),
		Unqueued: unqueuedTime, Objective: objective, Left: x.usefulFor(),
	}.Decide()
	switch verdict {
	case overload.Admit, overload.AdmitLate:
		return nil
	case overload.TooLate:
		counts.Add("rejected_too_late", 1)
	}
	predicted := max(x.trace.PredictedFirst, objective)
	if x.opts.ShedEarly && unqueuedTime <= objective { // otherwise the end of the backlog doesn't help
		return x.rejected(ch, slotWait, unqueuedTime, predicted)
	}
	return x.overloaded(ch.decoders, predicted-objective, "the first event would take %v", predicted.Round(time.Millisecond))
}

// overloaded returns the rejection of a call that would be late by that much
// at these decoding engines.
func (x *execution) overloaded(decoders []placement.Candidate, late time.Duration, format string, args ...any) error {
	after := max(late, x.jitteredDelay())
	return code.New(code.Overloaded, format, args...).WithRetryAfter(x.capRetryDelay(after, decoders))
}

// A rejected caller waits a random fraction between these two of its remaining
// time before it retries. Callers retry once at most, and load peaks last some
// seconds. With a delay of only the queue's excess, mostly 100 ms, retries hit
// the same peak: 12.6% of requests were rejected for good, against 9.8% with
// these fractions. With a fixed fraction the retries would arrive together.
const (
	minRetryShare = 0.12
	maxRetryShare = 0.24
	// maxJitteredDelay bounds the delay for callers with much time, since
	// load peaks last only some seconds.
	maxJitteredDelay = 4 * time.Second
)

// jitteredDelay returns the least delay after which a rejected caller is
// asked to retry.
func (x *execution) jitteredDelay() time.Duration {
	part := minRetryShare + (maxRetryShare-minRetryShare)*hashFraction(x.call.Meta.RequestID, "come back")
	return min(max(time.Duration(part*float64(time.Until(x.call.Deadline))), minRetryDelay), maxJitteredDelay)
}

// triesIfRejected is the assumed number of times that a rejected request is
// sent: its caller retries at least once.
const triesIfRejected = 2

// recordDemand records the load that the call asks for, whether it is
// admitted or not, since engine roles are planned for the demand and not for
// the served load.
func (x *execution) recordDemand(p prompt, est speed.Estimates, ch prefillChoice, rejected bool) {
	req := demand.Request{
		Prefill: ch.PrefillTime, StreamDuration: est.StreamDuration(x.call.Meta.MaxOutputTokens), Transfer: x.transferTime(p, ch),
		Objective: x.call.Route.Objective, Priority: x.call.Priority,
	}
	if ch.Index < 0 {
		req.Prefill = est.PrefillTime(p.Tokens, p.Tokens)
	}
	if rejected {
		req.Prefill, req.StreamDuration, req.Transfer = req.Prefill/triesIfRejected, req.StreamDuration/triesIfRejected, req.Transfer/triesIfRejected
	}
	x.opts.Demand.Observe(x.call.Service.Name, req)
}

// transferTime predicts how long the transfer of the prompt's KV cache to a
// decoding engine takes. It assumes one in the zone of the prefill engine if
// there is any.
func (x *execution) transferTime(p prompt, ch prefillChoice) time.Duration {
	near := slices.ContainsFunc(ch.decoders, func(c placement.Candidate) bool { return c.Entry.Zone == ch.engine.Zone })
	return placement.TransferTime(x.call.Service.Engine, p.Tokens, near)
}

// predictSlotWait predicts how long the call waits for a slot at a decoding
// engine. It rejects a call that no engine would take, to save the prefill.
// Engines with a high failure rate get a share of the calls, so that their
// recovery is noticed.
func (x *execution) predictSlotWait(est speed.Estimates, cands []placement.Candidate) (time.Duration, error) {
	policy := x.slotPolicy(est, cands)
	free, full, doubtful, reported, onlyOwn := 0, 0, 0, 0, 0
	minWait := maxRetryDelay
	trustReports := !x.allReported(cands)
	for i := range cands {
		c := &cands[i]
		if x.opts.Health.Ejected(c.Entry.ID) {
			if !c.Load.Unreachable() {
				onlyOwn++
			}
			continue
		}
		if trustReports && c.Load.Unreachable() {
			reported++
			continue
		}
		minWait = min(minWait, policy.SlotWait(c))
		switch {
		case policy.Full(c):
			full++
		case c.FailureRate > doubtfulRate:
			doubtful++
		default:
			free++
		}
	}
	switch {
	case full > 0 && x.call.TakesUp():
		return minWait, nil // the engine itself decides whether it can queue the call
	case free > 0, doubtful > 0 && hashFraction(x.call.Meta.RequestID, "") < probeShare:
		return minWait, nil
	case full > 0:
		return 0, x.overloaded(cands, minWait, "%d of %d decoding engines are full", full, len(cands))
	}
	if onlyOwn > 0 {
		x.opts.Links.Suspect(x.call.Service.Name)
	}
	return 0, code.New(code.NoTarget, "none of %d decoding engines takes requests, %d of them by reports of other daemons", len(cands), reported).WithRetryAfter(x.call.Service.Engine.RoleChangeTime)
}

// allReported reports whether other daemons can't reach any of the decoding
// engines that this daemon hasn't ejected. If the service has several, it is
// more likely that those daemons have lost their links.
func (x *execution) allReported(cands []placement.Candidate) bool {
	if x.targets().ByRole(port.RoleDecode, "").Len() < 2 {
		return false
	}
	for i := range cands {
		if c := &cands[i]; !c.Load.Unreachable() && !x.opts.Health.Ejected(c.Entry.ID) {
			return false
		}
	}
	return true
}

// mostUrgent reports whether no call of the service has a higher priority.
func (x *execution) mostUrgent() bool {
	return x.opts.Demand.MostUrgent(x.call.Service.Name, x.call.Priority)
}

// slotPolicy returns the policy by which the call may use the slots of
// decoding engines.
func (x *execution) slotPolicy(est speed.Estimates, cands []placement.Candidate) placement.SlotPolicy {
	policy := placement.SlotPolicy{StreamTime: est.SlotTime, CanRetry: x.canRetry(cands)}
	if len(cands) == 0 || x.mostUrgent() {
		return policy
	}
	// Slots freed by more urgent requests are taken by other urgent requests, so
	// only streams of this priority or lower free slots for the call.
	policy.StreamTime = est.LessUrgentSlotTime
	urgent := x.opts.Demand.Total(x.call.Service.Name).Urgent
	policy.Reserved = placement.ReservedSlots(urgent, x.decoderCount(cands), cands[0].Entry.Slots)
	return policy
}

// decoderCount returns the number of the service's decoding engines, of
// which cands may be a sample.
func (x *execution) decoderCount(cands []placement.Candidate) int {
	if n := x.targets().ByRole(port.RoleDecode, "").Len(); n > sampleThreshold {
		return n
	}
	return len(cands)
}

// probeShare is the fraction of calls that may go to engines with a high
// failure rate.
const probeShare = 0.3
