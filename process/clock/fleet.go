package clock

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleTTL is how long a sample of another VM's clock counts.
	sampleTTL = 5 * time.Second
	// sampleMin is how long a sample that arrived with less delay replaces those
	// after it: a delay makes a clock look late, never early.
	sampleMin = 2 * time.Second
	// estimateEvery is the time between two estimates.
	estimateEvery = 100 * time.Millisecond
	// stepMin is the difference from which on this VM's clock was stepped.
	stepMin = 50 * time.Millisecond
)

// Fleet estimates the time of day from the clocks of many VMs, whose samples
// other daemons send. It takes the median, so that clocks that are stepped by
// seconds move it only if they are half of all. It is safe for concurrent use.
type Fleet struct {
	steady Clock
	wall   func() time.Time
	start  time.Duration // offset of this VM's clock at the start

	mu       sync.Mutex
	samples  map[string]sample // by sender
	offset   time.Duration     // the estimate
	computed time.Duration     // when it was made
}

// sample is the difference between another VM's clock and this one's steady
// clock.
type sample struct {
	offset time.Duration
	at     time.Duration
}

// NewFleet returns a Fleet over a steady clock and this VM's time of day.
func NewFleet(steady Clock, wall func() time.Time) *Fleet {
	f := &Fleet{steady: steady, wall: wall, samples: make(map[string]sample), computed: -estimateEvery}
	f.start = f.own(steady.Now())
	return f
}

// own is the offset of this VM's clock.
func (f *Fleet) own(now time.Duration) time.Duration {
	return time.Duration(f.wall().UnixNano()) - now
}

// Wall returns this VM's own time of day, to be sent to others.
func (f *Fleet) Wall() time.Time { return f.wall() }

// Observe takes the time of day that a sender stated just now.
func (f *Fleet) Observe(sender string, wall time.Time) {
	now := f.steady.Now()
	s := sample{offset: time.Duration(wall.UnixNano()) - now, at: now}
	f.mu.Lock()
	defer f.mu.Unlock()
	old, known := f.samples[sender]
	if known && now-old.at < sampleMin && old.offset > s.offset {
		return
	}
	f.samples[sender] = s
}

// Now returns the estimated time of day.
func (f *Fleet) Now() time.Time {
	now := f.steady.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now-f.computed >= estimateEvery {
		f.offset, f.computed = f.estimate(now), now
	}
	return time.Unix(0, int64(now+f.offset))
}

// estimate is the median offset. Callers hold f.mu.
func (f *Fleet) estimate(now time.Duration) time.Duration {
	own := f.own(now)
	offsets := []time.Duration{own}
	if (own - f.start).Abs() > stepMin {
		// This VM's clock was stepped since the start: it counts as it was, too.
		offsets = append(offsets, f.start)
	}
	for sender, s := range f.samples {
		if now-s.at > sampleTTL {
			delete(f.samples, sender)
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
