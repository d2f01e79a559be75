package soak

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestJudge guards against a judge that misses a violation: the soak would
// pass whatever the system does.
func TestJudge(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	good := Outcome{ID: "r", Class: Unsafe, Timeout: time.Second, ConnOpened: at(0), Started: at(5), Ended: at(10), Status: 200, Complete: true, Body: "b", WantBody: "b"}
	cases := []struct {
		name   string
		change func(o *Outcome)
		runs   int
		want   string // empty: no fault
	}{
		{"good", func(*Outcome) {}, 1, ""},
		{"twice", func(*Outcome) {}, 2, "ran twice"},
		{"stream twice", func(o *Outcome) { o.Class = Stream }, 2, "ran twice"},
		{"safe twice", func(o *Outcome) { o.Class = Safe }, 2, ""},
		{"refused", func(o *Outcome) { o.Status, o.NotRun = 503, true }, 0, ""},
		{"refused and run", func(o *Outcome) { o.Status, o.NotRun = 503, true }, 1, "reported as not run"},
		{"another's", func(o *Outcome) { o.Body = "c" }, 1, "another request's"},
		{"from nobody", func(*Outcome) {}, 0, "no target ran"},
		{"cut", func(o *Outcome) { o.Complete, o.Err = false, errors.New("reset") }, 1, "cut"},
		{"cut, the caller left", func(o *Outcome) { o.Complete, o.Canceled = false, true }, 1, ""},
		{"cut by a kill", func(o *Outcome) { o.Complete, o.Daemon = false, 1 }, 1, ""},
		{"cut after the kill", func(o *Outcome) { o.Complete, o.Daemon, o.ConnOpened = false, 1, at(9) }, 1, "cut"},
		{"a stream that was cut", func(o *Outcome) { o.Complete, o.Class = false, Stream }, 1, "cut"},
	}
	for _, tc := range cases {
		j := NewJudge()
		j.RecordKill(1, at(7), at(8))
		o := good
		tc.change(&o)
		j.Record(o)
		faults, _ := j.Verdict(map[string]int{"r": tc.runs})
		got := strings.Join(faults, "; ")
		if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: faults %q, want %q", tc.name, got, tc.want)
		}
	}
}

// TestPlanEnds checks that a seed always gives the same plan, so that a
// failure can be reproduced. No fault may outlast the load, because the system
// would be blamed for it.
func TestPlanEnds(t *testing.T) {
	size := Size{Daemons: 4, Targets: 8, Length: 6 * time.Second}
	seen := make(map[Kind]bool)
	for seed := range uint64(200) {
		plan := Plan(seed, size)
		again := Plan(seed, size)
		for i, e := range plan {
			seen[e.Kind] = true
			if e != again[i] {
				t.Fatalf("seed %d: two plans", seed)
			}
			if e.At+e.For > size.Length || e.For < 0 {
				t.Errorf("seed %d: %v outlasts the load", seed, e)
			}
		}
	}
	if len(seen) != int(kindCount) {
		t.Errorf("%d kinds drawn, want %d", len(seen), kindCount)
	}
}

// A cut counts only from stableWindow on, for daemons that run, and beside
// others that serve.
func TestCheckCuts(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, tc := range map[string]struct {
		cutGood, otherGood int // of 100 requests
		from               float64
		killed, want       bool
		stopped            float64 // when the other daemon stops, 0 for never
		third              bool    // a third daemon serves all
	}{
		"nothing served":       {cutGood: 0, otherGood: 100, from: 4, want: true},
		"half served":          {cutGood: 50, otherGood: 100, from: 4, want: true},
		"as the others":        {cutGood: 30, otherGood: 40, from: 4},
		"in the first seconds": {cutGood: 0, otherGood: 100, from: 1},
		"while it is killed":   {cutGood: 0, otherGood: 100, from: 4, killed: true},
		"until no other runs":  {cutGood: 10, otherGood: 100, from: 4, stopped: 4.1},
		"while a third runs":   {cutGood: 10, otherGood: 100, from: 4, stopped: 4.1, third: true, want: true},
		"before no other runs": {cutGood: 0, otherGood: 100, from: 4, stopped: 4.5, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			j := NewJudge()
			j.RecordCut(0, start, at(8))
			if tc.killed {
				j.RecordKill(0, at(3.5), at(7))
			}
			if tc.stopped > 0 {
				j.outages[1] = []span{{at(tc.stopped), at(7)}}
			}
			served := []int{tc.cutGood, tc.otherGood}
			if tc.third {
				served = append(served, 100)
			}
			for i := range 100 {
				sent := at(tc.from + float64(i)/100)
				for daemon, good := range served {
					o := Outcome{Daemon: daemon, Started: sent, Ended: sent, Complete: true, Status: 503}
					if i < good {
						o.Status = 200
					}
					j.Record(o)
				}
			}
			if got := len(j.checkCuts()) > 0; got != tc.want {
				t.Errorf("broken %v, want %v: %v", got, tc.want, j.checkCuts())
			}
		})
	}
}

// The same for stalls, all kinds of which are drawn.
func TestStallPlan(t *testing.T) {
	size := Size{Daemons: 6, Targets: 8, Length: 26 * time.Second, Stalls: true}
	seen := make(map[Kind]bool)
	for seed := range uint64(50) {
		plan := stallPlan(seed, size)
		if !slices.Equal(plan, stallPlan(seed, size)) {
			t.Fatalf("seed %d: two plans", seed)
		}
		for _, e := range plan {
			seen[e.Kind] = true
			if e.At+e.For > size.Length || e.For < 0 {
				t.Errorf("seed %d: %v outlasts the load", seed, e)
			}
		}
	}
	for _, kind := range []Kind{RejectAll, StopTarget, StarveTarget, StarveDaemon} {
		if !seen[kind] {
			t.Errorf("no %v", kind)
		}
	}
}

// Guards against a judge that excuses a request which a target received and a planned
// stop cut, or that blames a daemon for what the rules leave out.
func TestCutByAPlannedStop(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	cases := []struct {
		name       string
		class      Class
		sent, ends float64 // SIGTERM comes at 0, and the daemon exits at 7.4
		runs       int
		rejected   bool // by a target
		paused     span
		disrupted  span
		want       Excuse
	}{
		{name: "crosses the close", sent: 3.6, ends: 3.61, want: Crossed},
		{name: "crosses the close, ran", sent: 3.6, ends: 3.61, runs: 1},
		{name: "crosses the close, passed on", sent: 3.6, ends: 3.61, rejected: true},
		{name: "safe, ran", class: Safe, sent: 3.6, ends: 3.61, runs: 1},
		{name: "was read, and isn't answered", sent: 3.6, ends: 3.9},
		{name: "unseen while the process stands still", sent: 3.6, ends: 3.9, paused: span{at(3.5), at(3.8)}, want: Crossed},
		{name: "ran, and the process stands still", sent: 3.6, ends: 3.9, runs: 1, paused: span{at(3.5), at(3.8)}},
		{name: "paused before", sent: 3.6, ends: 3.9, paused: span{at(3), at(3.5)}},
		{name: "stands still until the end", sent: 5, ends: 7.2, runs: 1, paused: span{at(5), at(7.1)}, want: StoodStill},
		{name: "open until the end", sent: 5, ends: 7.2, runs: 1},
		{name: "before the stop", sent: -1, ends: -0.9},
		{name: "after the stop", sent: 7.5, ends: 7.6},
		{name: "stream sent early", class: Stream, sent: 2.9, ends: 7.3, runs: 1, want: Outlasting},
		{name: "stream sent early, cut early", class: Stream, sent: 2.9, ends: 6, runs: 1},
		{name: "stream sent late", class: Stream, sent: 3.1, ends: 7.3, runs: 1},
		{name: "stream at its deadline", class: Stream, sent: 1, ends: 6.1, runs: 1, want: OutOfTime},
		{name: "stream before any stop", class: Stream, sent: -3, ends: -2, runs: 1},
		{name: "stream beside another disruption", class: Stream, sent: 3.1, ends: 7.3, runs: 1, disrupted: span{at(0), at(1)}, want: Disrupted},
		{name: "stream long after it", class: Stream, sent: 4.1, ends: 7.3, runs: 1, disrupted: span{at(0), at(1)}},
		{name: "unsafe beside another disruption", sent: 3.1, ends: 7.2, runs: 1, disrupted: span{at(0), at(1)}},
	}
	for _, tc := range cases {
		j := NewJudge()
		j.RecordStop(1, at(0), at(7.4))
		j.paused[1] = []span{tc.paused}
		j.disruptions = []span{tc.disrupted}
		o := Outcome{ID: "r", Class: tc.class, Daemon: 1, ConnOpened: at(-5), Started: at(tc.sent), Ended: at(tc.ends), Timeout: 5 * time.Second}
		j.Record(o)
		if tc.rejected {
			j.RecordPassedOn(o.ID)
		}
		faults, totals := j.Verdict(map[string]int{"r": tc.runs})
		if got := j.excuse(o, tc.runs); got != tc.want || (len(faults) > 0) != (tc.want == None) || totals.Broken != 1 {
			t.Errorf("%s: excuse %q, want %q: %v", tc.name, got, tc.want, faults)
		}
	}
}

// Guards against plans of planned work that don't stop each daemon, or that a seed
// doesn't determine.
func TestPlannedWorkPlan(t *testing.T) {
	size := Size{Daemons: 4, Length: 20 * time.Second}
	for seed := range uint64(50) {
		plan := PlannedWork(seed, size)
		if !slices.Equal(plan, PlannedWork(seed, size)) {
			t.Fatalf("seed %d: two plans", seed)
		}
		stops := make(map[int]bool)
		for _, e := range plan {
			if !e.Kind.isPlanned() || e.At+e.For > size.Length {
				t.Errorf("seed %d: %v", seed, e)
			}
			if e.Kind == StopSeries {
				stops[e.On] = true
			}
		}
		if len(stops) != size.Daemons {
			t.Errorf("seed %d: %d of %d daemons stop", seed, len(stops), size.Daemons)
		}
	}
}
