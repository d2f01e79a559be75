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
	good := Outcome{ID: "r", Class: Unsafe, ConnOpened: at(0), Started: at(5), Ended: at(10), Status: 200, Complete: true, Body: "b", WantBody: "b"}
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
		{"a stream that was cut", func(o *Outcome) { o.Complete, o.Class = false, Stream }, 1, ""},
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

// A request that a planned stop cuts is excused by a stop of the process during
// the request, and only then.
func TestPausedDuring(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, o := range map[string]Outcome{
		"before":           {Daemon: 1, Started: at(0), Ended: at(90)},
		"another daemon's": {Daemon: 2, Started: at(110), Ended: at(190)},
		"afterwards":       {Daemon: 1, Started: at(210), Ended: at(300)},
		"":                 {Daemon: 1, Started: at(190), Ended: at(300)},
	} {
		j := NewJudge()
		j.paused[1] = []span{{at(100), at(200)}}
		j.Record(o)
		if faults, _ := j.Verdict(nil); (len(faults) > 0) != (name != "") {
			t.Errorf("%q: %v", name, faults)
		}
	}
}
