package dispatch

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/overload"
	"github.com/pomelospool/pomelospool/request/placement"
	"github.com/pomelospool/pomelospool/version/route"
)

// usefulFor returns the time for which the first event of the call is still of use
// to its caller, at least 1 ns. It returns 0 if this isn't considered: the setting
// is off, or the caller has or had a part of the stream.
func (x *execution) usefulFor() time.Duration {
	if !x.opts.ShedEarly || x.call.Route.Kind != route.Stream || x.call.Service.Engine == nil || x.call.TakesUp() || x.began || x.trace.AnswerStarted {
		return 0
	}
	until := overload.UsefulUntil(overload.Caller{
		Arrived: x.call.Arrived, Deadline: x.call.Deadline,
		Objective: x.call.Route.Objective, LongestPause: x.call.Route.MaxEventGap,
	})
	x.trace.UsefulFor = until.Sub(x.call.Arrived)
	return max(time.Until(until), 1)
}

// rejected returns the rejection of a call whose first event would take that long,
// with the time after which its caller finds capacity: that at which both the prefill
// engines' queues and the wait for a slot at a decoding engine end.
func (x *execution) rejected(ch prefillChoice, slotWait, unqueued, predicted time.Duration) error {
	u := hashFraction(x.call.Meta.RequestID, "come back")
	after := max(overload.RetryAfter(max(ch.backlog, slotWait), time.Until(x.call.Deadline), unqueued, u), minRetryDelay)
	return code.New(code.Overloaded, "the first event would take %v", predicted.Round(time.Millisecond)).
		WithRetryAfter(x.capRetryDelay(after, ch.decoders))
}

// backlog returns the queued work at the engines divided by their number.
func backlog(cands []placement.Candidate) time.Duration {
	sum := time.Duration(0)
	for i := range cands {
		sum += cands[i].Load.Wait
	}
	return sum / time.Duration(max(len(cands), 1))
}

// firstEventLate reports whether a first event after that time would be of no use to
// the caller.
func (x *execution) firstEventLate(after time.Duration) bool {
	left := x.usefulFor()
	return left != 0 && (left == 1 || after > left)
}

// limitToUseful bounds the timeout of a prefill to the time for which it is of use,
// and reports whether that shortened it. The prefill has to be done a firstEvent
// earlier than the first event. The daemon thus cancels it before its caller leaves,
// and learns that the engine is behind.
func (x *execution) limitToUseful(timeout, firstEvent time.Duration) (time.Duration, bool) {
	left := x.usefulFor()
	if left == 0 || left-firstEvent >= timeout {
		return timeout, false
	}
	return max(left-firstEvent, minPrefillTimeout), true
}

// minPrefillTimeout bounds the shortened timeout, since a timeout of 0 is none.
const minPrefillTimeout = time.Millisecond

// markCancelled marks the failure of a prefill whose shortened timeout expired.
func markCancelled(f *sendFailure, shortened bool) *sendFailure {
	if shortened && f.Class == failure.Stalled {
		f.cancelled = true
		counts.Add("prefills_cancelled", 1)
	}
	return f
}

// retryInTime reports whether the first event of another prefill and decode would be
// of use to the caller. It makes the choice for that prefill, which is then used.
func (x *execution) retryInTime(ctx context.Context, p prompt) bool {
	if x.usefulFor() == 0 || x.viaPeer() {
		return true
	}
	if x.firstEventLate(0) {
		return false
	}
	est := x.opts.Speed.Estimates(x.call.Service.Name)
	ch := x.choosePrefill(ctx, p, est)
	x.admitted = &ch
	return ch.Index < 0 || !x.firstEventLate(ch.PredictedWait+est.PromptOverhead+ch.PrefillTime+est.FirstEvent)
}

// mix returns the recent prompts of a service.
func (r *Runner) mix(service string) *overload.Mix { return getOrCreate(&r.mu, r.mixes, service) }

// reserve marks the engines that are reserved for shorter prompts than p.
func (x *execution) reserve(p prompt, cands []placement.Candidate, est speed.Estimates) {
	if !x.opts.ShedEarly || !est.Known() {
		return
	}
	x.trace.Reserved = reserveEngines(x.mix(x.call.Service.Name), time.Now(), x.trace.Sends == 0, p.Prompt, cands, est)
	if x.trace.Reserved > 0 {
		counts.Add("prompts_kept_from_reserved", 1)
	}
}

// reserveEngines marks the engines that are reserved for shorter prompts than p, and
// returns their number. A new prompt is recorded in the mix. The prefill time of p is
// that at the engine that has cached the most of it, since others can fetch it from
// there.
func reserveEngines(mix *overload.Mix, now time.Time, isNew bool, p placement.Prompt, cands []placement.Candidate, est speed.Estimates) int {
	cached := 0
	waits := make([]time.Duration, 0, len(cands))
	for i := range cands {
		cached = max(cached, cands[i].Load.Cached)
		waits = append(waits, cands[i].Load.Wait)
	}
	prefill := est.PrefillTime(p.Tokens, max(p.Tokens-cached, 1))
	if isNew {
		mix.Record(now, prefill, p.Objective)
	}
	share := mix.Reservation(prefill, waits)
	n := 0
	for i := range cands {
		if cands[i].Reserved = overload.Reserved(engines.Hash(cands[i].Entry.ID), share); cands[i].Reserved {
			n++
		}
	}
	return n
}
