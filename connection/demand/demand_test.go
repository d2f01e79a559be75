package demand

import (
	"math"
	"testing"
	"time"
)

// clock is a clock that tests set.
type clock struct{ at time.Time }

func (c *clock) now() time.Time           { return c.at }
func (c *clock) advance(d time.Duration)  { c.at = c.at.Add(d) }
func newClock() *clock                    { return &clock{at: time.Unix(1_790_000_000, 0)} }
func near(got, want, within float64) bool { return math.Abs(got-want) <= within }

// Guards against demand that omits refused requests. The planner of the engines' roles
// only counted running streams, and released engines that were idle because of refusals.
// Steady arrivals must show as prefill and as the streams that would run.
func TestSteadyArrivals(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	for range 500 {
		tr.Observe("llm", Request{Prefill: 30 * time.Millisecond, StreamDuration: 2 * time.Second, Priority: 1})
		tr.Observe("llm", Request{StreamDuration: 400 * time.Millisecond, Priority: 2})
		c.advance(10 * time.Millisecond)
	}
	l := tr.Total("llm")
	if !near(l.Prefill, 3, 0.1) || !near(l.Streams, 240, 6) || !near(l.Urgent, 200, 5) {
		t.Errorf("%+v", l)
	}
	c.advance(time.Minute)
	if !tr.MostUrgent("llm", 1) || tr.MostUrgent("llm", 2) {
		t.Error("wrong most urgent priority")
	}
	if l := tr.Total("llm"); l != (Load{}) {
		t.Errorf("a minute later: %+v", l)
	}
}

// Checks that an unresponsive daemon no longer counts. Its callers then send their requests
// to other daemons.
func TestDaemonsAreSummed(t *testing.T) {
	c := newClock()
	a, b := New(c.now), New(c.now)
	a.Observe("llm", Request{StreamDuration: 10 * time.Second})
	b.Observe("llm", Request{StreamDuration: 10 * time.Second})
	c.advance(window - bucketDuration/2)
	one := b.Total("llm").Streams
	b.Merge("a", a.Report())
	if l := b.Total("llm"); !near(l.Streams, 2*one, 0.01) {
		t.Errorf("sum %+v", l)
	}
	if l := b.Total("other"); l != (Load{}) {
		t.Errorf("another service %+v", l)
	}
	b.Observe("llm", Request{StreamDuration: 10 * time.Second})
	c.advance(peerTimeout + bucketDuration)
	if l := b.Total("llm"); !near(l.Streams, one, 0.2) {
		t.Errorf("after the timeout %+v, want %v", l, one)
	}
}

// Guards against wrong demand after the system clock of a VM was set back.
func TestClockSetBack(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	tr.Observe("llm", Request{Prefill: time.Second, StreamDuration: 10 * time.Second})
	c.advance(-5 * time.Second)
	tr.Observe("llm", Request{StreamDuration: time.Second})
	if l := tr.Total("llm"); l.Streams == 0 || l.Prefill != 0 {
		t.Errorf("%+v", l)
	}
}
