// Package health tracks the health of targets by the outcomes of the requests
// sent to them. It sends no health checks: their results can be wrong in either
// direction, and each check takes capacity from requests.
package health

import (
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// minEjection and maxEjection bound the time for which a target gets no
	// requests after a failure to reach it. The time doubles with each
	// consecutive failure.
	minEjection = 600 * time.Millisecond
	maxEjection = 4 * time.Second
	// smoothing is the weight of the newest outcome in the failure rate. The
	// rate reflects about the last ten outcomes.
	smoothing = 0.1
	// halfLife is the time in which the failure rate of a target without
	// requests halves, so that the target is tried again.
	halfLife = 3 * time.Second
)

// Outcome is the outcome of a request at a target.
type Outcome int

// Outcomes of requests.
const (
	OK          Outcome = iota
	Failed              // the target answered with an error, an incomplete or an invalid answer
	Unreachable         // no connection, or no progress in time
	Refused             // the target answered that it didn't run the request, although it seemed to have capacity
)

// Tracker tracks the health of targets. It is safe for concurrent use.
type Tracker struct {
	now     func() time.Time
	ejected func(target string, until time.Time)

	mu      sync.Mutex
	targets map[string]*state
}

type state struct {
	rate          float64 // smoothed failure rate
	rateUpdated   time.Time
	failuresInRow int       // failures to reach it in a row
	ejectedUntil  time.Time // gets no requests before
	pace          float64   // time taken over time predicted, smoothed
	paceUpdated   time.Time
}

// New returns an empty Tracker. ejected is called with locks held when a target is
// ejected until a given time. It may be nil.
func New(now func() time.Time, ejected func(target string, until time.Time)) *Tracker {
	if ejected == nil {
		ejected = func(string, time.Time) {}
	}
	return &Tracker{now: now, ejected: ejected, targets: make(map[string]*state)}
}

// Observe records the outcome of a request.
func (t *Tracker) Observe(target string, o Outcome) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(target, now)
	s.decayRate(now)
	bad := 0.0
	if o != OK {
		bad = 1
	}
	s.rate += smoothing * (bad - s.rate)
	if o != Unreachable {
		s.failuresInRow = 0
		return
	}
	s.failuresInRow++
	wait := min(minEjection<<min(s.failuresInRow-1, 4), maxEjection)
	s.ejectedUntil = now.Add(wait)
	t.ejected(target, s.ejectedUntil)
	log.WithFields(log.Fields{"target": target, "in_a_row": s.failuresInRow, "for_ms": wait.Milliseconds()}).Info("health: target ejected")
}

// Forgive ends the ejections of the targets for which match returns true, and
// forgets that they couldn't be reached: the failures weren't theirs.
func (t *Tracker) Forgive(match func(target string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, s := range t.targets {
		if s.failuresInRow > 0 && match(target) {
			s.failuresInRow, s.ejectedUntil, s.rate = 0, time.Time{}, 0
			t.ejected(target, time.Time{})
		}
	}
}

// get returns the state of a target and creates it if needed. Callers hold t.mu.
func (t *Tracker) get(target string, now time.Time) *state {
	s := t.targets[target]
	if s == nil {
		s = &state{rateUpdated: now, paceUpdated: now, pace: 1}
		t.targets[target] = s
	}
	return s
}

const (
	// paceSmoothing is the weight of the newest ratio in a target's pace.
	paceSmoothing = 0.25
	// maxPace caps each ratio, so that a single slow request doesn't affect the
	// pace for long.
	maxPace = 10.0
)

// ObservePace records the ratio of a measured duration to the predicted one.
func (t *Tracker) ObservePace(target string, ratio float64) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(target, now)
	s.decayPace(now)
	s.pace += paceSmoothing * (min(ratio, maxPace) - s.pace)
	s.paceUpdated = now
}

// Pace returns the smoothed ratio of measured to predicted durations of a target.
func (t *Tracker) Pace(target string) float64 {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[target]
	if s == nil {
		return 1
	}
	s.decayPace(now)
	return s.pace
}

// decayPace moves the pace halfway to 1 for each halfLife without a new ratio, so
// that a target without requests is tried again.
func (s *state) decayPace(now time.Time) {
	for now.Sub(s.paceUpdated) > halfLife {
		s.pace = 1 + (s.pace-1)/2
		s.paceUpdated = s.paceUpdated.Add(halfLife)
		if s.pace < 1.05 && s.pace > 0.95 {
			s.paceUpdated = now
		}
	}
}

// Impaired reports whether a target performs so poorly that others have to
// replace it.
func (t *Tracker) Impaired(target string) bool {
	return t.Ejected(target) || t.FailureRate(target) > impairedRate || t.Pace(target) > impairedPace
}

// A target whose failure rate or pace exceeds these values is impaired.
const (
	impairedRate = 0.5
	impairedPace = 5.0
)

func (s *state) decayRate(now time.Time) {
	for now.Sub(s.rateUpdated) > halfLife {
		s.rate /= 2
		s.rateUpdated = s.rateUpdated.Add(halfLife)
		if s.rate < smoothing/2 {
			s.rateUpdated = now
		}
	}
}

// Ejected reports whether the target is ejected: it gets no requests while other
// targets can serve them.
func (t *Tracker) Ejected(target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[target]
	return s != nil && t.now().Before(s.ejectedUntil)
}

// FailureRate returns the target's smoothed failure rate.
func (t *Tracker) FailureRate(target string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[target]
	if s == nil {
		return 0
	}
	s.decayRate(t.now())
	return s.rate
}

// Retain deletes the state of the targets for which keep returns false.
func (t *Tracker) Retain(keep func(target string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target := range t.targets {
		if !keep(target) {
			delete(t.targets, target)
		}
	}
}
