package routing

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// estimate holds the expected times, in seconds, of serving a request on a
// target.
type estimate struct {
	cached       int     // prompt tokens whose KV cache is reused
	kvFrom       string  // engine that their KV cache is copied from, or empty
	wait         float64 // time until the prefill starts
	work         float64 // duration of the prefill
	step         float64 // time between tokens on the engine that decodes
	first        float64
	finish       float64
	interference float64 // delay to the other requests of the engine
	spilled      bool
	decode       string // engine that decodes, if another one, or empty
}

// environment holds the inputs that all candidates of one decision share.
type environment struct {
	opts       *Options
	req        *Request
	plain      bool
	peerTokens float64 // prompt tokens that other processes sent to a target since its report
	reportAge  float64 // mean age of the reports, seconds
	decoder    *Target // engine to decode on after a prefill engine
	hasDecoder bool    // some candidate can decode, whether or not it meets the objective
	source     kvSource
}

// Bounds on the ratio of a measured decode step to the assumed one.
const (
	minStepScale = 0.25
	maxStepScale = 4
)

func (p *Policy) environment(s *scratch, r *Request, targets []Target) *environment {
	cands := s.cands
	env := &environment{opts: &p.opts, req: r, plain: r.Model == ""}
	if len(cands) == 0 || env.plain {
		env.reportAge = meanAge(cands)
		return env
	}
	env.reportAge = meanAge(cands)
	env.peerTokens = meanSentTokens(cands) * float64(p.routerCount.Load()-1)
	env.decoder = p.pickDecoder(s, env)
	env.source = env.bestSource(targets)
	return env
}

// meanSentTokens returns the mean number of prompt tokens that this process sent
// to an engine since its report. It serves as the estimate for every other
// process.
func meanSentTokens(cands []candidate) float64 {
	sent, n := 0, 0
	for i := range cands {
		if role(cands[i].target) != port.RoleDecode {
			sent += cands[i].target.SentPrefill
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
		sum += min(cands[i].target.LoadAge, maxReportAge)
	}
	return sum.Seconds() / float64(len(cands))
}

// estimate returns the expected times of the request on t.
func (e *environment) estimate(t *Target) estimate {
	if e.plain {
		return e.plainEstimate(t)
	}
	var est estimate
	rate := e.prefillRate(t)
	est.cached, est.kvFrom = e.reusablePrefix(t, rate)
	est.wait = e.prefillQueue(t, rate) / rate
	est.work = float64(e.req.PromptTokens-est.cached) / rate
	if est.kvFrom != "" {
		est.work += e.transferTime(est.cached)
	}
	if e.req.Zone != t.Zone {
		est.wait += e.opts.ZoneDelay.Seconds()
	}
	est.first = est.wait + est.work
	e.addDecode(&est, t)
	return est
}

// addDecode adds the times of the decode phase, on t itself or on another engine
// after a KV cache transfer.
func (e *environment) addDecode(est *estimate, t *Target) {
	at := t
	moved := 0.0
	if role(t) == port.RolePrefill && e.decoder != nil && e.decoder != t {
		at = e.decoder
		est.decode = at.Name
		moved = e.transferTime(e.req.PromptTokens)
	}
	est.step = e.stepTime(at, requestsAt(at)+1)
	est.finish = est.first + moved + est.step*float64(e.req.OutputTokens) + e.memoryWait(at)
	// The prefill itself yields the first output token.
	est.spilled = role(t) == port.RoleDecode || (role(t) == port.RolePrefill && at == t)
	est.interference = e.interference(est, t)
}

func (e *environment) plainEstimate(t *Target) estimate {
	n := float64(requestsAt(t) + 1)
	est := estimate{finish: n * e.opts.PlainServiceTime.Seconds()}
	if e.req.Zone != t.Zone {
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

// prefillQueue estimates the number of prompt tokens queued before the request.
// It adds to the reported queue the tokens that this process sent since the
// report and the estimate for other processes, and subtracts the tokens that the
// engine has processed since. Without this correction an engine would look as
// busy or idle as it was at the time of the report.
func (e *environment) prefillQueue(t *Target, rate float64) float64 {
	age := min(t.LoadAge, maxReportAge).Seconds()
	q := float64(t.Load.QueuedPrefill+t.SentPrefill) - rate*age
	if role(t) != port.RoleDecode {
		q += e.peerTokens
	}
	return max(q, 0)
}

// stepTime returns the time between tokens with n streams on t, scaled by the
// decode rate that the engine reported.
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

// memoryWait returns the time until t has enough free KV memory to decode.
func (e *environment) memoryWait(t *Target) float64 {
	if t.Load.KVCapacity <= 0 {
		return 0
	}
	need := t.Load.KVUsed + t.SentPrefill + t.SentDecode + e.req.PromptTokens + e.req.OutputTokens
	missing := float64(need - t.Load.KVCapacity)
	if missing <= 0 {
		return 0
	}
	n := max(t.Load.Running, 1)
	freed := float64(n) / e.stepTime(t, n) * kvFreedPerStep
	return missing / freed
}

// kvFreedPerStep is the mean number of KV tokens freed for each decode step of a
// stream. It is greater than 1 because a stream that ends frees its prompt as
// well as its output.
const kvFreedPerStep = 4

// decodeCost returns the decode time on t plus the delay that the stream causes
// to the other streams there.
func (e *environment) decodeCost(t *Target) float64 {
	n := requestsAt(t)
	out := float64(max(e.req.OutputTokens, 1))
	cost := out*e.stepTime(t, n+1) + e.memoryWait(t)
	cost += float64(n) * e.opts.StepPerStream.Seconds() * out
	if role(t) == port.RoleMixed {
		cost *= mixedDecodeFactor
	}
	return cost
}

// mixedDecodeFactor raises the cost of decoding on a mixed engine, where each
// prompt interrupts the streams.
const mixedDecodeFactor = 1.2
