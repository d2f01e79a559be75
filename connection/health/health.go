// Package health judges targets by what became of the requests sent to them.
// It asks nothing of the targets: their own word may be wrong either way, and
// each question takes a place from a request.
package health

import (
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// firstEjection and maxEjection are how long a target gets no requests after a
	// failure to reach it; the time doubles with each failure in a row.
	firstEjection = 600 * time.Millisecond
	maxEjection   = 4 * time.Second
	// smoothing is the weight of the newest outcome in the failure rate: about
	// the last ten count.
	smoothing = 0.1
	// forgive halves the failure rate of a target that gets no requests, so
	// that it is tried again.
	forgive = 3 * time.Second
)

// Outcome is what became of a request at a target.
type Outcome int

// The outcomes.
const (
	OK          Outcome = iota
	Failed              // it answered that it failed, or broke off, or answered nonsense
	Unreachable         // no connection, or no sign of life in time
	Refused             // it said that it ran nothing, though it looked free
)

// Book is safe for concurrent use.
type Book struct {
	now     func() time.Time
	ejected func(target string, until time.Time)

	mu      sync.Mutex
	targets map[string]*state
}

type state struct {
	rate    float64 // of failures, smoothed
	at      time.Time
	row     int       // failures to reach it in a row
	ejected time.Time // gets no requests before
	pace    float64   // time taken over time predicted, smoothed
	paced   time.Time
}

// New returns an empty Book. ejected is called, with locks held, when a target
// gets no requests for a while; it may be nil.
func New(now func() time.Time, ejected func(target string, until time.Time)) *Book {
	if ejected == nil {
		ejected = func(string, time.Time) {}
	}
	return &Book{now: now, ejected: ejected, targets: make(map[string]*state)}
}

// Note takes an outcome.
func (b *Book) Note(target string, o Outcome) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(target, now)
	s.decay(now)
	bad := 0.0
	if o != OK {
		bad = 1
	}
	s.rate += smoothing * (bad - s.rate)
	if o != Unreachable {
		s.row = 0
		return
	}
	s.row++
	wait := min(firstEjection<<min(s.row-1, 4), maxEjection)
	s.ejected = now.Add(wait)
	b.ejected(target, s.ejected)
	log.WithFields(log.Fields{"target": target, "in_a_row": s.row, "for_ms": wait.Milliseconds()}).Info("health: target ejected")
}

// get returns the state of a target. Callers hold b.mu.
func (b *Book) get(target string, now time.Time) *state {
	s := b.targets[target]
	if s == nil {
		s = &state{at: now, paced: now, pace: 1}
		b.targets[target] = s
	}
	return s
}

const (
	// paceShare is the weight of the newest time in a target's pace.
	paceShare = 0.25
	// maxPace bounds one time's effect, so that a single one isn't remembered
	// for long.
	maxPace = 10.0
)

// NotePace notes that something took that many times as long as predicted.
func (b *Book) NotePace(target string, ratio float64) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(target, now)
	s.forgivePace(now)
	s.pace += paceShare * (min(ratio, maxPace) - s.pace)
	s.paced = now
}

// Pace is how many times longer than predicted a target takes at present.
func (b *Book) Pace(target string) float64 {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targets[target]
	if s == nil {
		return 1
	}
	s.forgivePace(now)
	return s.pace
}

// forgivePace halves what is over 1 for each span without news, so that a
// target that gets no requests is tried again.
func (s *state) forgivePace(now time.Time) {
	for now.Sub(s.paced) > forgive {
		s.pace = 1 + (s.pace-1)/2
		s.paced = s.paced.Add(forgive)
		if s.pace < 1.05 && s.pace > 0.95 {
			s.paced = now
		}
	}
}

// Impaired reports whether a target serves so badly that others are needed in
// its place.
func (b *Book) Impaired(target string) bool {
	return b.Ejected(target) || b.Rate(target) > impairedRate || b.Pace(target) > impairedPace
}

// From this failure rate and from this pace on a target counts as impaired.
const (
	impairedRate = 0.5
	impairedPace = 5.0
)

func (s *state) decay(now time.Time) {
	for now.Sub(s.at) > forgive {
		s.rate /= 2
		s.at = s.at.Add(forgive)
		if s.rate < smoothing/2 {
			s.at = now
		}
	}
}

// Ejected reports whether the target gets no requests now while others can.
func (b *Book) Ejected(target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targets[target]
	return s != nil && b.now().Before(s.ejected)
}

// Rate is the smoothed share of the target's requests that failed.
func (b *Book) Rate(target string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targets[target]
	if s == nil {
		return 0
	}
	s.decay(b.now())
	return s.rate
}

// Retain forgets the targets that keep doesn't name.
func (b *Book) Retain(keep func(target string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for t := range b.targets {
		if !keep(t) {
			delete(b.targets, t)
		}
	}
}
