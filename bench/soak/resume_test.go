package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// newResumer returns a caller that takes streams up at all daemons.
func (env *environment) newResumer(seed uint64, index int) *resumer {
	r := &resumer{
		name: fmt.Sprint("resumer", index), judge: env.judge, rand: rand.New(rand.NewPCG(seed, uint64(1000+index))),
		header: callerHeaders, served: env.servedByTwo, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range env.daemons {
		r.urls = append(r.urls, "http://"+env.ip(i)+":17000"+standin.ResumablePrefix+"x")
	}
	return r
}

// servedByTwo reports whether two engines of a software version decode.
func (env *environment) servedByTwo(software string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, slot := range env.slots {
		t := slot.current.Load()
		if !slot.leaving && !slot.removed && t.Software == software && t.Role() == "decode" {
			n++
		}
	}
	return n >= 2
}

// goneVersion has targets of the first of two versions replaced by those of the other
// one, and kills all daemons just after the last of them has gone.
func goneVersion(at time.Duration) (plan []Event) {
	const replaced = 200 * time.Millisecond
	for i := range resumedTargets {
		if generation := i/4 + 1; generation%2 == 1 {
			plan = append(plan, Event{At: at, For: replaced, Kind: KillTarget, On: i})
		}
	}
	for i := range defaultDaemons {
		plan = append(plan, Event{At: at + 50*time.Millisecond, For: 300 * time.Millisecond, Kind: KillDaemon, On: i})
	}
	return plan
}

const (
	// resumedTargets is the number of targets of trials with software versions.
	resumedTargets = 16
	// manyResumers have enough streams open at one moment for a fault of that moment
	// to exceed maxMixedStreams.
	manyResumers = 80
)

// TestStreamsGoOnAtTheirVersion guards against streams that go on at another software
// version than they began at, and against rejecting them instead.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	t.Parallel()
	const length = 8 * time.Second
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	killAll := func(s float64) (plan []Event) {
		for i := range defaultDaemons {
			plan = append(plan, Event{At: at(s), For: at(0.3), Kind: KillDaemon, On: i})
		}
		return plan
	}
	cases := []struct {
		name     string
		versions int
		plan     []Event
		resumers int // 0: six
	}{
		{"calm", 2, nil, 0},
		{"the store is away", 2, []Event{{At: at(1), For: at(6), Kind: FailStore, How: storeReset}}, 0},
		{"daemons restart in series", 2, []Event{{At: at(1), Kind: StopDaemon, On: 0}, {At: at(2.5), Kind: StopDaemon, On: 1}, {At: at(4), Kind: StopDaemon, On: 2}, {At: at(5.5), Kind: StopDaemon, On: 3}}, 0},
		{"two daemons are killed", 2, []Event{{At: at(2), For: at(1), Kind: KillDaemon, On: 0}, {At: at(4), For: at(1), Kind: KillDaemon, On: 1}}, 0},
		{"all daemons are killed", 2, killAll(2), 0},
		{"all daemons are killed, one version", 1, killAll(2), 0},
		{"a version goes and all daemons are killed", 2, goneVersion(at(3)), manyResumers},
		{"a version goes and all daemons are killed twice", 2, append(goneVersion(at(3)), killAll(5)...), manyResumers},
		{"daemons are cut from targets", 2, []Event{{At: at(1), For: at(5), Kind: CutLinks, On: 1}, {At: at(2), For: at(5), Kind: CutLinks, On: 2, How: 2}}, 0},
		{"targets cut streams", 2, []Event{{At: at(1), For: at(6), Kind: DegradeTarget, On: 2, How: degradeCut}, {At: at(1), For: at(6), Kind: DegradeTarget, On: 6, How: degradeCut}, {At: at(2), For: at(4), Kind: DegradeTarget, On: 3, How: degradeCut}}, 0},
		{"targets are replaced by the next version", 2, []Event{{At: at(1), For: at(1), Kind: KillTarget, On: 2}, {At: at(3), For: at(1), Kind: KillTarget, On: 6}, {At: at(5), For: at(1), Kind: KillTarget, On: 3}}, 0},
	}
	program := sharedDaemon(t)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			faults, totals := runTrial(t, trial{
				seed: 1, program: program, daemons: defaultDaemons, plan: tc.plan, budget: siteBudget, versions: tc.versions, resumers: cmp.Or(tc.resumers, 6),
				targets: resumedTargets, callers: 6, length: length, recoveryLimit: recoveryLimit, grace: callerGrace,
			})
			t.Logf("%+v", totals)
			for _, f := range faults {
				t.Error(f)
			}
		})
	}
}

// Guards against a judge that misses streams of two versions, missing events, or
// streams that are rejected when they are taken up.
func TestCheckStreams(t *testing.T) {
	now := time.Unix(1000, 0)
	begin := streamTry{At: now, Answered: true}
	takeUp := func(answered bool) streamTry {
		return streamTry{At: now, TakesUp: true, Answered: answered, Served: true}
	}
	repeat := func(n int, o streamOutcome) (out []streamOutcome) {
		for range n {
			out = append(out, o)
		}
		return out
	}
	one := []string{"v1"}
	rejected := streamOutcome{Tries: []streamTry{begin, takeUp(false)}, Software: one}
	unserved := rejected
	unserved.Tries = []streamTry{begin, {At: now, TakesUp: true}}
	cases := []struct {
		name    string
		streams []streamOutcome
		killed  bool
		want    string // empty: no fault
	}{
		{"taken up", repeat(20, streamOutcome{Tries: []streamTry{begin, takeUp(true)}, Software: one}), false, ""},
		{"two of two versions", repeat(2, streamOutcome{Tries: []streamTry{begin}, Software: []string{"v1", "v2"}}), false, ""},
		{"three of two versions", repeat(3, streamOutcome{Tries: []streamTry{begin}, Software: []string{"v1", "v2"}}), false, "3 of 3 streams hold events of two"},
		{"three of two versions at a killed daemon", repeat(3, streamOutcome{Tries: []streamTry{begin}, Software: []string{"v1", "v2"}}), true, "hold events of two"},
		{"eleven rejected", repeat(11, rejected), false, ""},
		{"twelve rejected", repeat(12, rejected), false, "0 of 12 streams that were taken up"},
		{"rejected at a killed daemon", repeat(12, rejected), true, ""},
		{"rejected without targets of their version", repeat(12, unserved), false, ""},
		{"an event is missing", []streamOutcome{{Tries: []streamTry{begin}, Fault: "event 3 after 1"}}, false, "event 3 after 1"},
	}
	for _, tc := range cases {
		j := NewJudge()
		if tc.killed {
			j.RecordKill(0, now.Add(-time.Second), now.Add(-time.Second))
		}
		for _, o := range tc.streams {
			j.RecordStream(o)
		}
		faults, _ := j.Verdict(nil)
		got := strings.Join(faults, "; ")
		if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: %q, want %q", tc.name, got, tc.want)
		}
	}
}
