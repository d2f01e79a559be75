package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// longestDecay is the part of the longest stream's length that is given up
	// with each shorter one: half of it after some 350 streams. Streams that are
	// rejected or cut don't show their length, so it fades slowly.
	longestDecay = 0.002
	// hintsKept and ratiosKept are the numbers of the newest callers' hints, and
	// of their ratios to what streams had, that count.
	hintsKept  = 64
	ratiosKept = 64
	// ratiosKnown is the number of ratios from which on hints are used.
	ratiosKnown = 8
	// longHint is the share of hints that are shorter than what counts as the
	// longest answer.
	longHint = 0.9
	median   = 0.5
	// paceMargin is the part of a stream's time in which it is planned to end.
	paceMargin = 0.95
)

// answerLength learns how long a route's longest answers are, in events, and
// how much time they have. It is safe for concurrent use.
//
// Streams that have ended show it, but not before some of the longest had time
// to end. Until then it comes from the callers' hints, in tokens, and from the
// number of tokens that an event of the ended streams stands for.
type answerLength struct {
	mu     sync.Mutex
	since  time.Time     // of the first call
	left   time.Duration // the most time that a call has
	events float64       // of the longest streams lately
	output int           // tokens, the most that the last call allows
	hints  ring          // longHint of these are shorter
	ratios ring          // hinted tokens for each event; the median
}

// fading is the largest value lately, which fades with each smaller one.
func fading[T time.Duration | float64](old, seen T) T {
	return max(seen, old-T(longestDecay*float64(old-seen)))
}

// arrived notes a call: its hint and the most output that it allows, in tokens,
// 0 for none, and the time it has.
func (l *answerLength) arrived(hint, output int, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		l.since = time.Now()
	}
	l.left = fading(l.left, left)
	l.output = output
	if hint > 0 {
		l.hints.add(float64(hint), hintsKept, longHint)
	}
}

// ended notes the events of a stream; whole means that it was not cut.
func (l *answerLength) ended(hint, events int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := float64(events)
	l.events = fading(l.events, n)
	if whole && hint > 0 && events > 0 {
		l.ratios.add(float64(hint)/n, ratiosKept, median)
	}
}

// length is the number of events of the longest answers, 0 while it isn't
// known.
func (l *answerLength) length() float64 {
	if !l.since.IsZero() && time.Since(l.since) > 2*l.left {
		return l.events
	}
	hint := l.hints.quantile
	if l.output > 0 {
		hint = min(hint, float64(l.output))
	}
	return max(l.events, l.predicted(hint))
}

// predicted is the number of events that a hint stands for, 0 while that isn't
// known.
func (l *answerLength) predicted(hint float64) float64 {
	if l.ratios.len() < ratiosKnown {
		return 0
	}
	return hint / l.ratios.quantile
}

// gap is the time between events at which the longest answers end in time, 0
// while it isn't known.
func (l *answerLength) gap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.length()
	if n < 1 {
		return 0
	}
	return time.Duration(paceMargin * float64(l.left) / n)
}

// lasts is how long a stream with that hint takes with events that far apart, 0
// while it isn't known.
func (l *answerLength) lasts(hint int, gap time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(min(l.predicted(float64(hint)), l.length()) * float64(gap))
}

// ring is the newest values of something, and a quantile of them.
type ring struct {
	values   []float64
	next     int
	quantile float64
}

func (r *ring) len() int { return len(r.values) }

// add takes in a value in place of the oldest of that many, and looks for the
// quantile q anew: it is read more often than values come.
func (r *ring) add(v float64, most int, q float64) {
	if len(r.values) < most {
		r.values = append(r.values, v)
	} else {
		r.values[r.next] = v
		r.next = (r.next + 1) % most
	}
	sorted := slices.Sorted(slices.Values(r.values))
	r.quantile = sorted[int(q*float64(len(sorted)-1))]
}
