package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxDecay is the part of the longest stream's length that is given up
	// with each shorter one: half of it after some 350 streams. Streams that are
	// rejected or cut don't show their length, so it fades slowly.
	maxDecay = 0.002
	// maxHints and maxRatios are the numbers of the newest callers' hints, and
	// of their ratios to what streams had, that count.
	maxHints  = 64
	maxRatios = 64
	// minRatios is the number of ratios from which on hints are used.
	minRatios = 8
	// hintQuantile is the share of hints that are shorter than what counts as the
	// longest answer.
	hintQuantile  = 0.9
	ratioQuantile = 0.5
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
	mu        sync.Mutex
	firstCall time.Time     // of the first call
	maxTime   time.Duration // the most time that a call has
	maxEvents float64       // of the longest streams lately
	maxOutput int           // tokens, the most that the last call allows
	hints     quantileRing  // longHint of these are shorter
	ratios    quantileRing  // hinted tokens for each event; the median
}

// decayingMax is the largest value lately, which fades with each smaller one.
func decayingMax[T time.Duration | float64](old, seen T) T {
	return max(seen, old-T(maxDecay*float64(old-seen)))
}

// addCall notes a call: its hint and the most output that it allows, in tokens,
// 0 for none, and the time it has.
func (l *answerLength) addCall(hint, output int, left time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstCall.IsZero() {
		l.firstCall = time.Now()
	}
	l.maxTime = decayingMax(l.maxTime, left)
	l.maxOutput = output
	if hint > 0 {
		l.hints.add(float64(hint), maxHints, hintQuantile)
	}
}

// addStream notes the events of a stream; whole means that it was not cut.
func (l *answerLength) addStream(hint, events int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := float64(events)
	l.maxEvents = decayingMax(l.maxEvents, n)
	if whole && hint > 0 && events > 0 {
		l.ratios.add(float64(hint)/n, maxRatios, ratioQuantile)
	}
}

// longest is the number of events of the longest answers, 0 while it isn't
// known.
func (l *answerLength) longest() float64 {
	if !l.firstCall.IsZero() && time.Since(l.firstCall) > 2*l.maxTime {
		return l.maxEvents
	}
	hint := l.hints.quantile
	if l.maxOutput > 0 {
		hint = min(hint, float64(l.maxOutput))
	}
	return max(l.maxEvents, l.eventsForHint(hint))
}

// eventsForHint is the number of events that a hint stands for, 0 while that isn't
// known.
func (l *answerLength) eventsForHint(hint float64) float64 {
	if l.ratios.len() < minRatios {
		return 0
	}
	return hint / l.ratios.quantile
}

// maxGap is the time between events at which the longest answers end in time, 0
// while it isn't known.
func (l *answerLength) maxGap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.longest()
	if n < 1 {
		return 0
	}
	return time.Duration(paceMargin * float64(l.maxTime) / n)
}

// duration is how long a stream with that hint takes with events that far apart, 0
// while it isn't known.
func (l *answerLength) duration(hint int, gap time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(min(l.eventsForHint(float64(hint)), l.longest()) * float64(gap))
}

// quantileRing is the newest values of something, and a quantile of them.
type quantileRing struct {
	values   []float64
	next     int
	quantile float64
}

func (r *quantileRing) len() int { return len(r.values) }

// add takes in a value in place of the oldest of that many, and looks for the
// quantile q anew: it is read more often than values come.
func (r *quantileRing) add(v float64, most int, q float64) {
	if len(r.values) < most {
		r.values = append(r.values, v)
	} else {
		r.values[r.next] = v
		r.next = (r.next + 1) % most
	}
	sorted := slices.Sorted(slices.Values(r.values))
	r.quantile = sorted[int(q*float64(len(sorted)-1))]
}
