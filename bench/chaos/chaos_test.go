package chaos

import (
	"reflect"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/bench/audit"
)

var fleet = Fleet{Daemons: 4, Engines: 4, Plain: 2, Documents: []string{"a"}}

// TestPlanBringsEverythingBack checks that a schedule restores every process
// that it takes down, and takes down none that is down already. Otherwise the
// system would be blamed for a fault of the schedule.
func TestPlanBringsEverythingBack(t *testing.T) {
	const length = time.Minute
	back := map[Verb]Verb{VerbKill: VerbStart, VerbTerm: VerbStart, VerbPause: VerbResume}
	for seed := range uint64(200) {
		plan := Plan(seed, length, fleet)
		if len(plan) < 20 || !reflect.DeepEqual(plan, Plan(seed, length, fleet)) {
			t.Fatalf("seed %d: %d steps, or not the same twice", seed, len(plan))
		}
		down := make(map[string]Verb)
		for _, e := range plan {
			if e.At > length-quietPeriod {
				t.Errorf("seed %d: %v comes too late", seed, e)
			}
			crash := e.Fault == `{"kind":"crash"}`
			switch {
			case back[e.Verb] != "" || crash:
				if down[e.Target] != "" {
					t.Errorf("seed %d: %v while it is down", seed, e)
				}
				down[e.Target] = back[e.Verb]
				if crash {
					down[e.Target] = VerbStart
				}
			case e.Verb == VerbStart || e.Verb == VerbResume:
				if down[e.Target] != e.Verb {
					t.Errorf("seed %d: %v, but %q was due", seed, e, down[e.Target])
				}
				delete(down, e.Target)
			}
		}
		if len(down) > 0 {
			t.Errorf("seed %d: still down at the end: %v", seed, down)
		}
	}
}

func TestLoadIsFixedByTheSeed(t *testing.T) {
	o := LoadOptions{Seed: 3, Duration: time.Minute, Rates: Rates{Streams: 10, Feed: 20, Once: 10}, Zones: []string{"a", "b"}, ResendShare: 0.5}
	plan := o.plan()
	if !reflect.DeepEqual(plan, o.plan()) {
		t.Error("the same seed gives two loads")
	}
	kinds := make(map[audit.Kind]int)
	for _, a := range plan {
		kinds[a.kind]++
	}
	for kind, rate := range map[audit.Kind]float64{audit.KindStream: 10, audit.KindFeed: 20, audit.KindOnce: 10} {
		if want := rate * o.Duration.Seconds(); float64(kinds[kind]) < 0.8*want || float64(kinds[kind]) > 1.2*want {
			t.Errorf("%s: %d requests, want about %v", kind, kinds[kind], want)
		}
	}
}
