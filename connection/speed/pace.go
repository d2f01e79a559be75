package speed

import (
	"maps"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

// Pace predicts the time between two events of a stream: an engine makes the
// events of all its streams together, the more the slower. The zero value
// predicts nothing.
type Pace struct {
	Base      time.Duration // of an engine without streams
	PerStream time.Duration // for each stream
	Samples   int
}

const (
	// minPaceSamples is the number of samples from which on a pace is used.
	minPaceSamples = 40
	// paceDecay is what is left of a sample's weight after the next one.
	paceDecay = 1 - 1.0/3000
	// paceOutlierFactor bounds a sample, in times of what was predicted: a stream that was
	// preempted says nothing of the others.
	paceOutlierFactor = 2.0
	// minSlownessWeight is the least weight of the newest sample in an engine's own
	// slowness: the last 50.
	minSlownessWeight = 0.02
	// minSlownessSamples is the number of samples from which on it counts.
	minSlownessSamples = 10
	// maxSlowness bounds it.
	maxSlowness = 4.0
	// slownessTTL is how long an engine that gives no samples is remembered.
	slownessTTL = time.Minute
)

// Known reports whether enough was seen, and more streams were slower.
func (p Pace) Known() bool { return p.Samples >= minPaceSamples && p.PerStream > 0 }

// Gap is the time between two events while an engine runs that many streams.
func (p Pace) Gap(streams int) time.Duration { return time.Duration(p.gapAt(float64(streams))) }

// gapAt is the same for a mean number of streams, in nanoseconds.
func (p Pace) gapAt(streams float64) float64 { return float64(p.Base) + streams*float64(p.PerStream) }

// MaxStreams is the largest number of streams whose events come at most that far
// apart, one at least.
func (p Pace) MaxStreams(gap time.Duration) int { return max(int((gap-p.Base)/p.PerStream), 1) }

// paceFit is a least squares line of gaps over streams, with weights that fade,
// and by how much each engine is slower.
type paceFit struct {
	w, x, y, xx, xy float64
	n               int
	pace            Pace
	engines         map[string]*slowness
}

// slowness is how many times slower than the service's line an engine is.
type slowness struct {
	mean[float64]
	lastSample time.Time
}

// addEngineSample takes in a sample of one engine.
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

// solve returns the line. Loads that are all alike give none.
func (f *paceFit) solve() Pace {
	spread := f.w*f.xx - f.x*f.x
	if spread < ridge*f.w*f.xx {
		return Pace{Samples: f.n}
	}
	each := (f.w*f.xy - f.x*f.y) / spread
	alone := (f.y - each*f.x) / f.w
	return Pace{Base: time.Duration(max(alone, 0)), PerStream: time.Duration(max(each, 0)), Samples: f.n}
}

// ObserveGap notes the mean time between events of a stream while its engine ran that
// many streams.
func (b *Tracker) ObserveGap(name, target string, streams float64, gap time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := &b.get(engines.Hash(name)).pace
	f.addEngineSample(target, streams, gap)
	f.add(streams, gap)
}

// Pace returns how fast an engine of a service makes events.
func (b *Tracker) Pace(name, target string) Pace {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(engines.Hash(name)).pace.engine(target)
}
