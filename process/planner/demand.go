package planner

import (
	"math"
	"time"
)

// Demand estimates what callers ask for, over a fast and a slow horizon, and
// learns from past shifts of the mix how long a new one is to be trusted.
type Demand struct {
	Fast, Slow   Mix
	Shift        Shift
	Lifetime     time.Duration // how long a shift lasts, by experience
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
	Sign   int // of the change of the prefill share; 0 for none
	Since  time.Duration
	Origin float64 // prefill share that it departed from
	Peak   float64 // farthest from there so far
}

// The horizons and the bounds on trust.
const (
	fastHorizon     = 12 * time.Second
	slowHorizon     = 120 * time.Second
	initialLifetime = 120 * time.Second // until a shift has been seen to end
	minLifetime     = 10 * time.Second
	maxLifetime     = 10 * time.Minute
	lifetimeWeight  = 0.35             // of the newest shift
	shiftThreshold  = 0.08             // departure in prefill share
	maxObservedStep = 10 * time.Second // a longer gap tells nothing of the present
)

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

// weight of a new value that covers step. At first it is the plain mean's.
func weight(step, horizon, seen time.Duration) float64 {
	w := 1 - math.Exp(-step.Seconds()/horizon.Seconds())
	return max(w, step.Seconds()/(seen+step).Seconds())
}

func (m Mix) blend(n Mix, w float64) Mix {
	return Mix{
		Requests: m.Requests + w*(n.Requests-m.Requests),
		Prefill:  m.Prefill + w*(n.Prefill-m.Prefill),
		Decode:   m.Decode + w*(n.Decode-m.Decode),
	}
}

// prefillShare is the part of the work that is prefill.
func (m Mix) prefillShare(r *Rates) float64 {
	p := m.Prefill / r.Prefill
	d := m.Decode / r.decodeRate(m)
	if p+d <= 0 {
		return 0
	}
	return p / (p + d)
}

// trackShift notes when shifts of the mix begin and end. A shift lasts until
// the mix is half-way back to where it came from. (Its lasting until the slow
// estimate caught up was tried: swings then seem to last for minutes.)
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
	back := (fast - (d.Shift.Origin+d.Shift.Peak)/2) * side
	if back > 0 && lasted < maxLifetime {
		return d
	}
	life := float64(d.Lifetime) + lifetimeWeight*float64(lasted-d.Lifetime)
	d.Lifetime = min(max(time.Duration(life), minLifetime), maxLifetime)
	d.Shift = Shift{}
	return d
}

// trustHorizon is how long the fast estimate is expected to hold from now on.
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
