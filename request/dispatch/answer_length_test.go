package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/version/route"
)

// addHintedCalls adds calls of 10 to 200 events with 50 tokens each, whose
// hints are accurate.
func addHintedCalls(l *answerLength, left time.Duration) {
	for n := 10; n <= 200; n += 10 {
		l.addCall(50*n, 10_000, left)
	}
}

// Guards against a stream limit that is too loose until the first of the
// longest answers have had time to end.
func TestLongestAnswerIsPredictedFromHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left = 15 * time.Second
		var l answerLength
		addHintedCalls(&l, left)
		if g := l.maxGap(); g != 0 {
			t.Errorf("a gap of %v before any stream ended", g)
		}
		for n := 1; n <= minRatios; n++ {
			l.addStream(50*n, n, true)
		}
		fit := paceMargin * left.Seconds() / 180
		want := time.Duration(fit * float64(time.Second))
		if g := l.maxGap(); g < want || g > want*11/10 {
			t.Errorf("a gap of %v, want %v for nine in ten hints", g, want)
		}
		if d := l.duration(50*100, 60*time.Millisecond); d != 6*time.Second {
			t.Errorf("100 events at 60 ms are predicted to last %v", d)
		}
	})
}

// Guards against a stream limit that becomes too loose because the longest
// answers, which it protects, are rejected or cut and don't show their
// length.
func TestLongestAnswerDecaysSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l answerLength
		l.addCall(0, 0, time.Second)
		l.addStream(0, 200, true)
		_ = pause.For(t.Context(), 3*time.Second)
		for range 100 {
			l.addStream(0, 20, true)
		}
		if n := l.longest(); n < 150 {
			t.Errorf("the longest answers have %.0f events after 100 short ones, want 150 or more of 200", n)
		}
	})
}

// Guards against recording the rest of a resumed stream as a complete short
// answer.
func TestResumedStreamIsNotRecordedAsShortAnswer(t *testing.T) {
	r := New(Options{})
	x := &execution{Runner: r, call: &Call{Route: &route.Route{Name: "r"}}}
	x.call.Meta.OutputHint = 5000
	m := &paceMeter{exec: x, events: 100}
	m.finish(true)
	m = &paceMeter{exec: x, events: 1, resumed: true}
	m.finish(true)
	if l := r.answerLength("r"); l.maxEvents != 100 || l.ratios.len() != 1 {
		t.Errorf("%.0f events, %d ratios of hints, want 100 and 1", l.maxEvents, l.ratios.len())
	}
}
