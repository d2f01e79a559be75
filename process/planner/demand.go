package planner

import (
	"math"
	"time"
)

// Demand estimates the callers' demand over a fast and a slow horizon. From past
// shifts of the mix it estimates how long a new shift will last.
type Demand struct {
	Fast, Slow   Mix
	Shift        Shift
	Lifetime     time.Duration // estimated duration of a shift
	requests     float64
	prefill      float64
	decode       float64
	observedTime time.Duration // time covered by observations
}

// Mix is demand per second.
type Mix struct {
	Requests float64
	Prefill  float64 // prompt tokens/s
	Decode   float64 // output tokens/s
}

// Shift is a departure of the fast estimate from the slow one.
type Shift struct {
	Sign   int // sign of the change of the prefill share; 0: no shift
	Since  time.Duration
	Origin float64 // prefill share before the shift
	Peak   float64 // prefill share farthest from Origin so far
}

// Horizons of the estimates and bounds on the duration of a shift.
const (
	fastHorizon     = 12 * time.Second
	slowHorizon     = 120 * time.Second
	initialLifetime = 120 * time.Second // until the end of a shift has been observed
	minLifetime     = 10 * time.Second
	maxLifetime     = 10 * time.Minute
	lifetimeWeight  = 0.35             // weight of the newest shift
	shiftThreshold  = 0.08             // change of the prefill share at which a shift begins
	maxObservedStep = 10 * time.Second // counts over a longer gap don't show the present demand
)

// observe updates the estimates with the counts since the last observation.
func (d Demand) observe(now, step time.Duration, o *Observation, r *Rates) Demand {
	req, pre, dec := o.Requests-d.requests, o.Prefill-d.prefill, o.Decode-d.decode
	first := d.requests == 0 && d.observedTime == 0
	d.requests, d.prefill, d.decode = o.Requests, o.Prefill, o.Decode
	if first || step <= 0 || step > maxObservedStep || req < 0 || pre < 0 || dec < 0 {
		return d
	}
	perSecond := float64(max(o.Processes, 1)) / step.Seconds()
	m := Mix{req, pre, dec}.scaled(perSecond)
	d.Fast = d.Fast.blend(m, weight(step, fastHorizon, d.observedTime))
	d.Slow = d.Slow.blend(m, weight(step, slowHorizon, d.observedTime))
	d.observedTime += step
	if d.Lifetime == 0 {
		d.Lifetime = initialLifetime
	}
	return d.trackShift(now, r)
}

// weight returns the weight of a new value that covers step. Until the horizon is
// covered it is the weight in a plain mean.
func weight(step, horizon, observed time.Duration) float64 {
	w := 1 - math.Exp(-step.Seconds()/horizon.Seconds())
	return max(w, step.Seconds()/(observed+step).Seconds())
}

// blend moves m towards n by the weight w.
func (m Mix) blend(n Mix, w float64) Mix {
	return Mix{
		Requests: m.Requests + w*(n.Requests-m.Requests),
		Prefill:  m.Prefill + w*(n.Prefill-m.Prefill),
		Decode:   m.Decode + w*(n.Decode-m.Decode),
	}
}

// prefillShare returns the share of prefill in the engines' work.
func (m Mix) prefillShare(r *Rates) float64 {
	p := m.Prefill / r.Prefill
	d := m.Decode / r.decodeRate(m)
	if p+d <= 0 {
		return 0
	}
	return p / (p + d)
}

// trackShift detects when shifts of the mix begin and end. A shift ends when the
// mix is half-way back to its origin. If it ended when the slow estimate catches
// up, short swings would appear to last for minutes.
func (d Demand) trackShift(now time.Duration, r *Rates) Demand {
	fast, slow := d.Fast.prefillShare(r), d.Slow.prefillShare(r)
	if d.Shift.Sign == 0 {
		if diff := fast - slow; math.Abs(diff) > shiftThreshold {
			d.Shift = Shift{Sign: sign(diff), Since: now, Origin: slow, Peak: fast}
		}
		return d
	}
	side := float64(d.Shift.Sign)
	if (fast-d.Shift.Peak)*side > 0 {
		d.Shift.Peak = fast
	}
	lasted := now - d.Shift.Since
	beyondHalf := (fast - (d.Shift.Origin+d.Shift.Peak)/2) * side
	if beyondHalf > 0 && lasted < maxLifetime {
		return d
	}
	lifetime := float64(d.Lifetime) + lifetimeWeight*float64(lasted-d.Lifetime)
	d.Lifetime = min(max(time.Duration(lifetime), minLifetime), maxLifetime)
	d.Shift = Shift{}
	return d
}

// trustHorizon returns how long the fast estimate is expected to stay valid.
func (d Demand) trustHorizon(now time.Duration) time.Duration {
	if d.Shift.Sign == 0 {
		return d.Lifetime
	}
	return max(d.Lifetime-(now-d.Shift.Since), d.Lifetime/4)
}

func sign(f float64) int {
	if f < 0 {
		return -1
	}
	return 1
}
