package origin

import (
	"testing"
	"time"
)

// testClock is the clock and the age of the list of targets of a History.
type testClock struct{ now, age time.Duration }

func (c *testClock) history(complete bool) *History {
	return NewHistory(HistoryOptions{
		Now:    func() time.Duration { return c.now },
		Age:    func() (time.Duration, bool) { return c.age, true },
		MaxAge: 2 * time.Second, ReadDelay: time.Second, Complete: complete,
	})
}

// pass lets time pass with a Tick each second.
func (c *testClock) pass(h *History, d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += time.Second
		h.Tick()
	}
}

func observe(h *History, software ...string) bool {
	return h.Observe(map[string][]string{"s": software})
}

// Guards against a daemon that takes the only version in its list for that at which
// all streams began, though it can't know: it has just started, missed changes, was
// paused, or another version was registered shortly before.
func TestOnlyVersionIsTrusted(t *testing.T) {
	const span = time.Minute
	cases := []struct {
		name     string
		complete bool
		events   func(c *testClock, h *History)
		want     bool
	}{
		{"just started", false, func(*testClock, *History) {}, false},
		{"first start of the fleet", true, func(*testClock, *History) {}, true},
		{"for the span", false, func(c *testClock, h *History) { c.pass(h, span) }, true},
		{"not quite for the span", false, func(c *testClock, h *History) { c.pass(h, span-time.Second) }, false},
		{"another version", true, func(_ *testClock, h *History) { observe(h, "v1", "v2") }, false},
		{"another version within the span", true, func(c *testClock, h *History) {
			observe(h, "v1", "v2")
			observe(h, "v1")
			c.pass(h, span-time.Second)
		}, false},
		{"another version before the span", true, func(c *testClock, h *History) {
			observe(h, "v1", "v2")
			observe(h, "v1")
			c.pass(h, span+time.Second)
		}, true},
		{"outdated list", true, func(c *testClock, _ *History) { c.age = 3 * time.Second }, false},
		{"outdated list for a while", true, func(c *testClock, h *History) {
			c.age = 3 * time.Second
			c.pass(h, time.Second)
			c.age = 0
			c.pass(h, time.Second)
		}, false},
		{"paused", true, func(c *testClock, _ *History) { c.now += 10 * time.Second }, false},
		{"paused before", true, func(c *testClock, h *History) {
			c.now += 10 * time.Second
			h.Tick()
		}, false},
		{"inherited", false, func(_ *testClock, h *History) { h.Inherit("s", "v1", span) }, true},
		{"inherited for another version", false, func(_ *testClock, h *History) { h.Inherit("s", "v2", span) }, false},
		{"inherited before a gap", false, func(c *testClock, h *History) {
			h.Inherit("s", "v1", span)
			c.now += 10 * time.Second
			h.Tick()
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := &testClock{now: time.Hour}
			h := c.history(tc.complete)
			observe(h, "v1")
			tc.events(c, h)
			software, ok := h.Sole("s", span)
			if ok != tc.want || ok && software != "v1" {
				t.Errorf("%q, %v; want %v", software, ok, tc.want)
			}
			if other, ok := h.Sole("another service", span); ok {
				t.Errorf("a service without targets has version %q", other)
			}
		})
	}
}

// Guards against streams that begin at a version that other daemons with a current
// list don't know.
func TestNewVersionsSettle(t *testing.T) {
	c := &testClock{now: time.Hour}
	h := c.history(false)
	observe(h, "v1", "v2")
	if !h.Settled("s", "v1") || !h.Settled("s", "v2") {
		t.Error("a version of the first list isn't settled")
	}
	c.pass(h, time.Second)
	if !observe(h, "v1", "v2", "v3") || observe(h, "v1", "v2", "v3") {
		t.Error("a new version isn't reported once")
	}
	if h.Settled("s", "v3") || !h.Settled("s", "v1") {
		t.Error("a version settles at once")
	}
	c.pass(h, 3*time.Second)
	if h.Settled("s", "v3") {
		t.Error("a version settles though another daemon's current list, whose answer was under way for a second, may lack it")
	}
	c.pass(h, time.Second)
	if !h.Settled("s", "v3") {
		t.Error("a version never settles")
	}
}
