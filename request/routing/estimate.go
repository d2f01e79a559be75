package routing

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// estimate is what serving a request on a target would take, in seconds.
type estimate struct {
	cached int     // prompt tokens that needn't be computed
	kvFrom string  // engine that they are moved from, or empty
	wait   float64 // until the prefill starts
	work   float64 // prefill
	step   float64 // between tokens, on the engine that decodes
	first  float64
	finish float64
	harm   float64 // delay to the other requests of the engine
	spill  bool
	decode string // engine that decodes, or empty for the same
}

// environment is what is the same for all candidates of one decision.
type environment struct {
	opts    *Options
	r       *Request
	plain   bool
	others  float64 // prompt tokens that other processes sent to a target since its report
	age     float64 // mean age of the reports, seconds
	decoder *Target // engine to decode on after a prefill engine
	decodes bool    // an engine that decodes is there, with room or without
	source  kvSource
}

// Bounds on how far a measured decode step may be from the assumed one.
const (
	minStepScale = 0.25
	maxStepScale = 4
)

func (p *Policy) environment(s *scratch, r *Request, targets []Target) *environment {
	cands := s.cands
	env := &environment{opts: &p.opts, r: r, plain: r.Model == ""}
	if len(cands) == 0 || env.plain {
		env.age = meanAge(cands)
		return env
	}
	env.age = meanAge(cands)
	env.others = meanSent(cands) * float64(p.deciders.Load()-1)
	env.decoder = p.pickDecoder(s, env)
	env.source = env.bestSource(targets)
	return env
}

// meanSent is the prompt tokens that this process sent to an engine on
// average since the reports. It stands for what each other process sent.
func meanSent(cands []candidate) float64 {
	sent, n := 0, 0
	for i := range cands {
		if role(cands[i].t) != port.RoleDecode {
			sent += cands[i].t.SentPrefill
			n++
		}
	}
	return float64(sent) / float64(max(n, 1))
}

func meanAge(cands []candidate) float64 {
	if len(cands) == 0 {
		return 0
	}
	var sum time.Duration
	for i := range cands {
		sum += min(cands[i].t.LoadAge, maxReportAge)
	}
	return sum.Seconds() / float64(len(cands))
}

// estimate works out the times of the request on t.
func (e *environment) estimate(t *Target) estimate {
	if e.plain {
		return e.plainEstimate(t)
	}
	var est estimate
	rate := e.prefillRate(t)
	est.cached, est.kvFrom = e.prefix(t, rate)
	est.wait = e.prefillQueue(t, rate) / rate
	est.work = float64(e.r.PromptTokens-est.cached) / rate
	if est.kvFrom != "" {
		est.work += e.moveTime(est.cached)
	}
	if e.r.Zone != t.Zone {
		est.wait += e.opts.ZoneDelay.Seconds()
	}
	est.first = est.wait + est.work
	e.addDecode(&est, t)
	return est
}

// addDecode adds the decode phase, on t itself or after a move to another engine.
func (e *environment) addDecode(est *estimate, t *Target) {
	at := t
	moved := 0.0
	if role(t) == port.RolePrefill && e.decoder != nil && e.decoder != t {
		at = e.decoder
		est.decode = at.Name
		moved = e.moveTime(e.r.PromptTokens)
	}
	est.step = e.stepTime(at, requestsAt(at)+1)
	est.finish = est.first + moved + est.step*float64(e.r.OutputTokens) + e.memoryWait(at)
	// The answer's first token comes from the prefill itself.
	est.spill = role(t) == port.RoleDecode || (role(t) == port.RolePrefill && at == t)
	est.harm = e.harm(est, t)
}

func (e *environment) plainEstimate(t *Target) estimate {
	n := float64(requestsAt(t) + 1)
	est := estimate{finish: n * e.opts.PlainTime.Seconds()}
	if e.r.Zone != t.Zone {
		est.finish += e.opts.ZoneDelay.Seconds()
	}
	est.first = est.finish
	return est
}

func (e *environment) prefillRate(t *Target) float64 {
	if t.Load.PrefillRate > 0 {
		return t.Load.PrefillRate
	}
	return e.opts.PrefillRate
}

// prefillQueue is the prompt tokens ahead of the request: those reported, those this process
// sent since, and what others are likely to have sent, less what the engine
// has worked off. Without the correction a lagging report makes an idle engine look busy
// for as long as the lag, and a busy one idle.
func (e *environment) prefillQueue(t *Target, rate float64) float64 {
	age := min(t.LoadAge, maxReportAge).Seconds()
	q := float64(t.Load.QueuedPrefill+t.SentPrefill) - rate*age
	if role(t) != port.RoleDecode {
		q += e.others
	}
	return max(q, 0)
}

// stepTime is the time between tokens with n streams on t, scaled by the
// engine's own measure of its decode rate.
func (e *environment) stepTime(t *Target, n int) float64 {
	return e.assumedStep(n) * e.stepScale(t)
}

func (e *environment) assumedStep(n int) float64 {
	return e.opts.StepBase.Seconds() + float64(max(n-1, 0))*e.opts.StepPerStream.Seconds()
}

func (e *environment) stepScale(t *Target) float64 {
	if t.Load.DecodeRate <= 0 || t.Load.Running <= 0 {
		return 1
	}
	measured := float64(t.Load.Running) / t.Load.DecodeRate
	return min(max(measured/e.assumedStep(t.Load.Running), minStepScale), maxStepScale)
}

// memoryWait is how long decoding waits until enough KV memory is free.
func (e *environment) memoryWait(t *Target) float64 {
	if t.Load.KVCapacity <= 0 {
		return 0
	}
	need := t.Load.KVUsed + t.SentPrefill + t.SentDecode + e.r.PromptTokens + e.r.OutputTokens
	missing := float64(need - t.Load.KVCapacity)
	if missing <= 0 {
		return 0
	}
	n := max(t.Load.Running, 1)
	freed := float64(n) / e.stepTime(t, n) * memoryPerToken
	return missing / freed
}

// memoryPerToken is the KV tokens that a decode step of one stream frees in
// the long run: a stream gives back its prompt as well as its output.
const memoryPerToken = 4

// decodeCost is the decode time on t and the delay it means for the others there.
func (e *environment) decodeCost(t *Target) float64 {
	n := requestsAt(t)
	out := float64(max(e.r.OutputTokens, 1))
	cost := out*e.stepTime(t, n+1) + e.memoryWait(t)
	cost += float64(n) * e.opts.StepPerStream.Seconds() * out
	if role(t) == port.RoleMixed {
		cost *= mixedDecodeCost
	}
	return cost
}

// mixedDecodeCost prefers engines that do nothing but decode: on a mixed one
// each prompt interrupts the streams.
const mixedDecodeCost = 1.2
