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

// fleet makes engines by role, spread over three zones.
func fleet(prefill, decode int) []Engine {
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

// steady is the same demand for some seconds.
func steady(reading, streams float64) Demand {
	var d Demand
	for range kept {
		d = append(d, demand.Load{Reading: reading, Streams: streams})
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
		{"as they start", fleet(3, 6), nil, 4, port.RolePrefill},
		{"as wanted", fleet(6, 3), steady(4, 60), 0, ""},
		{"many streams", fleet(7, 2), steady(4, 150), 1, port.RoleDecode},
		{"one too many that is missed by none", fleet(6, 3), steady(4, 60), 0, ""},
		{"one too many, and readers are missed", fleet(6, 3), steady(8, 60), 1, port.RolePrefill},
		{"all that is needed at once", fleet(10, 2), steady(2, 300), 3, port.RoleDecode},
		{"large", fleet(21, 39), nil, 22, port.RolePrefill},
		{"no decoder", fleet(5, 0), nil, 2, port.RoleDecode},
		{"no decoder, and only prompts", fleet(5, 0), steady(5, 1), 2, port.RoleDecode},
		{"no reader, and only streams", fleet(0, 8), steady(0.1, 5000), 4, port.RolePrefill},
		{"two engines", fleet(0, 2), nil, 1, port.RolePrefill},
		{"one engine", fleet(0, 1), nil, 0, ""},
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

// Up to nine in ten requests are refused for seconds. Prompts and long answers
// come by turns, at twice their mean for 3 s each over halves of the day that
// ask more of one or the other; the plan followed each turn, 21 orders a day,
// and had the engines changing or in the wrong role most of the time. Orders
// must be few, and less refused than with any split that is kept all day.
func TestMixesThatTurn(t *testing.T) {
	asked := func(s float64) demand.Load {
		long, short := 1.8, 0.5
		if s >= 15 {
			long, short = 0.45, 1.8
		}
		if int(s/2.8)%2 == 0 {
			return demand.Load{Reading: 3.5 * short * 0.57, Streams: 80 * long * 1.7}
		}
		return demand.Load{Reading: 3.5 * short * 1.7, Streams: 80 * long * 0.57}
	}
	const change = 3.0 // seconds that an engine is away
	play := func(decoders int, plan bool) (lost float64, orders int) {
		now := decoders
		var d Demand
		until, away := 0.0, 0
		for s := 0.0; s < 30; s += 1.0 / looksPerSecond {
			l := asked(s)
			d = append(d, l)
			readers, decode := 12-now, now
			if s < until {
				if away > 0 {
					decode -= away
				} else {
					readers += away
				}
			}
			lost += refusedOf(l.Reading, float64(readers)) + refusedOf(l.Streams, float64(64*decode))
			if plan && s >= until {
				if want := d.best(12, 64, now); want != now {
					orders += max(want-now, now-want)
					away, now, until = want-now, want, s+change
				}
			}
		}
		return lost, orders
	}
	least := math.Inf(1)
	for n := 2; n <= 9; n++ {
		lost, _ := play(n, false)
		least = min(least, lost)
	}
	lost, orders := play(4, true)
	if orders > 8 || lost > 1.2*least {
		t.Errorf("%d orders, lost %.2f, %.2f with the best split kept", orders, lost, least)
	}
}

// Prompts that take a fifth of their objective to be read are late, though
// none is refused: of 60 engines 17 decode for 55 streams at a time, as was
// assumed before anything was asked, and the other 43 read at three quarters of
// their time. The engines that decode for nobody are to read, soon and once;
// where prompts take a fourteenth of their objective it isn't worth as much.
func TestIdleDecodersReadWhereReadingIsLate(t *testing.T) {
	d := steady(32, 55)
	for i := range d {
		d[i].Weighty, d[i].Moving = 0.2*d[i].Reading, 1.4
	}
	got := d.best(60, 64, 17)
	if got < 4 || got > 8 {
		t.Errorf("%d engines decode, want 4 to 8: two for the places, twice as many for a turn", got)
	}
	if again := d.best(60, 64, got); again != got {
		t.Errorf("%d engines, then %d", got, again)
	}
	// Links that are busy with KV cache need engines, too.
	for i := range d {
		d[i].Moving = 8
	}
	if got := d.best(60, 64, 17); got < 12 {
		t.Errorf("%d engines decode, whose links would be full", got)
	}
}

// No engine decodes for seconds. A daemon that leads again after a cut doesn't
// know that engines carry out orders of the one that led meanwhile, which the
// list of targets shows only at their end, and takes others in their place.
func TestOrdersOfOthersCount(t *testing.T) {
	now := time.Duration(0)
	book := engines.New(time.Now, func(engines.Work) {})
	p := New(Options{Self: "a", Clock: fixed(func() time.Duration { return now }), Engines: book, Health: health.New(time.Now, nil)})
	var entries []port.TargetEntry
	for _, e := range fleet(4, 6) {
		entries = append(entries, e.Entry)
	}
	book.Merge("peer", []engines.Work{
		{Target: engines.Hash("e004"), Becomes: port.RolePrefill}, {Target: engines.Hash("e005"), Becomes: port.RolePrefill},
		{Target: engines.Hash("e006"), Becomes: port.RolePrefill}, {Target: engines.Hash("e007"), Becomes: port.RolePrefill},
	}, nil)
	for _, m := range Plan(p.engines(pointers(entries)), nil) {
		if m.Role == port.RolePrefill {
			t.Errorf("takes more engines from decoding: %+v", m)
		}
	}
}

// Every answer stops for seconds when one engine dies, if the two that decode
// stand in one zone, or if the one that is left isn't joined at once.
func TestPlanAfterDeaths(t *testing.T) {
	e := fleet(7, 2)
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
			t.Error("the new decoder stands in the zone of the other one")
		}
	}
}

func TestPlanLeavesRefusingEnginesAlone(t *testing.T) {
	e := fleet(5, 0)
	for i := range e {
		e[i].Refused = i != 3
	}
	if moves := Plan(e, nil); len(moves) != 1 || moves[0].Target != "e003" {
		t.Errorf("moves %+v", moves)
	}
}

// All streams stop for seconds. A daemon starts while two of four decoding
// engines carry out orders to read prompts, which the list of targets doesn't
// show yet. It orders the same two, is told that they are busy, and orders the
// other two in their place.
func TestBusyEnginesAreNotReplaced(t *testing.T) {
	for name, err := range map[string]error{"busy": port.ErrBusy, "no answer": context.DeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			book := engines.New(time.Now, func(engines.Work) {})
			p := New(Options{Self: "a", Clock: fixed(func() time.Duration { return now }), Engines: book, Health: health.New(time.Now, nil)})
			svc := &route.Service{Name: "s", Engine: &route.Engine{SwitchTime: 3 * time.Second}}
			var entries []port.TargetEntry
			for _, e := range fleet(4, 4) {
				entries = append(entries, e.Entry)
			}
			moves := Plan(p.engines(pointers(entries)), nil)
			if len(moves) != 2 {
				t.Fatalf("moves %+v", moves)
			}
			for _, m := range moves {
				p.note(svc, result{Move: m, err: err}, claim.Claim{})
			}
			if again := Plan(p.engines(pointers(entries)), nil); len(again) != 0 {
				t.Errorf("others are ordered in their place: %+v", again)
			}
			now += svc.Engine.SwitchTime + switchGrace
			if again := Plan(p.engines(pointers(entries)), nil); len(again) != 2 {
				t.Errorf("engines that never obeyed aren't ordered again: %+v", again)
			}
		})
	}
}

// deadEngines is an engine control that some engines don't answer.
type deadEngines struct {
	port.EngineControl
	dead func(id string) bool
}

func (c deadEngines) Report(_ context.Context, _, id string) (port.RoleReport, error) {
	if c.dead(id) {
		return port.RoleReport{}, errors.New("connection refused")
	}
	return port.RoleReport{Role: port.RolePrefill}, nil
}

func (c deadEngines) Order(context.Context, port.RoleOrder) error { return nil }

// Guards against seconds without decoding engines after an outage of the store:
// the plan chose engines that had died in it, which look idle, and waited for
// them to change.
func TestPlanGoesOnPastDeadEngines(t *testing.T) {
	now := time.Duration(0)
	registry := discovery.New(discovery.Options{Decode: func(r port.KeyedRecord) (port.TargetEntry, bool, error) {
		return port.TargetEntry{ID: r.Key, Service: "s", Addr: "10.0.0.1:1", Slots: 64}, true, nil
	}})
	var records []port.KeyedRecord
	var entries []port.TargetEntry
	for _, e := range fleet(12, 2) {
		records = append(records, port.KeyedRecord{Key: e.Entry.ID})
		entries = append(entries, e.Entry)
	}
	registry.Reset(records, 0)
	p := New(Options{
		Self: "a", Clock: fixed(func() time.Duration { return now }), Targets: registry,
		Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil),
		Control: deadEngines{dead: func(id string) bool { return id < "e006" }},
	})
	svc := &route.Service{Name: "s", Engine: &route.Engine{SwitchTime: 3 * time.Second}}
	for round := 1; ; round++ {
		list := p.engines(pointers(entries))
		moves := Plan(list, steady(1, 400))
		if len(moves) == 0 {
			break
		}
		if p.underWay(svc, list) || round > 6 {
			t.Fatalf("round %d waits for dead engines", round)
		}
		p.ordered[svc.Name] = now
		p.carryOut(t.Context(), svc, moves, claim.Claim{Until: time.Hour})
	}
	decoders, _ := split(p.engines(pointers(entries)))
	for _, e := range decoders {
		if e.Entry.ID < "e006" {
			t.Errorf("%s counts as decoding", e.Entry.ID)
		}
	}
}

// A missing decoding engine is asked for elsewhere when an order gets no
// answer.
func TestUnansweredOrderToDecodeGoesElsewhere(t *testing.T) {
	now := time.Duration(0)
	p := New(Options{Self: "a", Clock: fixed(func() time.Duration { return now }), Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil)})
	svc := &route.Service{Name: "s", Engine: &route.Engine{SwitchTime: 3 * time.Second}}
	var entries []port.TargetEntry
	for _, e := range fleet(8, 1) {
		entries = append(entries, e.Entry)
	}
	first := Plan(p.engines(pointers(entries)), nil)
	p.note(svc, result{Move: first[0], err: context.DeadlineExceeded}, claim.Claim{})
	second := Plan(p.engines(pointers(entries)), nil)
	if len(second) != 1 || second[0].Target == first[0].Target {
		t.Errorf("first %+v, then %+v", first, second)
	}
}

// Targets are replaced one after the other for ten seconds. Each new engine
// starts in the role that its operator gave it, mostly to decode, and prompts
// are late and refused for want of readers: the plan waited for a pause.
func TestPlanDoesNotWaitForTheEndOfARelease(t *testing.T) {
	now := time.Duration(0)
	p := New(Options{Clock: fixed(func() time.Duration { return now })})
	for ; now < mostGrowing; now += 500 * time.Millisecond {
		if p.whole("s", 300*time.Millisecond) {
			t.Fatalf("planned after %v on a list that fills up", now)
		}
	}
	if !p.whole("s", 300*time.Millisecond) {
		t.Errorf("still waits after %v", now)
	}
	if !p.whole("s", settled) {
		t.Error("a list that has settled is waited for")
	}
	if p.whole("s", 0) {
		t.Error("the next growth isn't waited for")
	}
}

// fixed is a clock that tests move.
type fixed func() time.Duration

// Now implements clock.Clock.
func (f fixed) Now() time.Duration { return f() }

// refusedOf is the squared share of what is asked that is over what there is,
// and a little for how full that is: what a play of a load loses, whatever the
// plan's own sum says.
func refusedOf(asked, there float64) float64 {
	over := max(asked-there, 0) / asked
	full := min(asked/max(there, math.SmallestNonzeroFloat64), 1)
	return over*over + evenness*full*full
}

func pointers(entries []port.TargetEntry) []*port.TargetEntry {
	var out []*port.TargetEntry
	for i := range entries {
		out = append(out, &entries[i])
	}
	return out
}

// Guards against a daemon that joins thousands of engines with what is known of
// each, ten times a second, though another one gives the orders.
func TestOnlyTheLeaderLooksAtEachEngine(t *testing.T) {
	registry := discovery.New(discovery.Options{Decode: func(r port.KeyedRecord) (port.TargetEntry, bool, error) {
		return port.TargetEntry{ID: r.Key, Service: "llm", Role: port.RolePrefill, Slots: 64}, true, nil
	}})
	var records []port.KeyedRecord
	for i := range int64(10_000) {
		records = append(records, port.KeyedRecord{Key: fmt.Sprint("e", i), Value: []byte("v"), Offset: i})
	}
	registry.Reset(records, int64(len(records)))
	p := New(Options{
		Self: "a", Clock: fixed(func() time.Duration { return time.Minute }), Targets: registry, Speed: speed.NewBook(),
		Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil), Demand: demand.New(time.Now),
	})
	svc := &route.Service{Name: "llm", Engine: &route.Engine{}}
	if n := testing.AllocsPerRun(10, func() { p.look(t.Context(), svc) }); n > 10 {
		t.Errorf("%v allocations for a look", n)
	}
}

// Guards against thousands of orders in a fleet whose engines have next to nothing
// to do, for a mix that nobody asks for.
func TestIdleFleetIsLeftAsItIs(t *testing.T) {
	list := fleet(4000, 5675)
	var d Demand
	for range 20 {
		d = append(d, demand.Load{Reading: 95, Weighty: 30, Streams: 140, Moving: 10})
	}
	if moves := Plan(list, d); len(moves) != 0 {
		t.Errorf("%d moves", len(moves))
	}
	for daemons, want := range map[int]bool{985: true, 4001: false} {
		if got := plenty(list, daemons); got != want {
			t.Errorf("%d daemons: plenty is %v", daemons, got)
		}
	}
}
