package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleTTL is how long a sample of another VM's clock is valid.
	sampleTTL = 5 * time.Second
	// sampleHold is how long a sample takes precedence over later ones from the
	// same sender with a lower offset. Delay in transit makes a clock appear
	// late, never early, so the sample with the higher offset is more accurate.
	sampleHold = 2 * time.Second
	// estimateInterval is the minimum time between two estimates.
	estimateInterval = 100 * time.Millisecond
	// minStep is the change of offset above which this VM's clock is
	// considered stepped.
	minStep = 50 * time.Millisecond
)

// Estimator estimates the time of day from the clocks of many VMs, using samples
// that other daemons send. The estimate is the median, so that stepped clocks
// affect it only if they are at least half of all clocks. An Estimator is safe
// for concurrent use.
type Estimator struct {
	monotonic   Clock
	wall        func() time.Time
	startOffset time.Duration // offset of this VM's clock when the Estimator was created

	mu          sync.Mutex
	samples     map[string]sample // by sender
	offset      time.Duration     // last estimate
	estimatedAt time.Duration     // time of the last estimate
}

// sample is the offset of another VM's time of day from this VM's monotonic
// clock.
type sample struct {
	offset time.Duration
	at     time.Duration
}

// NewEstimator returns an Estimator that uses a monotonic clock and this VM's time of
// day.
func NewEstimator(monotonic Clock, wall func() time.Time) *Estimator {
	e := &Estimator{monotonic: monotonic, wall: wall, samples: make(map[string]sample), estimatedAt: -estimateInterval}
	e.startOffset = e.ownOffset(monotonic.Now())
	return e
}

// ownOffset returns the offset of this VM's clock at now.
func (e *Estimator) ownOffset(now time.Duration) time.Duration {
	return time.Duration(e.wall().UnixNano()) - now
}

// Wall returns this VM's own time of day, which is sent to other daemons.
func (e *Estimator) Wall() time.Time { return e.wall() }

// Observe records the time of day in a message that was just received from
// sender.
func (e *Estimator) Observe(sender string, wall time.Time) {
	now := e.monotonic.Now()
	s := sample{offset: time.Duration(wall.UnixNano()) - now, at: now}
	e.mu.Lock()
	defer e.mu.Unlock()
	old, known := e.samples[sender]
	if known && now-old.at < sampleHold && old.offset > s.offset {
		return
	}
	e.samples[sender] = s
}

// Now returns the estimated time of day.
func (e *Estimator) Now() time.Time {
	now := e.monotonic.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.estimatedAt >= estimateInterval {
		e.offset, e.estimatedAt = e.estimate(now), now
	}
	return time.Unix(0, int64(now+e.offset))
}

// estimate returns the median offset at now. The caller holds e.mu.
func (e *Estimator) estimate(now time.Duration) time.Duration {
	own := e.ownOffset(now)
	offsets := []time.Duration{own}
	if (own - e.startOffset).Abs() > minStep {
		// This VM's clock was stepped since the start, so its offset at the
		// start is included, too.
		offsets = append(offsets, e.startOffset)
	}
	for sender, s := range e.samples {
		if now-s.at > sampleTTL {
			delete(e.samples, sender)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	middle := len(offsets) / 2
	if len(offsets)%2 == 1 {
		return offsets[middle]
	}
	return (offsets[middle-1] + offsets[middle]) / 2
}
