package planner

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Rates are the service rates of an engine of mean speed, estimated from load
// reports. A decode step with n streams takes base + n·perStream seconds; a
// prompt token adds 1/Prefill seconds to the step that it is part of.
type Rates struct {
	Prefill    float64 // prompt tokens/s of an engine that only does prefill
	Base       float64 // seconds
	PerStream  float64 // seconds
	KVCapacity float64 // tokens per engine; 0: unknown
	limit      float64 // longest time between tokens that the objective allows, in seconds
	fit        fit
}

// fit holds the sums of a least-squares line through (streams, step seconds).
type fit struct{ w, n, t, nn, nt float64 }

// Assumed rates before any measurement, and the weights of new reports against them.
const (
	assumedPrefill   = 25_000
	assumedBase      = 0.018
	assumedPerStream = 0.00025
	priorWeight      = 10 // number of reports that the assumption counts as
	priorStreams     = 64
	reportDecay      = 0.998
	rateWeight       = 0.02
	minFitStreams    = 4
	defaultLimit     = 0.050
	maxStreams       = 256
	spillTokens      = 64 // prompt tokens that a decode engine adds to one step
)

func (f *fit) add(w, n, t float64) {
	f.w += w
	f.n += w * n
	f.t += w * t
	f.nn += w * n * n
	f.nt += w * n * t
}

func (f *fit) decay() {
	f.w *= reportDecay
	f.n *= reportDecay
	f.t *= reportDecay
	f.nn *= reportDecay
	f.nt *= reportDecay
}

// line returns the fitted line of the step time. The assumed rates count as two more
// points.
func (f fit) line() (base, slope float64) {
	f.add(priorWeight, 1, assumedBase+assumedPerStream)
	f.add(priorWeight, priorStreams, assumedBase+priorStreams*assumedPerStream)
	slope = (f.w*f.nt - f.n*f.t) / (f.w*f.nn - f.n*f.n)
	slope = max(slope, assumedPerStream/10)
	return max((f.t-slope*f.n)/f.w, 0), slope
}

// observe updates the rates from the load reports of engines that are live and not
// changing.
func (r Rates) observe(o *Observation, limit time.Duration) Rates {
	if r.Prefill == 0 {
		r.Prefill = assumedPrefill
	}
	r.limit = limit.Seconds()
	if r.limit <= 0 {
		r.limit = defaultLimit
	}
	for i := range o.Engines {
		e := &o.Engines[i]
		if !e.Live || e.Changing {
			continue
		}
		r.update(e)
	}
	r.Base, r.PerStream = r.fit.line()
	return r
}

func (r *Rates) update(e *Engine) {
	l := &e.Load
	if l.KVCapacity > 0 {
		r.KVCapacity = float64(l.KVCapacity)
	}
	if r.saturated(e) {
		r.Prefill += rateWeight * (l.PrefillRate - r.Prefill)
	}
	pure := e.Role == port.RoleDecode && l.QueuedPrefill == 0
	if pure && l.Running >= minFitStreams && l.DecodeRate > 0 {
		n := float64(l.Running)
		r.fit.decay()
		r.fit.add(1, n, n/l.DecodeRate)
	}
}

// saturated reports whether the engine's prefill rate is its capacity.
//
// An engine under light load takes small steps and reports a low rate. If that rate
// were taken for its capacity, the planner would add prefill engines, each would get
// still less load, and few engines would be left to decode.
func (r *Rates) saturated(e *Engine) bool {
	queued := float64(e.Load.QueuedPrefill) > saturatedQueueSeconds*r.Prefill
	return e.Role == port.RolePrefill && e.Load.PrefillRate > 0 && queued
}

// saturatedQueueSeconds is the least queued work of a saturated engine.
const saturatedQueueSeconds = 0.3

// usableStepShare returns the share of a decode step that is available to streams
// and prompts when the step takes as long as the objective allows.
func (r *Rates) usableStepShare() float64 { return max(1-r.Base/r.limit, 0.05) }

// streamsPerEngine returns how many streams one engine can run within the objective
// and its memory.
func (r *Rates) streamsPerEngine(m Mix) float64 {
	n := (r.limit - r.Base) / r.PerStream
	if r.KVCapacity > 0 && m.Requests > 0 {
		perStream := (m.Prefill + m.Decode) / m.Requests
		n = min(n, r.KVCapacity/max(perStream, 1))
	}
	return min(max(n, 1), maxStreams)
}

// decodeRate returns the output tokens/s of one engine that only decodes.
func (r *Rates) decodeRate(m Mix) float64 {
	n := r.streamsPerEngine(m)
	return n / (r.Base + n*r.PerStream)
}
