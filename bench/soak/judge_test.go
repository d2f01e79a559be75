package soak

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// The judge passes over a broken promise, and the soak proves nothing.
func TestJudge(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	good := Outcome{ID: "r", Class: Unsafe, Opened: at(0), Begun: at(5), Ended: at(10), Status: 200, Whole: true, Body: "b", Want: "b"}
	cases := []struct {
		name   string
		change func(o *Outcome)
		runs   int
		want   string // empty: no fault
	}{
		{"good", func(*Outcome) {}, 1, ""},
		{"twice", func(*Outcome) {}, 2, "ran twice"},
		{"safe twice", func(o *Outcome) { o.Class = Safe }, 2, ""},
		{"refused", func(o *Outcome) { o.Status, o.NotRun = 503, true }, 0, ""},
		{"refused and run", func(o *Outcome) { o.Status, o.NotRun = 503, true }, 1, "told that it didn't run"},
		{"another's", func(o *Outcome) { o.Body = "c" }, 1, "another's"},
		{"from nobody", func(*Outcome) {}, 0, "no target gave"},
		{"cut", func(o *Outcome) { o.Whole, o.Err = false, errors.New("reset") }, 1, "cut"},
		{"cut, the caller left", func(o *Outcome) { o.Whole, o.Left = false, true }, 1, ""},
		{"cut by a kill", func(o *Outcome) { o.Whole, o.Daemon = false, 1 }, 1, ""},
		{"cut after the kill", func(o *Outcome) { o.Whole, o.Daemon, o.Opened = false, 1, at(9) }, 1, "cut"},
		{"a stream that was cut", func(o *Outcome) { o.Whole, o.Class = false, Stream }, 1, ""},
	}
	for _, tc := range cases {
		j := NewJudge()
		j.Killed(1, at(7), at(8))
		o := good
		tc.change(&o)
		j.Saw(o)
		faults, _ := j.Verdict(map[string]int{"r": tc.runs})
		got := strings.Join(faults, "; ")
		if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: faults %q, want %q", tc.name, got, tc.want)
		}
	}
}

// A seed that failed must give the same plan again, and nothing may be left
// disturbed at its end: the system would be blamed for it.
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
	if len(seen) != int(kinds) {
		t.Errorf("%d kinds drawn, want %d", len(seen), kinds)
	}
}
