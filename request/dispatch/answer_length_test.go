package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/version/route"
)

// hinted feeds calls of 10 to 200 events of 50 tokens whose hints are right.
func hinted(l *answerLength, left time.Duration) {
	for n := 10; n <= 200; n += 10 {
		l.arrived(50*n, 10_000, left)
	}
}

// Guards against a bound that is too loose until the first of the longest
// answers had time to end.
func TestLongestIsPredictedFromHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left = 15 * time.Second
		var l answerLength
		hinted(&l, left)
		if g := l.gap(); g != 0 {
			t.Errorf("a gap of %v before any stream ended", g)
		}
		for n := 1; n <= ratiosKnown; n++ {
			l.ended(50*n, n, true)
		}
		fit := paceMargin * left.Seconds() / 180
		want := time.Duration(fit * float64(time.Second))
		if g := l.gap(); g < want || g > want*11/10 {
			t.Errorf("a gap of %v, want %v for nine in ten hints", g, want)
		}
		if d := l.lasts(50*100, 60*time.Millisecond); d != 6*time.Second {
			t.Errorf("100 events at 60 ms are predicted to last %v", d)
		}
	})
}

// Guards against a bound that loosens since the longest answers, which it
// protects, are rejected or cut and so don't show their length.
func TestLongestFadesSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l answerLength
		l.arrived(0, 0, time.Second)
		l.ended(0, 200, true)
		_ = pause.For(t.Context(), 3*time.Second)
		for range 100 {
			l.ended(0, 20, true)
		}
		if n := l.length(); n < 150 {
			t.Errorf("the longest answers have %.0f events after 100 short ones, want 150 or more of 200", n)
		}
	})
}

// Guards against the rest of a resumed stream that is taken for a whole short
// answer.
func TestResumedStreamIsNoShortAnswer(t *testing.T) {
	r := New(Options{})
	u := &run{Runner: r, c: &Call{Route: &route.Route{Name: "r"}}}
	u.c.Ask.Hint = 5000
	m := &paceMeter{run: u, events: 100}
	m.ended(true)
	m = &paceMeter{run: u, events: 1, resumed: true}
	m.ended(true)
	if l := r.answerLength("r"); l.events != 100 || l.ratios.len() != 1 {
		t.Errorf("%.0f events, %d ratios of hints, want 100 and 1", l.events, l.ratios.len())
	}
}
