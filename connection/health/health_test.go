package health

import (
	"testing"
	"time"

	"github.com/apex/log"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

type clock struct{ t time.Time }

func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }
func newTracker() (*Tracker, *clock)     { c := &clock{time.Unix(1000, 0)}; return New(c.now, nil), c }
func observe(tr *Tracker, o Outcome, times int) {
	for range times {
		tr.Observe("t", o)
	}
}
func observePace(tr *Tracker, r float64, times int) {
	for range times {
		tr.ObservePace("t", r)
	}
}

// TestEjectionTimeDoubles checks that an unreachable target is ejected, for longer
// with each consecutive failure. If it weren't, requests would still be sent to it
// and wait in vain.
func TestEjectionTimeDoubles(t *testing.T) {
	tr, c := newTracker()
	observe(tr, Unreachable, 1)
	if !tr.Ejected("t") {
		t.Fatal("not ejected")
	}
	c.advance(minEjection)
	if tr.Ejected("t") {
		t.Error("ejected for longer than the first time")
	}
	observe(tr, Unreachable, 1)
	c.advance(minEjection)
	if !tr.Ejected("t") {
		t.Error("the second time is no longer than the first")
	}
	observe(tr, Unreachable, 20)
	c.advance(maxEjection)
	if tr.Ejected("t") {
		t.Error("ejected beyond the longest time")
	}
	observe(tr, OK, 1)
	observe(tr, Unreachable, 1)
	c.advance(minEjection)
	if tr.Ejected("t") {
		t.Error("a success between failures doesn't reset the ejection time")
	}
}

// TestFailureRateRisesAndDecays checks the failure rate of a target that fails
// requests, which a health check may not detect.
func TestFailureRateRisesAndDecays(t *testing.T) {
	tr, c := newTracker()
	observe(tr, Failed, 15)
	if r := tr.FailureRate("t"); r < 0.7 {
		t.Errorf("rate %.2f after failures only", r)
	}
	if !tr.Impaired("t") || tr.Ejected("t") {
		t.Error("a failing target is impaired, not ejected")
	}
	c.advance(4*halfLife + time.Second)
	if r := tr.FailureRate("t"); r > 0.1 {
		t.Errorf("rate %.2f long after the last request", r)
	}
	if tr.FailureRate("unknown") != 0 || tr.Pace("unknown") != 1 || tr.Impaired("unknown") {
		t.Error("an unknown target isn't healthy")
	}
}

func TestPace(t *testing.T) {
	tr, c := newTracker()
	observePace(tr, 100, 1)
	if p := tr.Pace("t"); p > 1+paceSmoothing*maxPace {
		t.Errorf("pace %.1f after a single slow one", p)
	}
	observePace(tr, 8, 20)
	if p := tr.Pace("t"); p < 7 || !tr.Impaired("t") {
		t.Errorf("pace %.1f of a slow target", p)
	}
	c.advance(6 * halfLife)
	if p := tr.Pace("t"); p > 1.5 {
		t.Errorf("pace %.1f long after", p)
	}
}

func TestRetain(t *testing.T) {
	tr, _ := newTracker()
	observe(tr, Failed, 5)
	tr.Retain(func(string) bool { return false })
	if tr.FailureRate("t") != 0 {
		t.Error("the state of a removed target is retained")
	}
}

// Guards against ejections that outlast lost links of this process: targets that
// were well all the time would get no requests for seconds.
func TestForgiveEndsEjections(t *testing.T) {
	tr, _ := newTracker()
	observe(tr, Unreachable, 5)
	tr.Forgive(func(string) bool { return false })
	if !tr.Ejected("t") {
		t.Error("forgiven though it doesn't match")
	}
	tr.Forgive(func(target string) bool { return target == "t" })
	if tr.Ejected("t") || tr.FailureRate("t") != 0 {
		t.Errorf("ejected %v, rate %v", tr.Ejected("t"), tr.FailureRate("t"))
	}
}
