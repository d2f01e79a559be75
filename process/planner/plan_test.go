package planner

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/document"
)

// outcome is an engine's reaction to an order.
type outcome int

const (
	obeys outcome = iota
	refuses
	crashes
)

// simulation calls Plan each second for engines that report ideal rates.
type simulation struct {
	doc         *document.Document
	obs         Observation
	states      map[string]State // by group; "" plans for all groups
	outcome     outcome
	changing    map[string]int // remaining seconds of an engine's change
	newRole     map[string]port.Role
	now         time.Duration
	changes     []Change
	minAble     [2]int // fewest engines so far that could prefill, and decode
	maxChanging int    // most engines changing at once
}

const (
	changeSeconds = 8
	testPrefill   = 22_000.0
	testDecode    = 2_000.0
)

func newSimulation(prefill, mixed, decode int) *simulation {
	sim := &simulation{
		doc: &document.Document{
			Objectives: document.Objectives{BetweenTokens: 36 * time.Millisecond},
			Roles:      document.Roles{GoodputWeight: 0.8, MinPrefill: 1, MinDecode: 2, MaxChanging: 1, MinDwell: 30 * time.Second},
		},
		states:   map[string]State{"": {}},
		changing: map[string]int{},
		newRole:  map[string]port.Role{},
		minAble:  [2]int{99, 99},
	}
	for i := range prefill + mixed + decode {
		role := port.RoleDecode
		if i < prefill {
			role = port.RolePrefill
		} else if i < prefill+mixed {
			role = port.RoleMixed
		}
		sim.obs.Engines = append(sim.obs.Engines, Engine{
			Name: fmt.Sprintf("e%d", i), Group: fmt.Sprintf("g%d", i%3), Incarnation: "1", Role: role, Live: true,
			Load: port.Load{Running: 40, PrefillRate: testPrefill, DecodeRate: 40 / (assumedBase + 40*assumedPerStream), QueuedPrefill: 0, KVCapacity: 400_000},
		})
	}
	return sim
}

// run simulates seconds of a mix, which is given in engines' worth of work.
func (sim *simulation) run(seconds int, prefill, decode float64) {
	for range seconds {
		sim.now += time.Second
		sim.obs.Requests += 30
		sim.obs.Prefill += prefill * testPrefill
		sim.obs.Decode += decode * testDecode
		sim.finishChanges()
		var changes []Change
		for group, s := range sim.states {
			o := sim.obs
			o.Group = group
			next, cs := Plan(sim.now, o, sim.doc, s)
			sim.states[group] = next
			changes = append(changes, cs...)
		}
		sim.order(changes)
		sim.recordExtremes()
	}
}

func (sim *simulation) engine(name string) *Engine {
	for i := range sim.obs.Engines {
		if sim.obs.Engines[i].Name == name {
			return &sim.obs.Engines[i]
		}
	}
	return nil
}

func (sim *simulation) order(changes []Change) {
	for _, c := range changes {
		sim.changes = append(sim.changes, c)
		if sim.outcome == refuses {
			continue
		}
		sim.engine(c.Engine).Changing = true
		sim.changing[c.Engine] = changeSeconds
		sim.newRole[c.Engine] = c.To
	}
}

func (sim *simulation) finishChanges() {
	for name, left := range sim.changing {
		if left > 1 {
			sim.changing[name] = left - 1
			continue
		}
		delete(sim.changing, name)
		e := sim.engine(name)
		e.Changing = false
		if sim.outcome == crashes {
			e.Incarnation += "'"
			continue
		}
		e.Role = sim.newRole[name]
	}
}

func (sim *simulation) recordExtremes() {
	l := newLimits(&sim.obs, sim.doc)
	sim.minAble = [2]int{min(sim.minAble[0], l.prefill), min(sim.minAble[1], l.decode)}
	sim.maxChanging = max(sim.maxChanging, len(sim.changing))
}

func (sim *simulation) roles() map[port.Role]int {
	n := map[port.Role]int{}
	for _, e := range sim.obs.Engines {
		n[e.Role]++
	}
	return n
}

// TestPlan has one case for each guarantee of the planner.
func TestPlan(t *testing.T) {
	toPrefill := func(sim *simulation) { sim.run(60, 2.5, 4.0); sim.run(200, 5.5, 2.0) }
	cases := []struct {
		name     string
		engines  [3]int // prefill, mixed, decode
		set      func(*simulation)
		play     func(*simulation)
		min, max int // changes
	}{
		{"steady and easy", [3]int{3, 2, 4}, nil, func(sim *simulation) { sim.run(600, 2, 3) }, 0, 0},
		{"follows a lasting step", [3]int{3, 0, 6}, nil, toPrefill, 1, 4},
		{"a step that few changes are worth", [3]int{3, 0, 6}, func(sim *simulation) { sim.doc.Roles.GoodputWeight = 0.01 }, toPrefill, 0, 1},
		{"nothing asked", [3]int{3, 2, 4}, nil, func(sim *simulation) { sim.run(300, 0, 0) }, 0, 0},
		{"pinned", [3]int{3, 0, 6}, func(sim *simulation) {
			for i := range sim.obs.Engines {
				sim.obs.Engines[i].Pinned = true
			}
		}, toPrefill, 0, 0},
		{"keeps enough to decode", [3]int{1, 0, 3}, nil, func(sim *simulation) { sim.run(400, 3.5, 0.1) }, 1, 1},
		{"oscillation faster than a change pays", [3]int{3, 2, 4}, nil, func(sim *simulation) {
			for range 20 {
				sim.run(15, 4.0, 3.0)
				sim.run(15, 2.6, 4.4)
			}
		}, 0, 4},
		{"counts that begin anew", [3]int{3, 2, 4}, nil, func(sim *simulation) {
			sim.run(100, 2, 3)
			sim.obs.Requests, sim.obs.Prefill, sim.obs.Decode = 0, 0, 0
			sim.run(100, 2, 3)
		}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(c.engines[0], c.engines[1], c.engines[2])
			if c.set != nil {
				c.set(sim)
			}
			c.play(sim)
			if n := len(sim.changes); n < c.min || n > c.max {
				t.Errorf("%d changes, want %d to %d: %+v", n, c.min, c.max, sim.changes)
			}
			if sim.minAble[0] < 1 || sim.minAble[1] < 2 || sim.maxChanging > 1 {
				t.Errorf("fewest able to prefill and decode %v, most changing at once %d", sim.minAble, sim.maxChanging)
			}
		})
	}
}

// Guards against an engine that never does any work because the planner orders it again
// right after each crash or refusal. This happens when the planner doesn't keep the outcome
// of its last order.
func TestFailedChangeBacksOff(t *testing.T) {
	for _, reaction := range []outcome{refuses, crashes} {
		sim := newSimulation(3, 0, 6)
		sim.outcome = reaction
		sim.run(60, 2.5, 4.0)
		sim.run(600, 5.5, 2.0)
		orders := map[string]int{}
		for _, c := range sim.changes {
			orders[c.Engine]++
		}
		for name, n := range orders {
			if n > 5 { // 30 s, then doubling: five orders in 600 s
				t.Errorf("outcome %d: %s got %d orders", reaction, name, n)
			}
		}
		if len(sim.changes) < 2 {
			t.Errorf("outcome %d: gave up after %d orders", reaction, len(sim.changes))
		}
	}
}

// Guards against roles that overshoot at each shift. Every availability zone has its own
// planner and all observe the same shift, so only the one of the best engine's zone must
// order the change.
func TestGroupsDontOrderTogether(t *testing.T) {
	one := newSimulation(3, 0, 6)
	three := newSimulation(3, 0, 6)
	three.states = map[string]State{"g0": {}, "g1": {}, "g2": {}}
	for _, sim := range []*simulation{one, three} {
		sim.run(60, 2.5, 4.0)
		sim.run(200, 5.5, 2.0)
	}
	if one.roles()[port.RolePrefill] == 3 {
		t.Fatal("a single planner made no change")
	}
	if !reflect.DeepEqual(one.roles(), three.roles()) || len(three.changes) > len(one.changes) || three.maxChanging > 1 {
		t.Errorf("three planners: %v in %d changes, %d at once; one: %v in %d", three.roles(), len(three.changes), three.maxChanging, one.roles(), len(one.changes))
	}
}

// Guards against changes of all roles when an entry VM is added. Each process scales the
// demand of its own callers by the number of processes. If the cumulative counts were
// scaled instead of their increments, a new number of processes would look like an hour's
// requests within a second.
func TestNumberOfProcessesChanges(t *testing.T) {
	sim := newSimulation(3, 2, 4)
	for _, n := range []int{8, 7, 8, 9, 8} {
		sim.obs.Processes = n
		sim.run(120, 2.0/float64(n), 3.0/float64(n))
	}
	m := sim.states[""].Demand.Fast
	if m.Prefill > 2.1*testPrefill || m.Decode > 3.1*testDecode || len(sim.changes) > 0 {
		t.Errorf("demand %+v, changes %+v", m, sim.changes)
	}
}

// Guards against a process that takes over a group and then orders nothing for minutes.
// Without a group it recorded each change that it couldn't order as refused, and backed
// off from all engines.
func TestNoGroupNoOrders(t *testing.T) {
	sim := newSimulation(3, 0, 6)
	sim.obs.Groups = []string{}
	sim.run(60, 2.5, 4.0)
	sim.run(60, 5.5, 2.0)
	if len(sim.changes) > 0 {
		t.Fatalf("ordered %+v", sim.changes)
	}
	sim.obs.Groups = []string{"g0", "g1", "g2"}
	sim.run(5, 5.5, 2.0)
	if len(sim.changes) == 0 {
		t.Error("nothing ordered after the takeover")
	}
}

// Guards against a fleet of almost only idle prefill engines. Under light load they take
// small steps and report low rates. If these were taken for their capacity, the planner
// would add prefill engines, and each would get still less load.
func TestIdleEnginesDontLookSlow(t *testing.T) {
	sim := newSimulation(3, 0, 6)
	for i := range sim.obs.Engines {
		sim.obs.Engines[i].Load.PrefillRate = testPrefill / 4
	}
	sim.run(300, 2.2, 4)
	if r := sim.states[""].Rates.Prefill; r < testPrefill {
		t.Errorf("estimated prefill rate %.0f tokens/s is too low", r)
	}
	if len(sim.changes) > 0 {
		t.Errorf("changes %+v", sim.changes)
	}
}

func TestEstimatesRates(t *testing.T) {
	sim := newSimulation(3, 2, 4)
	for i := range sim.obs.Engines {
		l := &sim.obs.Engines[i].Load
		l.Running = 10 + 18*max(i-5, 0)
		l.DecodeRate = float64(l.Running) / (0.030 + float64(l.Running)*0.0005)
		if sim.obs.Engines[i].Role == port.RolePrefill {
			l.QueuedPrefill, l.PrefillRate = 20_000, 10_000
		}
	}
	sim.run(600, 1, 1)
	r := sim.states[""].Rates
	near := func(got, want float64) bool { return got > want*0.9 && got < want*1.1 }
	if !near(r.Prefill, 10_000) || !near(r.Base, 0.030) || !near(r.PerStream, 0.0005) {
		t.Errorf("prefill %.0f, base %.4f, per stream %.6f", r.Prefill, r.Base, r.PerStream)
	}
}

// TestPlanIsPure checks that Plan is deterministic and doesn't modify its arguments.
func TestPlanIsPure(t *testing.T) {
	sim := newSimulation(3, 0, 6)
	sim.run(60, 2.5, 4.0)
	sim.run(10, 5.5, 2.0)
	prev := sim.states[""]
	kept := append([]EngineState(nil), prev.Engines...)
	for range 30 {
		a, ca := Plan(sim.now+time.Second, sim.obs, sim.doc, prev)
		b, cb := Plan(sim.now+time.Second, sim.obs, sim.doc, prev)
		if !reflect.DeepEqual(a, b) || !reflect.DeepEqual(ca, cb) {
			t.Fatal("two calls with the same arguments differ")
		}
	}
	if !reflect.DeepEqual(kept, prev.Engines) {
		t.Error("Plan modified its previous state")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{12, 100, 710} {
		sim := newSimulation(n/3, n/3, n-2*(n/3))
		sim.run(60, float64(n)/4, float64(n)/3)
		prev := sim.states[""]
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				Plan(sim.now+time.Duration(i)*time.Second, sim.obs, sim.doc, prev)
			}
		})
	}
}
