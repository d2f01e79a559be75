package dispatch

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxDecay is the fraction of the difference by which the maximum
	// decreases with each shorter stream: it takes some 350 streams to
	// halve. It decreases slowly because the longest streams may be
	// rejected or cut and then don't show their length.
	maxDecay = 0.002
	// maxHints and maxRatios are the numbers of recent hints, and of recent
	// ratios of hints to events, that are kept.
	maxHints  = 64
	maxRatios = 64
	// minRatios is the number of ratios needed before hints are used.
	minRatios = 8
	// hintQuantile is the quantile of the hints that counts as the longest
	// answer.
	hintQuantile  = 0.9
	ratioQuantile = 0.5
	// paceMargin is the fraction of a stream's time within which it is
	// planned to end.
	paceMargin = 0.95
)

// answerLength tracks how long the longest answers of a route are, in
// events, and how much time they have. It is safe for concurrent use.
//
// The length is taken from streams that have ended, but only once some of
// the longest have had time to end. Until then it is predicted from the
// callers' hints, in tokens, and from the number of hinted tokens for each
// event of the streams that have ended.
type answerLength struct {
	mu        sync.Mutex
	firstCall time.Time
	maxTime   time.Duration // decaying maximum of the time that calls have
	maxEvents float64       // decaying maximum of the events of a stream
	maxOutput int           // tokens that the last call allows; 0: no limit
	hints     quantileRing  // hinted tokens; the hintQuantile
	ratios    quantileRing  // hinted tokens for each event; the ratioQuantile (median)
}

// decayingMax returns the updated maximum of recent values. The maximum
// decreases with each smaller value.
func decayingMax[T time.Duration | float64](old, v T) T {
	return max(v, old-T(maxDecay*float64(old-v)))
}

// addCall records a call: its hint and its output limit in tokens, 0 if
// there is none, and the time left until its deadline.
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

// addStream records the events of a stream. complete means that the
// stream wasn't cut.
func (l *answerLength) addStream(hint, events int, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := float64(events)
	l.maxEvents = decayingMax(l.maxEvents, n)
	if complete && hint > 0 && events > 0 {
		l.ratios.add(float64(hint)/n, maxRatios, ratioQuantile)
	}
}

// longest returns the number of events of the longest answers, or 0 if it is
// unknown.
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

// eventsForHint converts a hint to events. It returns 0 if the ratio is
// unknown.
func (l *answerLength) eventsForHint(hint float64) float64 {
	if l.ratios.len() < minRatios {
		return 0
	}
	return hint / l.ratios.quantile
}

// maxGap returns the longest time between events with which the longest
// answers end in time, or 0 if it is unknown.
func (l *answerLength) maxGap() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.longest()
	if n < 1 {
		return 0
	}
	return time.Duration(paceMargin * float64(l.maxTime) / n)
}

// duration predicts the duration of a stream with that hint and that time
// between events. It returns 0 if it is unknown.
func (l *answerLength) duration(hint int, gap time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(min(l.eventsForHint(float64(hint)), l.longest()) * float64(gap))
}

// quantileRing holds the most recent values of a series and one of their
// quantiles.
type quantileRing struct {
	values   []float64
	next     int
	quantile float64
}

func (r *quantileRing) len() int { return len(r.values) }

// add stores a value and drops the oldest one beyond size. It recomputes the
// quantile q at once, since the quantile is read more often than values are
// added.
func (r *quantileRing) add(v float64, size int, q float64) {
	if len(r.values) < size {
		r.values = append(r.values, v)
	} else {
		r.values[r.next] = v
		r.next = (r.next + 1) % size
	}
	sorted := slices.Sorted(slices.Values(r.values))
	r.quantile = sorted[int(q*float64(len(sorted)-1))]
}
