package overload

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against a time that differs from when callers leave, or is after the deadline.
func TestUsefulUntil(t *testing.T) {
	at := time.Unix(100, 0)
	for want, c := range map[time.Duration]Caller{
		2000 * ms: {Objective: 400 * ms, LongestPause: 200 * ms},
		3200 * ms: {Objective: 800 * ms, LongestPause: 200 * ms},
		4000 * ms: {Objective: 800 * ms, LongestPause: 500 * ms},
		1500 * ms: {Objective: 800 * ms, Deadline: at.Add(1500 * ms)},
	} {
		c.Arrived = at
		if c.Deadline.IsZero() {
			c.Deadline = at.Add(8 * time.Second)
		}
		if got := UsefulUntil(c).Sub(at); got != want {
			t.Errorf("%+v: %v, want %v", c, got, want)
		}
	}
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		f    FirstEvent
		want Verdict
	}{
		{FirstEvent{Unqueued: 100 * ms, Objective: 500 * ms}, Admit},
		{FirstEvent{Wait: time.Minute, EffectiveWait: time.Minute}, Admit},
		{FirstEvent{Wait: 450 * ms, EffectiveWait: 450 * ms, Unqueued: 100 * ms, Objective: 500 * ms}, MissesObjective},
		{FirstEvent{Wait: 100 * ms, EffectiveWait: 100 * ms, Unqueued: 600 * ms, Objective: 500 * ms}, AdmitLate},
		{FirstEvent{Wait: 200 * ms, EffectiveWait: 200 * ms, Unqueued: 600 * ms, Objective: 500 * ms}, MissesObjective},
		{FirstEvent{Unqueued: 600 * ms, Objective: 500 * ms, Left: 500 * ms}, TooLate},
		{FirstEvent{Wait: time.Second, EffectiveWait: time.Second, Left: 500 * ms}, TooLate},
	} {
		if got := c.f.Decide(); got != c.want {
			t.Errorf("%+v: %v, want %v", c.f, got, c.want)
		}
	}
}

// Guards against engines that are reserved while no prompts wait, or from short prompts,
// or by shares that follow from old prompts.
func TestReservation(t *testing.T) {
	var m Mix
	at, waits := time.Unix(100, 0), []time.Duration{0, 300 * ms, 400 * ms}
	if s := m.Reservation(90*ms, waits); s != 0 {
		t.Errorf("%v without prompts", s)
	}
	for range 100 {
		m.Record(at, 90*ms, 600*ms)
		m.Record(at, 10*ms, 600*ms)
	}
	if s := m.Reservation(90*ms, waits); s < 0.09 || s > 0.11 {
		t.Errorf("%v of the engines, short prompts are 0.1 of the work", s)
	}
	if m.Reservation(10*ms, waits) != 0 || m.Reservation(90*ms, []time.Duration{0, 20 * ms, 400 * ms}) != 0 {
		t.Error("engines reserved from short prompts, or while none wait")
	}
	for range 100 {
		m.Record(at.Add(5*mixDecay), 90*ms, 600*ms)
	}
	if s := m.Reservation(90*ms, waits); s > 0.002 {
		t.Errorf("%v long after the last short prompt", s)
	}
}

// Guards against callers that return before the backlog ends, all at once, or without
// the time for an answer.
func TestRetryAfter(t *testing.T) {
	for _, c := range []struct {
		backlog, left, need time.Duration
		u                   float64
		want                time.Duration
	}{
		{300 * ms, 2 * time.Second, 100 * ms, 0, 300 * ms},
		{300 * ms, 2 * time.Second, 100 * ms, 0.5, 700 * ms},
		{300 * ms, time.Minute, 100 * ms, 0.5, 2300 * ms},
		{300 * ms, 350 * ms, 100 * ms, 0.9, 300 * ms},
	} {
		if got := RetryAfter(c.backlog, c.left, c.need, c.u); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
