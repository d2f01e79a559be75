package demand

import (
	"math"
	"testing"
	"time"
)

// clock is a time that a test sets.
type clock struct{ at time.Time }

func (c *clock) now() time.Time           { return c.at }
func (c *clock) advance(d time.Duration)  { c.at = c.at.Add(d) }
func newClock() *clock                    { return &clock{at: time.Unix(1_790_000_000, 0)} }
func near(got, want, within float64) bool { return math.Abs(got-want) <= within }

// Refused requests were no demand: the plan of the engines' roles saw only the
// streams that ran, and gave engines away that refusals had left idle. Steady
// arrivals of any rate show as reading and as streams that would run.
func TestSteadyArrivals(t *testing.T) {
	c := newClock()
	b := New(c.now)
	for range 500 {
		b.Observe("llm", Request{Prefill: 30 * time.Millisecond, StreamDuration: 2 * time.Second, Priority: 1})
		b.Observe("llm", Request{StreamDuration: 400 * time.Millisecond, Priority: 2})
		c.advance(10 * time.Millisecond)
	}
	l := b.Total("llm")
	if !near(l.Prefill, 3, 0.1) || !near(l.Streams, 240, 6) || !near(l.Urgent, 200, 5) {
		t.Errorf("%+v", l)
	}
	c.advance(time.Minute)
	if !b.MostUrgent("llm", 1) || b.MostUrgent("llm", 2) {
		t.Error("the most urgent priority isn't known")
	}
	if l := b.Total("llm"); l != (Load{}) {
		t.Errorf("a minute later: %+v", l)
	}
}

// A daemon that fell silent no longer counts: its callers ask the others.
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
		t.Errorf("after its silence %+v, one alone %v", l, one)
	}
}

// The time of day is set back on some VMs.
func TestClockSetBack(t *testing.T) {
	c := newClock()
	b := New(c.now)
	b.Observe("llm", Request{Prefill: time.Second, StreamDuration: 10 * time.Second})
	c.advance(-5 * time.Second)
	b.Observe("llm", Request{StreamDuration: time.Second})
	if l := b.Total("llm"); l.Streams == 0 || l.Prefill != 0 {
		t.Errorf("%+v", l)
	}
}
