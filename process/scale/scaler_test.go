package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/discovery"
	"github.com/pomelospool/pomelospool/process/internal/storetest"
	"github.com/pomelospool/pomelospool/version/inforce"
	"github.com/pomelospool/pomelospool/version/route"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

const (
	lease = 3 * time.Second
	boot  = 4 * time.Second
	drain = 3 * time.Second
)

// fakePlatform starts and stops the targets of a service, and serves as the store and
// as the registry that lists them.
type fakePlatform struct {
	storetest.Store
	mu          sync.Mutex
	registry    *discovery.Registry
	targets     map[string]port.TargetEntry
	nextID      int
	fence       int64
	staleOrders int // orders with an old fencing number
	calls       int
	exhausted   map[string]bool // availability zones without reclaimable targets
	err         error
	minServing  int // fewest targets that served after any order
}

func newFakePlatform() *fakePlatform {
	p := &fakePlatform{targets: make(map[string]port.TargetEntry), exhausted: make(map[string]bool), minServing: 1 << 30}
	p.registry = discovery.New(discovery.Options{Decode: decodeEntry})
	return p
}

func decodeEntry(r port.KeyedRecord) (port.TargetEntry, bool, error) {
	if r.Value == nil {
		return port.TargetEntry{ID: r.Key}, false, nil
	}
	var e port.TargetEntry
	err := json.Unmarshal(r.Value, &e)
	return e, true, err
}

// add starts targets without delay.
func (p *fakePlatform) add(zone string, spot bool, n int) {
	for range n {
		id := fmt.Sprintf("e%03d", p.nextID)
		p.nextID++
		p.set(port.TargetEntry{ID: id, Service: "llm", Addr: "10.0.0.1:1", Zone: zone, Slots: 64, Spot: spot})
	}
}

func (p *fakePlatform) set(e port.TargetEntry) {
	p.targets[e.ID] = e
	value, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	p.registry.Apply([]port.KeyedRecord{{Key: e.ID, Value: value}})
}

func (p *fakePlatform) remove(id string) {
	delete(p.targets, id)
	p.registry.Apply([]port.KeyedRecord{{Key: id}})
}

// staying returns the sorted IDs of a zone's targets that aren't leaving.
func (p *fakePlatform) staying(zone string, spot bool) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		if e := p.targets[id]; e.Zone == zone && e.Spot == spot && !e.Leaving {
			out = append(out, id)
		}
	}
	return out
}

func (p *fakePlatform) count() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	var entries []*port.TargetEntry
	for _, e := range p.targets {
		entries = append(entries, &e)
	}
	return count(entries)
}

func (p *fakePlatform) ReportUsage(context.Context, port.DutyCall, int64, map[string]uint32) error {
	return errors.New("not used")
}

// Scale implements port.Duties. Targets start after boot and are removed after drain.
func (p *fakePlatform) Scale(_ context.Context, call port.DutyCall, o port.ScaleOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.err != nil {
		return p.err
	}
	if call.Fence < p.fence {
		p.staleOrders++
		return port.ErrRefused
	}
	p.fence = call.Fence
	if o.Spot && p.exhausted[o.Zone] {
		return port.ErrRefused
	}
	have := p.staying(o.Zone, o.Spot)
	if n := o.Desired - len(have); n > 0 {
		time.AfterFunc(boot, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.add(o.Zone, o.Spot, min(n, o.Desired-len(p.staying(o.Zone, o.Spot))))
		})
	}
	for len(have) > o.Desired {
		id := have[len(have)-1]
		have = have[:len(have)-1]
		e := p.targets[id]
		e.Leaving = true
		p.set(e)
		time.AfterFunc(drain, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.remove(id)
		})
	}
	p.minServing = min(p.minServing, len(p.staying("a", true))+len(p.staying("b", true))+len(p.staying("c", true))+len(p.staying("a", false))+len(p.staying("b", false))+len(p.staying("c", false)))
	return nil
}

// reclaim removes all reclaimable targets of a zone.
func (p *fakePlatform) reclaim(zone string, dry bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exhausted[zone] = dry
	for _, id := range p.staying(zone, true) {
		p.remove(id)
	}
}

// fakeRoster is a Roster whose answer tests set.
type fakeRoster struct {
	mu sync.Mutex
	on bool
}

func (r *fakeRoster) MayLead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.on
}

func (r *fakeRoster) set(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.on = on
}

// startScaler starts a daemon's Scaler.
func (p *fakePlatform) startScaler(t *testing.T, name string, steady clock.Clock, on bool) *fakeRoster {
	holder := inforce.New(func(port.KeyedRecord) (*route.Config, bool, error) {
		sc := newScaling()
		sc.BootTime = boot
		services := []*route.Service{{Name: "llm", Engine: &route.Engine{Slots: 64}, Scaling: sc}, {Name: "app"}}
		return route.New(1, nil, services, route.Limits{}, nil), true, nil
	})
	holder.Apply([]port.KeyedRecord{{}})
	l := &fakeRoster{on: on}
	s := New(Options{
		Self: name, Clock: steady, Roster: l, Store: p, Duties: p, Targets: p.registry, Config: holder,
		Claims: claim.New(claim.Options{Self: name, Store: p, Lease: lease, Clock: steady, Ages: claim.NewAgeTracker(steady)}),
	})
	s.Start()
	t.Cleanup(func() { _ = s.Stop() })
	return l
}

func withPlatform(t *testing.T, test func(t *testing.T, p *fakePlatform, steady clock.Clock)) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform()
		p.registry.Reset(nil, 0)
		for _, zone := range zones {
			p.add(zone, false, 47)
		}
		test(t, p, clock.NewRuntime())
	})
}

func TestFleetBecomesReclaimable(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *fakePlatform, steady clock.Clock) {
		p.startScaler(t, "vm-1", steady, true)
		time.Sleep(time.Minute)
		if got, want := p.count(), Cheapest(141, zones, nil, newScaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
		if p.minServing < 141 {
			t.Errorf("only %d of 141 targets served during the change", p.minServing)
		}
		calls := p.calls
		time.Sleep(time.Minute)
		if p.calls != calls {
			t.Errorf("%d orders for a fleet that needs no change", p.calls-calls)
		}
	})
}

// Guards against a zone that stays without reclaimable targets after a reclaim, and
// against a storm of orders while the platform has none.
func TestReclaimOfAZone(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *fakePlatform, steady clock.Clock) {
		p.startScaler(t, "vm-1", steady, true)
		// Both ends of the 20 s are between two checks of the scaler, so that it
		// is certain which orders are counted.
		time.Sleep(time.Minute + scaleInterval/2)
		calls := p.calls
		p.reclaim("b", true)
		time.Sleep(20 * time.Second)
		if n := p.calls - calls; n == 0 || n > 12 {
			t.Errorf("%d orders in 20 s", n)
		}
		p.mu.Lock()
		p.exhausted["b"] = false
		p.mu.Unlock()
		time.Sleep(spotSurplusDelay + 20*time.Second)
		if got, want := p.count(), Cheapest(141, zones, nil, newScaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
}

// Guards against orders from two daemons in turn, and against a new leader that takes
// the targets present during a reclaim for the service's capacity.
func TestLeaderChangesDuringAReclaim(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *fakePlatform, steady clock.Clock) {
		first := p.startScaler(t, "vm-1", steady, true)
		second := p.startScaler(t, "vm-2", steady, false)
		time.Sleep(time.Minute)
		first.set(false)
		p.reclaim("a", false)
		second.set(true)
		time.Sleep(40 * time.Second)
		if got, want := p.count(), Cheapest(141, zones, nil, newScaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
		if p.staleOrders > 0 {
			t.Errorf("%d orders with an old fencing number", p.staleOrders)
		}
	})
}

// Guards against a new leader that removes the replacements for an exhausted zone.
func TestNewLeaderKeepsReplacements(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *fakePlatform, steady clock.Clock) {
		first := p.startScaler(t, "vm-1", steady, true)
		second := p.startScaler(t, "vm-2", steady, false)
		time.Sleep(time.Minute)
		p.reclaim("a", true)
		time.Sleep(2 * boot)
		before := p.count().total()
		first.set(false)
		second.set(true)
		time.Sleep(2 * boot)
		if now := p.count().total(); now.Spot < before.Spot {
			t.Errorf("%d reclaimable targets, %d before the change of leader", now.Spot, before.Spot)
		}
	})
}

// Guards against replacements that are still ordered once the exhausted zone has targets
// again. They would concentrate the targets in one zone, whose loss costs the most.
func TestZoneIsNoLongerExhausted(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *fakePlatform, steady clock.Clock) {
		p.startScaler(t, "vm-1", steady, true)
		time.Sleep(time.Minute)
		for _, zone := range zones {
			p.exhausted[zone] = true
		}
		p.reclaim("a", true)
		time.Sleep(3 * time.Second)
		p.mu.Lock()
		clear(p.exhausted)
		p.mu.Unlock()
		time.Sleep(2*refusalBackoff + boot)
		best := Cheapest(141, zones, nil, newScaling())
		for zone, one := range p.count() {
			if one.Spot > best[zone].Spot {
				t.Errorf("zone %s: %+v, want %+v", zone, one, best[zone])
			}
		}
	})
}

func TestPlatformOutage(t *testing.T) {
	withPlatform(t, func(t *testing.T, p *fakePlatform, steady clock.Clock) {
		p.err = port.ErrUnavailable
		p.startScaler(t, "vm-1", steady, true)
		time.Sleep(20 * time.Second)
		if p.calls == 0 || p.calls > 60 {
			t.Errorf("%d calls in 20 s", p.calls)
		}
		p.mu.Lock()
		p.err = nil
		p.mu.Unlock()
		time.Sleep(time.Minute)
		if got, want := p.count(), Cheapest(141, zones, nil, newScaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
}
