package dispatch

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/request/overload"
	"github.com/pomelospool/pomelospool/request/placement"
)

// Shares tracks organisations' usage of targets, and decides which calls are
// rejected in contention. See connection/shares.
type Shares interface {
	// Rejects reports whether a call is rejected. fullness is the fraction that is
	// in use of the time that the call may wait, or of the slots of its targets.
	Rejects(service, org string, fullness float64) bool
	// Record adds a call that takes cost of a target's time if it is admitted.
	Record(service, org string, cost time.Duration, admitted bool)
}

// enforceShare rejects a call of an organisation over its share because of the
// wait at the engines. err is the result of the other checks of admission.
func (x *execution) enforceShare(p prompt, est speed.Estimates, ch prefillChoice, err error) error {
	if x.opts.Shares == nil || x.call.Organisation == "" {
		return err
	}
	if err == nil && x.mayReject() {
		err = x.checkShare(x.waitFullness(p, est, ch), ch.decoders)
	}
	x.opts.Shares.Record(x.call.Service.Name, x.call.Organisation, x.engineTime(p, est, ch), err == nil)
	return err
}

// mayReject reports whether the call may be rejected for its organisation's share:
// it is new, and nothing of it has been sent to a target. Another daemon may have
// sent a forwarded call.
func (x *execution) mayReject() bool {
	return !x.call.TakesUp() && !x.call.Forwarded && x.trace.Sends == 0 && x.lastFailure == nil
}

// checkShare returns a *code.Error with code.OrgOverShare, or nil.
func (x *execution) checkShare(fullness float64, decoders []placement.Candidate) error {
	if !x.opts.Shares.Rejects(x.call.Service.Name, x.call.Organisation, fullness) {
		return nil
	}
	return code.New(code.OrgOverShare, "organisation %.80q, %.0f%% of the room is taken", x.call.Organisation, fullness*100).
		WithRetryAfter(x.capRetryDelay(x.jitteredDelay(), decoders))
}

// waitFullness returns the predicted wait as a fraction of the longest with which
// checkObjective admits the call. It returns 0 if nothing is predicted or the
// route has no objective, since checkObjective then admits any wait.
func (x *execution) waitFullness(p prompt, est speed.Estimates, ch prefillChoice) float64 {
	objective := x.call.Route.Objective
	unqueued := est.PromptOverhead + ch.PrefillTime + est.FirstEvent
	wait := x.trace.PredictedFirst - unqueued
	if objective <= 0 || wait <= 0 {
		return 0
	}
	if unqueued >= objective {
		return float64(wait) / (overload.MaxLateWait * float64(objective))
	}
	wait = x.promptStats(x.call.Service.Name).EffectiveWait(wait, p.Tokens, ch.PrefillTime, est.QueuedError)
	return float64(wait) / float64(objective-unqueued)
}

// engineTime returns the engine time that the call needs: its prefill, and for its
// stream one slot's share of an engine.
func (x *execution) engineTime(p prompt, est speed.Estimates, ch prefillChoice) time.Duration {
	prefill := ch.PrefillTime
	if ch.Index < 0 {
		prefill = est.PrefillTime(p.Tokens, p.Tokens)
	}
	stream := est.StreamDuration(x.call.Meta.MaxOutputTokens)
	return prefill + stream/time.Duration(max(x.call.Service.Engine.Slots, 1))
}

// enforcePlainShare rejects a call of an organisation over its share because of
// the slots in use at the plain targets that the call considers, of which there is
// one at least. Only the first send of a call is checked and recorded.
func (x *execution) enforcePlainShare() error {
	if x.opts.Shares == nil || x.call.Organisation == "" || x.trace.Sends > 0 || x.lastFailure != nil {
		return nil
	}
	var err error
	if x.mayReject() {
		err = x.checkShare(x.slotFullness(), nil)
	}
	x.opts.Shares.Record(x.call.Service.Name, x.call.Organisation, x.plainTimes.expected(x.call.Route.Name), err == nil)
	return err
}

// slotFullness returns the fraction of the considered plain targets' slots that
// is in use.
func (x *execution) slotFullness() float64 {
	streams, slots := 0, 0
	for _, e := range x.preferSettled(x.usable(x.sampleTargets("", nil, x.opts.Zone), nil)) {
		streams += e.load.Streams
		slots += e.Slots
	}
	return float64(streams) / float64(max(slots, 1))
}

const (
	// defaultPlainTime is the assumed time of a plain call while none has been
	// answered. Only ratios of such times matter.
	defaultPlainTime = 50 * time.Millisecond
	// plainTimeWeight is the weight of the newest answer in the mean, which covers
	// some 50 calls.
	plainTimeWeight = 0.02
)

// observePlainTime records the time from the send of a plain call to its complete
// answer.
func (x *execution) observePlainTime(took time.Duration) {
	x.plainTimes.observe(x.call.Route.Name, took)
	x.plainServiceTimes.observe(x.call.Service.Name, took)
}

// plainTimes holds the mean time of plain calls by name. The zero value is
// empty. It is safe for concurrent use.
type plainTimes struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// observe adds the time from the send of a call to its complete answer or stream.
func (t *plainTimes) observe(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, known := t.means[name]
	switch {
	case t.means == nil:
		t.means = map[string]time.Duration{name: took}
	case !known:
		t.means[name] = took
	default:
		t.means[name] = mean + time.Duration(plainTimeWeight*float64(took-mean))
	}
}

// expected returns the expected time of a call.
func (t *plainTimes) expected(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mean := t.means[name]; mean > 0 {
		return mean
	}
	return defaultPlainTime
}
