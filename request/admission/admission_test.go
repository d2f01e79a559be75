package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
)

// limitKinds are the two limits of a service's capacity: slots at the
// targets, and time.
var limitKinds = []struct {
	name  string
	limit int
}{{"places", simServers + 5}, {"time", 0}}

// Guards against a loss of goodput when the load rises to ten times the
// capacity. If every request were accepted, all would wait until their
// deadline had passed. Goodput must stay at 95% of that at 1x, and high
// priority must keep 95% of its own.
func TestOverload(t *testing.T) {
	const orgs = 50 // equal loads, so that fair shares alone reject nothing
	for _, kind := range limitKinds {
		base, high := 0.0, 0.0
		for _, factor := range []float64{1, 2, 5, 10} {
			sources := []source{{"high", 1, capacity * 0.1}}
			for i := range orgs {
				sources = append(sources, source{fmt.Sprint("org", i), 0, capacity * (factor - 0.1) / orgs})
			}
			s := run(1, kind.limit, sources)
			if factor == 1 {
				base, high = s.total(), s.onTime["high"]
			}
			t.Logf("%s %gx: goodput %.3f of 1x (%.3f of capacity), high %.3f of 1x, refused %v", kind.name, factor,
				s.total()/base, s.total()/(capacity*simLength.Seconds()), s.onTime["high"]/high, s.refused)
			if s.total() < 0.95*base || s.onTime["high"] < 0.95*high {
				t.Errorf("%s %gx: goodput %.3f, high %.3f of 1x", kind.name, factor, s.total()/base, s.onTime["high"]/high)
			}
		}
	}
}

// Guards against one organisation that sends ten times the capacity while
// nineteen others use 80% of it. The others must lose at most 5% of their
// goodput, averaged over the seeds.
func TestFloodOfOneOrganisation(t *testing.T) {
	const seeds = 4
	for _, kind := range limitKinds {
		var calm []source
		for i := range 19 {
			calm = append(calm, source{fmt.Sprint("org", i), 0, capacity * 0.8 / 19})
		}
		flood := append(slices.Clip(calm), source{"flood", 0, capacity * 10})
		sum, worst, taken := 0.0, 1.0, 0.0
		for seed := range uint64(seeds) {
			before, after := run(seed, kind.limit, calm), run(seed, kind.limit, flood)
			kept := (after.total() - after.onTime["flood"]) / before.total()
			sum += kept
			worst = min(worst, kept)
			taken += after.onTime["flood"] / (capacity * simLength.Seconds())
			for _, d := range after.daemons {
				if c := d.ctl.services["s"].inFlightCost; c != 0 {
					t.Errorf("cost %g in flight after the end", c)
				}
			}
		}
		t.Logf("%s: others keep %.3f, in the worst run %.3f; the flood gets %.3f of capacity", kind.name, sum/seeds, worst, taken/seeds)
		if sum/seeds < 0.95 {
			t.Errorf("%s: others keep %.3f", kind.name, sum/seeds)
		}
	}
}

// TestRefusalCodes checks the code of each rejection and whether it states
// when to retry.
func TestRefusalCodes(t *testing.T) {
	half := []routing.Target{{Live: true, Limit: 100, InFlight: 50}}
	busy := []routing.Target{{Live: true, Limit: 100, InFlight: 85}}
	full := []routing.Target{{Live: true, Limit: 100, InFlight: 97}}
	gone := append([]routing.Target{{Limit: 900}}, full...)
	cases := []struct {
		name     string
		targets  []routing.Target
		org      string
		priority int
		finish   time.Duration
		idle     time.Duration
		want     code.Code
	}{
		{"room", half, "a", 0, 1, 1, code.OK},
		{"backlog", half, "a", 0, 11 * time.Second, time.Second, code.Overloaded},
		{"too short for any", half, "a", 0, 11 * time.Second, 12 * time.Second, code.DeadlineTooShort},
		{"work alone fills the time", half, "a", 0, 9710 * time.Millisecond, 9700 * time.Millisecond, code.OK},
		{"waiting fills the time", half, "a", 0, 9800 * time.Millisecond, time.Second, code.Overloaded},
		{"waiting fills half of it", half, "b", 0, 6 * time.Second, time.Second, code.Overloaded},
		{"waiting fills a little", half, "b", 0, 2 * time.Second, time.Second, code.OK},
		{"low at contention", busy, "b", -1, 1, 1, code.Overloaded},
		{"over share at contention", busy, "a", 0, 1, 1, code.OrgOverShare},
		{"over share, high", busy, "a", 1, 1, 1, code.OK},
		{"heavier weight", busy, "heavy", 0, 1, 1, code.OK},
		{"newcomer at contention", busy, "b", 0, 1, 1, code.OK},
		{"normal at the reserve", full, "b", 0, 1, 1, code.Overloaded},
		{"high in the reserve", full, "b", 1, 1, 1, code.OK},
		{"dead targets have no room", gone, "b", 0, 1, 1, code.Overloaded},
	}
	doc := &document.Document{Service: "s", Fair: document.Fair{Weights: map[string]float64{"heavy": 9}}}
	for _, tc := range cases {
		c := New(time.Now)
		for _, org := range []string{"a", "a", "a", "heavy", "heavy", "heavy", "c"} {
			if _, err := c.Admit(Request{Doc: doc, Org: org, Cost: 1, TimeLeft: time.Second, Targets: half}); err != nil {
				t.Fatal(err)
			}
		}
		_, err := c.Admit(Request{
			Doc: doc, Org: tc.org, Priority: tc.priority, Cost: 1, TimeLeft: 10 * time.Second, Targets: tc.targets,
			Decision:   routing.Decision{TimeToCompletion: tc.finish},
			IdleFinish: func() (time.Duration, bool) { return tc.idle, true },
		})
		if code.Of(err) != tc.want {
			t.Errorf("%s: %v", tc.name, err)
		}
		retry := tc.want == code.Overloaded || tc.want == code.OrgOverShare
		if ce, ok := err.(*code.Error); ok && (ce.RetryAfter > 0) != retry {
			t.Errorf("%s: retry after %v", tc.name, ce.RetryAfter)
		}
	}
}

// Guards against accepting requests whose first token would miss its
// objective because of the backlog, though their deadline is far off. The
// queue would then stay as long as deadlines allow, and every answer would
// be late.
func TestBacklogMissesFirstTokenObjective(t *testing.T) {
	const goal = time.Second
	for _, c := range []struct {
		name                string
		priority            int
		first, finish, idle time.Duration
		want                code.Code
	}{
		{"no backlog", 0, 200 * time.Millisecond, 3 * time.Second, 3 * time.Second, code.OK},
		{"backlog makes it late", 0, 2 * time.Second, 5 * time.Second, 3 * time.Second, code.Overloaded},
		{"backlog, high priority", 1, 2 * time.Second, 5 * time.Second, 3 * time.Second, code.OK},
		{"long prompt, no backlog", 0, 4 * time.Second, 7 * time.Second, 7 * time.Second, code.OK},
		{"long prompt, small backlog", 0, 4 * time.Second, 7 * time.Second, 6 * time.Second, code.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := New(time.Now).Admit(Request{
				Doc:        &document.Document{Service: "s", Objectives: document.Objectives{FirstToken: goal}},
				Priority:   c.priority,
				TimeLeft:   time.Minute,
				Decision:   routing.Decision{TimeToFirstToken: c.first, TimeToCompletion: c.finish},
				Targets:    []routing.Target{{Live: true, Limit: 100}},
				IdleFinish: func() (time.Duration, bool) { return c.idle, true },
			})
			if code.Of(err) != c.want {
				t.Errorf("got %v, want %d", err, c.want)
			}
		})
	}
}

// Guards against a request, of any priority, that is answered after its caller has left.
func TestFirstTokenAfterCallerHasLeft(t *testing.T) {
	for first, want := range map[time.Duration]code.Code{3 * time.Second: code.OK, 4 * time.Second: code.Overloaded} {
		for useful, want := range map[time.Duration]code.Code{0: code.OK, 3500 * time.Millisecond: want} {
			_, err := New(time.Now).Admit(Request{
				Doc: &document.Document{Service: "s"}, Priority: 1, TimeLeft: time.Minute, UsefulFor: useful,
				Decision: routing.Decision{TimeToFirstToken: first, TimeToCompletion: 5 * time.Second},
				Targets:  []routing.Target{{Live: true, Limit: 100}},
			})
			if code.Of(err) != want {
				t.Errorf("first token after %v, of use for %v: %v, want %d", first, useful, err, want)
			}
		}
	}
}
