package roles

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/process/discovery"
	"github.com/pomelospool/pomelospool/version/route"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// newFleet returns engines with the given number of each role, spread over three
// availability zones.
func newFleet(prefill, decode int) []Engine {
	var out []Engine
	for i := range prefill + decode {
		role := port.RolePrefill
		if i >= prefill {
			role = port.RoleDecode
		}
		out = append(out, Engine{Entry: port.TargetEntry{
			ID: fmt.Sprintf("e%03d", i), Zone: fmt.Sprint("z", i%3), Role: role, Slots: 64,
		}})
	}
	return out
}

// constantDemand returns maxSamples samples of the same load.
func constantDemand(prefill, streams float64) Demand {
	var d Demand
	for range maxSamples {
		d = append(d, demand.Load{Prefill: prefill, Streams: streams})
	}
	return d
}

func TestPlan(t *testing.T) {
	cases := []struct {
		name    string
		engines []Engine
		demand  Demand
		moves   int
		to      port.Role
	}{
		{"as they start", newFleet(3, 6), nil, 4, port.RolePrefill},
		{"as wanted", newFleet(6, 3), constantDemand(4, 60), 0, ""},
		{"many streams", newFleet(7, 2), constantDemand(4, 150), 1, port.RoleDecode},
		{"one too many that is missed by none", newFleet(6, 3), constantDemand(4, 60), 0, ""},
		{"one too many, and readers are missed", newFleet(6, 3), constantDemand(8, 60), 1, port.RolePrefill},
		{"all that is needed at once", newFleet(10, 2), constantDemand(2, 300), 3, port.RoleDecode},
		{"large", newFleet(21, 39), nil, 22, port.RolePrefill},
		{"no decoder", newFleet(5, 0), nil, 2, port.RoleDecode},
		{"no decoder, and only prompts", newFleet(5, 0), constantDemand(5, 1), 2, port.RoleDecode},
		{"no reader, and only streams", newFleet(0, 8), constantDemand(0.1, 5000), 4, port.RolePrefill},
		{"two engines", newFleet(0, 2), nil, 1, port.RolePrefill},
		{"one engine", newFleet(0, 1), nil, 0, ""},
		{"none", nil, nil, 0, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			moves := Plan(tc.engines, tc.demand)
			if len(moves) != tc.moves || tc.moves > 0 && moves[0].Role != tc.to {
				t.Errorf("%d moves %+v", len(moves), moves)
			}
		})
	}
}

// withSoftware sets the software versions of engines, by index.
func withSoftware(list []Engine, versions ...string) []Engine {
	for i, v := range versions {
		list[i].Entry.Software = v
	}
	return list
}

// Guards against streams that can't go on after the loss of an engine, although
// others of their software version are there, since none of them decodes.
func TestDecodersOfAVersionHavePartners(t *testing.T) {
	cases := []struct {
		name    string
		engines []Engine
		want    []string // versions of the moved engines
	}{
		{"a partner for the decoder", withSoftware(newFleet(6, 1), "v2", "v2", "v2", "v2", "v1", "v2", "v1"), []string{"v1"}},
		{"no decoder", withSoftware(newFleet(7, 0), "v2", "v2", "v1", "v1", "v1", "v1", "v2"), []string{"v1", "v1"}},
		{"pairs are left", withSoftware(newFleet(4, 5), "v1", "v1", "v2", "v2", "v1", "v1", "v2", "v2", "v2"), []string{"v2"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			moves := Plan(tc.engines, nil)
			if len(moves) < len(tc.want) {
				t.Fatalf("%d moves", len(moves))
			}
			for i, want := range tc.want {
				for _, e := range tc.engines {
					if e.Entry.ID == moves[i].Target && e.Entry.Software != want {
						t.Errorf("move %d takes an engine of %s, want %s", i, e.Entry.Software, want)
					}
				}
			}
		})
	}
}

// Guards against plans that follow each phase of a workload that alternates between
// prompts and long answers, each at twice its mean for 3 s. Such plans sent 21 orders
// a day, engines were changing or in the wrong role most of the time, and up to nine in
// ten requests were refused for seconds. Orders must be few, and the loss must be at
// most 1.2 times that of the best fixed split.
func TestAlternatingWorkload(t *testing.T) {
	load := func(s float64) demand.Load {
		long, short := 1.8, 0.5
		if s >= 15 {
			long, short = 0.45, 1.8
		}
		if int(s/2.8)%2 == 0 {
			return demand.Load{Prefill: 3.5 * short * 0.57, Streams: 80 * long * 1.7}
		}
		return demand.Load{Prefill: 3.5 * short * 1.7, Streams: 80 * long * 0.57}
	}
	const change = 3.0 // seconds that a change of role takes
	simulate := func(decoders int, plan bool) (lost float64, orders int) {
		current := decoders
		var d Demand
		until, moved := 0.0, 0
		for s := 0.0; s < 30; s += 1.0 / samplesPerSecond {
			l := load(s)
			d = append(d, l)
			prefill, decode := 12-current, current
			if s < until {
				if moved > 0 {
					decode -= moved
				} else {
					prefill += moved
				}
			}
			lost += overloadLoss(l.Prefill, float64(prefill)) + overloadLoss(l.Streams, float64(64*decode))
			if plan && s >= until {
				if want := d.bestDecoders(12, 64, current); want != current {
					orders += max(want-current, current-want)
					moved, current, until = want-current, want, s+change
				}
			}
		}
		return lost, orders
	}
	least := math.Inf(1)
	for n := 2; n <= 9; n++ {
		lost, _ := simulate(n, false)
		least = min(least, lost)
	}
	lost, orders := simulate(4, true)
	if orders > 8 || lost > 1.2*least {
		t.Errorf("%d orders, loss %.2f, want at most 8 and 1.2 times %.2f, that of the best fixed split", orders, lost, least)
	}
}

// Guards against late prompts while decoding engines idle. 17 of 60 engines decode for 55
// streams, as the initial split has it, and the other 43 have a prefill utilization of
// three quarters. No prompt is refused, but prompts whose prefill takes a fifth of their
// objective are late. The idle decoding engines must move to prefill, in one step. Where
// the prefill takes a fourteenth of the objective, the gain is smaller.
func TestIdleDecodersMoveToPrefillWhenPromptsAreLate(t *testing.T) {
	d := constantDemand(32, 55)
	for i := range d {
		d[i].WeightedPrefill, d[i].Transfer = 0.2*d[i].Prefill, 1.4
	}
	got := d.bestDecoders(60, 64, 17)
	if got < 4 || got > 8 {
		t.Errorf("%d engines decode, want 4 to 8: two for the slots, twice as many for a shift", got)
	}
	if again := d.bestDecoders(60, 64, got); again != got {
		t.Errorf("%d decoding engines, then %d under the same demand", got, again)
	}
	// Transfers of KV cache over busy links need decoding engines, too.
	for i := range d {
		d[i].Transfer = 8
	}
	if got := d.bestDecoders(60, 64, 17); got < 12 {
		t.Errorf("%d engines decode, want 12 or more: their links are overloaded", got)
	}
}

// Guards against seconds without decoding engines after a network partition. A returning
// leader doesn't see in the list of targets that engines are carrying out orders of the
// interim leader, and moves other engines in their place.
func TestOrdersOfOtherDaemonsCount(t *testing.T) {
	now := time.Duration(0)
	tracker := engines.New(time.Now, func(engines.Work) {})
	p := New(Options{Self: "a", Clock: fakeClock(func() time.Duration { return now }), Engines: tracker, Health: health.New(time.Now, nil)})
	var entries []port.TargetEntry
	for _, e := range newFleet(4, 6) {
		entries = append(entries, e.Entry)
	}
	tracker.Merge("peer", []engines.Work{
		{Target: engines.Hash("e004"), Becomes: port.RolePrefill}, {Target: engines.Hash("e005"), Becomes: port.RolePrefill},
		{Target: engines.Hash("e006"), Becomes: port.RolePrefill}, {Target: engines.Hash("e007"), Becomes: port.RolePrefill},
	}, nil)
	for _, m := range Plan(p.engines(entryPointers(entries)), nil) {
		if m.Role == port.RolePrefill {
			t.Errorf("moves another engine from decoding: %+v", m)
		}
	}
}

// Guards against seconds without any decoding engine when one fails. This happens if
// both decoding engines are in one availability zone, or if a lost one isn't replaced at
// once.
func TestPlanReplacesLostDecoders(t *testing.T) {
	e := newFleet(7, 2)
	e[8].Impaired = true
	if moves := Plan(e, nil); len(moves) != 1 || moves[0].Role != port.RoleDecode {
		t.Fatalf("an impaired decoder isn't replaced: %+v", moves)
	}
	e[8].Impaired = false
	e[8].Entry.Leaving = true
	moves := Plan(e, nil)
	if len(moves) != 1 {
		t.Fatalf("a leaving decoder isn't replaced: %+v", moves)
	}
	for _, one := range e {
		if one.Entry.ID == moves[0].Target && one.Entry.Zone == e[7].Entry.Zone {
			t.Error("the new decoder is in the zone of the other one")
		}
	}
}

func TestPlanSkipsRefusingEngines(t *testing.T) {
	e := newFleet(5, 0)
	for i := range e {
		e[i].Refused = i != 3
	}
	if moves := Plan(e, nil); len(moves) != 1 || moves[0].Target != "e003" {
		t.Errorf("moves %+v", moves)
	}
}

// Guards against seconds without decoding engines after a daemon has started. Two of four
// decoding engines are carrying out orders to prefill, which the list of targets doesn't
// show yet. The daemon's orders to these two are rejected as busy or get no answer, and
// it must not order the other two instead.
func TestBusyEnginesAreNotReplaced(t *testing.T) {
	for name, err := range map[string]error{"busy": port.ErrBusy, "no answer": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			tracker := engines.New(time.Now, func(engines.Work) {})
			p := New(Options{Self: "a", Clock: fakeClock(func() time.Duration { return now }), Engines: tracker, Health: health.New(time.Now, nil)})
			svc := &route.Service{Name: "s", Engine: &route.Engine{RoleChangeTime: 3 * time.Second}}
			var entries []port.TargetEntry
			for _, e := range newFleet(4, 4) {
				entries = append(entries, e.Entry)
			}
			moves := Plan(p.engines(entryPointers(entries)), nil)
			if len(moves) != 2 {
				t.Fatalf("moves %+v", moves)
			}
			for _, m := range moves {
				p.recordResult(svc, orderResult{Move: m, err: err}, claim.Claim{})
			}
			if again := Plan(p.engines(entryPointers(entries)), nil); len(again) != 0 {
				t.Errorf("other engines are ordered in their place: %+v", again)
			}
			now += svc.Engine.RoleChangeTime + switchGrace
			if again := Plan(p.engines(entryPointers(entries)), nil); len(again) != 2 {
				t.Errorf("engines that never obeyed aren't ordered again: %+v", again)
			}
		})
	}
}

// deadEngines is a port.EngineControl that can't reach some engines.
type deadEngines struct {
	port.EngineControl
	dead func(id string) bool
}

func (e deadEngines) Report(_ context.Context, _, id string) (port.RoleReport, error) {
	if e.dead(id) {
		return port.RoleReport{}, errors.New("connection refused")
	}
	return port.RoleReport{Role: port.RolePrefill}, nil
}

func (e deadEngines) Order(context.Context, port.RoleOrder) error { return nil }

// Guards against seconds without decoding engines after an outage of the store. The plan
// chose engines that had failed during the outage, which look idle, and waited for their
// change of role.
func TestPlanSkipsUnreachableEngines(t *testing.T) {
	now := time.Duration(0)
	registry := discovery.New(discovery.Options{Decode: func(r port.KeyedRecord) (port.TargetEntry, bool, error) {
		return port.TargetEntry{ID: r.Key, Service: "s", Addr: "10.0.0.1:1", Slots: 64}, true, nil
	}})
	var records []port.KeyedRecord
	var entries []port.TargetEntry
	for _, e := range newFleet(12, 2) {
		records = append(records, port.KeyedRecord{Key: e.Entry.ID})
		entries = append(entries, e.Entry)
	}
	registry.Reset(records, 0)
	p := New(Options{
		Self: "a", Clock: fakeClock(func() time.Duration { return now }), Targets: registry,
		Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil),
		Control: deadEngines{dead: func(id string) bool { return id < "e006" }},
	})
	svc := &route.Service{Name: "s", Engine: &route.Engine{RoleChangeTime: 3 * time.Second}}
	for round := 1; ; round++ {
		list := p.engines(entryPointers(entries))
		moves := Plan(list, constantDemand(1, 400))
		if len(moves) == 0 {
			break
		}
		if p.planInProgress(svc, list) || round > 6 {
			t.Fatalf("round %d waits for unreachable engines", round)
		}
		p.lastPlanned[svc.Name] = now
		p.sendOrders(t.Context(), svc, moves, claim.Claim{Until: time.Hour})
	}
	decoders, _ := splitByRole(p.engines(entryPointers(entries)))
	for _, e := range decoders {
		if e.Entry.ID < "e006" {
			t.Errorf("%s counts as decoding", e.Entry.ID)
		}
	}
}

// Checks that another engine is ordered to decode when the first order gets no answer.
func TestUnansweredDecodeOrderIsReplaced(t *testing.T) {
	now := time.Duration(0)
	p := New(Options{Self: "a", Clock: fakeClock(func() time.Duration { return now }), Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil)})
	svc := &route.Service{Name: "s", Engine: &route.Engine{RoleChangeTime: 3 * time.Second}}
	var entries []port.TargetEntry
	for _, e := range newFleet(8, 1) {
		entries = append(entries, e.Entry)
	}
	first := Plan(p.engines(entryPointers(entries)), nil)
	p.recordResult(svc, orderResult{Move: first[0], err: context.DeadlineExceeded}, claim.Claim{})
	second := Plan(p.engines(entryPointers(entries)), nil)
	if len(second) != 1 || second[0].Target == first[0].Target {
		t.Errorf("first %+v, then %+v", first, second)
	}
}

// Guards against a rolling replacement that delays all plans. Each new engine starts in
// its configured role, mostly decoding, and prompts were late or refused for lack of
// prefill engines while the plan waited for the list of targets to settle.
func TestPlanDuringRollingReplacement(t *testing.T) {
	now := time.Duration(0)
	p := New(Options{Clock: fakeClock(func() time.Duration { return now })})
	for ; now < maxSettleWait; now += 500 * time.Millisecond {
		if p.listSettled("s", 300*time.Millisecond) {
			t.Fatalf("planned after %v on a list that is still growing", now)
		}
	}
	if !p.listSettled("s", 300*time.Millisecond) {
		t.Errorf("still waiting after %v", now)
	}
	if !p.listSettled("s", settleTime) {
		t.Error("waits for a list that has settled")
	}
	if p.listSettled("s", 0) {
		t.Error("doesn't wait when the list grows again")
	}
}

// fakeClock is a clock that tests set.
type fakeClock func() time.Duration

// Now implements clock.Clock.
func (f fakeClock) Now() time.Duration { return f() }

// overloadLoss is the loss of the simulation, independent of the plan's cost: the
// squared share of the demand that exceeds the capacity, and a small term for
// utilization.
func overloadLoss(demanded, capacity float64) float64 {
	excess := max(demanded-capacity, 0) / demanded
	utilization := min(demanded/max(capacity, math.SmallestNonzeroFloat64), 1)
	return excess*excess + utilizationWeight*utilization*utilization
}

func entryPointers(entries []port.TargetEntry) []*port.TargetEntry {
	var out []*port.TargetEntry
	for i := range entries {
		out = append(out, &entries[i])
	}
	return out
}

// Guards against a daemon that combines the state of thousands of engines ten times a
// second although another daemon leads.
func TestNonLeaderSkipsEngines(t *testing.T) {
	registry := discovery.New(discovery.Options{Decode: func(r port.KeyedRecord) (port.TargetEntry, bool, error) {
		return port.TargetEntry{ID: r.Key, Service: "llm", Role: port.RolePrefill, Slots: 64}, true, nil
	}})
	var records []port.KeyedRecord
	for i := range int64(10_000) {
		records = append(records, port.KeyedRecord{Key: fmt.Sprint("e", i), Value: []byte("v"), Offset: i})
	}
	registry.Reset(records, int64(len(records)))
	p := New(Options{
		Self: "a", Clock: fakeClock(func() time.Duration { return time.Minute }), Targets: registry, Speed: speed.NewTracker(),
		Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil), Demand: demand.New(time.Now),
	})
	svc := &route.Service{Name: "llm", Engine: &route.Engine{}}
	if n := testing.AllocsPerRun(10, func() { p.planService(t.Context(), svc) }); n > 10 {
		t.Errorf("%v allocations for one pass", n)
	}
}

// Guards against thousands of orders in an almost idle fleet, for an assumed workload shift
// without any demand behind it.
func TestIdleFleetIsUnchanged(t *testing.T) {
	list := newFleet(4000, 5675)
	var d Demand
	for range 20 {
		d = append(d, demand.Load{Prefill: 95, WeightedPrefill: 30, Streams: 140, Transfer: 10})
	}
	if moves := Plan(list, d); len(moves) != 0 {
		t.Errorf("%d moves", len(moves))
	}
	for daemons, want := range map[int]bool{985: true, 4001: false} {
		if got := enoughOfEachRole(list, daemons); got != want {
			t.Errorf("%d daemons: enoughOfEachRole is %v", daemons, got)
		}
	}
}
