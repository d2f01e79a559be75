package budget

import (
	"testing"
	"time"
)

// TestSharesBoundRetries checks that retries stay within the share of the requests
// and the slack, and that old requests expire.
func TestSharesBoundRetries(t *testing.T) {
	const slack = 10.0
	now := time.Duration(0)
	b := NewFleet(FleetOptions{
		Slack: slack, Window: testWindow, Daemons: func() int { return 1 }, Alone: true,
		Clock: func() time.Duration { return now },
	})
	taken := func(requests int, take func(c *Call) (bool, State)) int {
		n := 0
		for range requests {
			c := b.NewCall("s")
			c.SetRatio(0.1)
			c.Begin("t").Answered()
			if ok, _ := take(c); ok {
				c.Begin("t").Answered()
				n++
			}
			c.SentAll()
		}
		return n
	}
	all := func(c *Call) (bool, State) { return c.Take(1) }
	deferrable := func(c *Call) (bool, State) { return c.TakeDeferrable(1) }
	if n := taken(1000, deferrable); n != 66 {
		t.Errorf("%d deferrable retries for 1000 requests", n)
	}
	if n := taken(1, all); n != 1 {
		t.Error("nothing is left to retries that can't be deferred")
	}
	if n := taken(999, all); n != 101 {
		t.Errorf("%d further retries for 999 requests", n)
	}
	now += time.Hour
	if n := taken(20, all); n != 9 {
		t.Errorf("%d retries after a pause", n)
	}
}

// Guards against charges that were never used, or whose send wasn't written,
// counting as extra sends.
func TestUnusedChargesAreReturned(t *testing.T) {
	f := newTestFleet(1)
	c := f.daemons[0].NewCall("s")
	c.Begin("t").Answered()
	if ok, s := c.Take(3); !ok {
		t.Fatalf("%+v", s)
	}
	c.Begin("t").NotWritten()
	c.Begin("t").Answered()
	if s := f.daemons[0].State("s"); s.Open != 3 || s.Spent != 3 {
		t.Errorf("while sending: %+v", s)
	}
	c.SentAll()
	if s := f.daemons[0].State("s"); s.Open != 0 || s.Spent != 1 {
		t.Errorf("afterwards: %+v", s)
	}
}

// Guards against sends to targets that have lost power counting for ever.
func TestLostSendsExpire(t *testing.T) {
	f := newTestFleet(1)
	c := f.daemons[0].NewCall("s")
	c.Begin("dead").Lost()
	if ok, _ := c.Take(1); !ok {
		t.Fatal("not allowed")
	}
	c.Begin("t").Answered()
	c.SentAll()
	f.idle((maxLostWindows - 1) * testWindow)
	if s := f.daemons[0].State("s"); s.Open != 1 {
		t.Errorf("before: %+v", s)
	}
	f.idle(testWindow)
	f.daemons[0].NewCall("s").Take(1)
	f.idle(2 * testWindow)
	if s := f.daemons[0].State("s"); s.Spent > 1 {
		t.Errorf("afterwards: %+v", s)
	}
}
