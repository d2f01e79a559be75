package speed

import (
	"maps"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

// Pace predicts the time between two events of a stream. An engine generates the
// events of all its streams in one batch, so the time grows with their number. The
// zero value predicts nothing.
type Pace struct {
	Base      time.Duration // time without streams
	PerStream time.Duration // additional time per stream
	Samples   int
}

const (
	// minPaceSamples is the least number of samples for a usable Pace.
	minPaceSamples = 40
	// paceDecay is the factor by which each sample reduces the weights of the earlier
	// ones.
	paceDecay = 1 - 1.0/3000
	// paceOutlierFactor bounds a sample to a multiple of the prediction, since a
	// preempted stream isn't representative of the others.
	paceOutlierFactor = 2.0
	// minSlownessWeight is the least weight of the newest sample in an engine's
	// slowness. About the last 50 samples count.
	minSlownessWeight = 0.02
	// minSlownessSamples is the least number of samples for a usable slowness.
	minSlownessSamples = 10
	// maxSlowness bounds one sample of the slowness.
	maxSlowness = 4.0
	// slownessTTL is how long the slowness of an engine without samples is kept.
	slownessTTL = time.Minute
)

// Known reports whether there are enough samples, and the time grows with the number
// of streams.
func (p Pace) Known() bool { return p.Samples >= minPaceSamples && p.PerStream > 0 }

// Gap returns the time between two events while an engine runs that many streams.
func (p Pace) Gap(streams int) time.Duration { return time.Duration(p.gapAt(float64(streams))) }

// gapAt returns the time between two events, in nanoseconds, for a mean number of
// streams.
func (p Pace) gapAt(streams float64) float64 { return float64(p.Base) + streams*float64(p.PerStream) }

// MaxStreams returns the largest number of streams for which the time between two
// events is at most gap. It is at least 1.
func (p Pace) MaxStreams(gap time.Duration) int { return max(int((gap-p.Base)/p.PerStream), 1) }

// paceFit is a least-squares line of gaps over the number of streams, with
// exponentially decaying weights, and the slowness of each engine.
type paceFit struct {
	w, x, y, xx, xy float64
	n               int
	pace            Pace
	engines         map[string]*slowness
}

// slowness is the mean ratio of an engine's gaps to those of the service's line.
type slowness struct {
	mean[float64]
	lastSample time.Time
}

// addEngineSample updates the slowness of one engine.
func (f *paceFit) addEngineSample(target string, streams float64, gap time.Duration) {
	predicted := f.pace.gapAt(streams)
	if !f.pace.Known() || predicted <= 0 {
		return
	}
	now := time.Now()
	e := f.engines[target]
	if e == nil {
		maps.DeleteFunc(f.engines, func(_ string, o *slowness) bool { return now.Sub(o.lastSample) > slownessTTL })
		e = &slowness{}
		f.engines[target] = e
	}
	e.lastSample = now
	e.add(min(float64(gap)/predicted, maxSlowness), minSlownessWeight)
}

// engine returns the pace of one engine.
func (f *paceFit) engine(target string) Pace {
	p := f.pace
	if e := f.engines[target]; e != nil && e.n >= minSlownessSamples {
		p.Base = time.Duration(e.value * float64(p.Base))
		p.PerStream = time.Duration(e.value * float64(p.PerStream))
	}
	return p
}

func (f *paceFit) add(streams float64, gap time.Duration) {
	y := float64(gap)
	if f.pace.Known() {
		y = min(y, paceOutlierFactor*f.pace.gapAt(streams))
	}
	f.w = paceDecay*f.w + 1
	f.x = paceDecay*f.x + streams
	f.y = paceDecay*f.y + y
	f.xx = paceDecay*f.xx + streams*streams
	f.xy = paceDecay*f.xy + streams*y
	f.n++
	f.pace = f.solve()
}

// solve returns the line. Nearly identical loads don't determine one; the result then
// isn't Known.
func (f *paceFit) solve() Pace {
	spread := f.w*f.xx - f.x*f.x
	if spread < ridge*f.w*f.xx {
		return Pace{Samples: f.n}
	}
	perStream := (f.w*f.xy - f.x*f.y) / spread
	base := (f.y - perStream*f.x) / f.w
	return Pace{Base: time.Duration(max(base, 0)), PerStream: time.Duration(max(perStream, 0)), Samples: f.n}
}

// ObserveGap adds a sample: the mean time between events of a stream, and the mean
// number of streams on its engine meanwhile.
func (t *Tracker) ObserveGap(name, target string, streams float64, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.get(engines.Hash(name)).pace
	f.addEngineSample(target, streams, gap)
	f.add(streams, gap)
}

// Pace returns the pace of an engine of a service.
func (t *Tracker) Pace(name, target string) Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(engines.Hash(name)).pace.engine(target)
}
