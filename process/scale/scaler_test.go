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
	c := &fakePlatform{targets: make(map[string]port.TargetEntry), exhausted: make(map[string]bool), minServing: 1 << 30}
	c.registry = discovery.New(discovery.Options{Decode: decodeEntry})
	return c
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
func (c *fakePlatform) add(zone string, spot bool, n int) {
	for range n {
		id := fmt.Sprintf("e%03d", c.nextID)
		c.nextID++
		c.set(port.TargetEntry{ID: id, Service: "llm", Addr: "10.0.0.1:1", Zone: zone, Slots: 64, Spot: spot})
	}
}

func (c *fakePlatform) set(e port.TargetEntry) {
	c.targets[e.ID] = e
	value, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	c.registry.Apply([]port.KeyedRecord{{Key: e.ID, Value: value}})
}

func (c *fakePlatform) remove(id string) {
	delete(c.targets, id)
	c.registry.Apply([]port.KeyedRecord{{Key: id}})
}

// staying returns the sorted IDs of a zone's targets that aren't leaving.
func (c *fakePlatform) staying(zone string, spot bool) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		if e := c.targets[id]; e.Zone == zone && e.Spot == spot && !e.Leaving {
			out = append(out, id)
		}
	}
	return out
}

func (c *fakePlatform) count() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []*port.TargetEntry
	for _, e := range c.targets {
		entries = append(entries, &e)
	}
	return count(entries)
}

func (c *fakePlatform) ReportUsage(context.Context, port.DutyCall, int64, map[string]uint32) error {
	return errors.New("not used")
}

// Scale implements port.Duties. Targets start after boot and are removed after drain.
func (c *fakePlatform) Scale(_ context.Context, call port.DutyCall, o port.ScaleOrder) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.err != nil {
		return c.err
	}
	if call.Fence < c.fence {
		c.staleOrders++
		return port.ErrRefused
	}
	c.fence = call.Fence
	if o.Spot && c.exhausted[o.Zone] {
		return port.ErrRefused
	}
	have := c.staying(o.Zone, o.Spot)
	if n := o.Desired - len(have); n > 0 {
		time.AfterFunc(boot, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.add(o.Zone, o.Spot, min(n, o.Desired-len(c.staying(o.Zone, o.Spot))))
		})
	}
	for len(have) > o.Desired {
		id := have[len(have)-1]
		have = have[:len(have)-1]
		e := c.targets[id]
		e.Leaving = true
		c.set(e)
		time.AfterFunc(drain, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.remove(id)
		})
	}
	c.minServing = min(c.minServing, len(c.staying("a", true))+len(c.staying("b", true))+len(c.staying("c", true))+len(c.staying("a", false))+len(c.staying("b", false))+len(c.staying("c", false)))
	return nil
}

// reclaim removes all reclaimable targets of a zone.
func (c *fakePlatform) reclaim(zone string, dry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exhausted[zone] = dry
	for _, id := range c.staying(zone, true) {
		c.remove(id)
	}
}

// fakeRoster is a Roster whose answer tests set.
type fakeRoster struct {
	mu sync.Mutex
	on bool
}

func (l *fakeRoster) MayLead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.on
}

func (l *fakeRoster) set(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = on
}

// startScaler starts a daemon's Scaler.
func (c *fakePlatform) startScaler(t *testing.T, name string, steady clock.Clock, on bool) *fakeRoster {
	holder := inforce.New(func(port.KeyedRecord) (*route.Config, bool, error) {
		sc := newScaling()
		sc.Boot = boot
		services := []*route.Service{{Name: "llm", Engine: &route.Engine{Slots: 64}, Scaling: sc}, {Name: "app"}}
		return route.New(1, nil, services, route.Limits{}, nil), true, nil
	})
	holder.Apply([]port.KeyedRecord{{}})
	l := &fakeRoster{on: on}
	s := New(Options{
		Self: name, Clock: steady, Roster: l, Store: c, Duties: c, Targets: c.registry, Config: holder,
		Claims: claim.New(claim.Options{Self: name, Store: c, Lease: lease, Clock: steady, Seen: claim.NewSightings(steady)}),
	})
	s.Start()
	t.Cleanup(func() { _ = s.Stop() })
	return l
}

func withPlatform(t *testing.T, test func(t *testing.T, c *fakePlatform, steady clock.Clock)) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakePlatform()
		c.registry.Reset(nil, 0)
		for _, zone := range zones {
			c.add(zone, false, 47)
		}
		test(t, c, clock.NewRuntime())
	})
}

func TestFleetBecomesReclaimable(t *testing.T) {
	withPlatform(t, func(t *testing.T, c *fakePlatform, steady clock.Clock) {
		c.startScaler(t, "vm-1", steady, true)
		time.Sleep(time.Minute)
		if got, want := c.count(), Cheapest(141, zones, nil, newScaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
		if c.minServing < 141 {
			t.Errorf("only %d of 141 targets served during the change", c.minServing)
		}
		calls := c.calls
		time.Sleep(time.Minute)
		if c.calls != calls {
			t.Errorf("%d orders for a fleet that needs no change", c.calls-calls)
		}
	})
}

// Guards against a zone that stays without reclaimable targets after a reclaim, and
// against a storm of orders while the platform has none.
func TestReclaimOfAZone(t *testing.T) {
	withPlatform(t, func(t *testing.T, c *fakePlatform, steady clock.Clock) {
		c.startScaler(t, "vm-1", steady, true)
		time.Sleep(time.Minute)
		calls := c.calls
		c.reclaim("b", true)
		time.Sleep(20 * time.Second)
		if n := c.calls - calls; n == 0 || n > 12 {
			t.Errorf("%d orders in 20 s", n)
		}
		c.mu.Lock()
		c.exhausted["b"] = false
		c.mu.Unlock()
		time.Sleep(spotSurplusDelay + 20*time.Second)
		if got, want := c.count(), Cheapest(141, zones, nil, newScaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
}

// Guards against orders from two daemons in turn, and against a new leader that takes
// the targets present during a reclaim for the service's capacity.
func TestLeaderChangesDuringAReclaim(t *testing.T) {
	withPlatform(t, func(t *testing.T, c *fakePlatform, steady clock.Clock) {
		first := c.startScaler(t, "vm-1", steady, true)
		second := c.startScaler(t, "vm-2", steady, false)
		time.Sleep(time.Minute)
		first.set(false)
		c.reclaim("a", false)
		second.set(true)
		time.Sleep(40 * time.Second)
		if got, want := c.count(), Cheapest(141, zones, nil, newScaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
		if c.staleOrders > 0 {
			t.Errorf("%d orders with an old fencing number", c.staleOrders)
		}
	})
}

// Guards against a new leader that removes the replacements for an exhausted zone.
func TestNewLeaderKeepsReplacements(t *testing.T) {
	withPlatform(t, func(t *testing.T, c *fakePlatform, steady clock.Clock) {
		first := c.startScaler(t, "vm-1", steady, true)
		second := c.startScaler(t, "vm-2", steady, false)
		time.Sleep(time.Minute)
		c.reclaim("a", true)
		time.Sleep(2 * boot)
		before := c.count().total()
		first.set(false)
		second.set(true)
		time.Sleep(2 * boot)
		if now := c.count().total(); now.Spot < before.Spot {
			t.Errorf("%d reclaimable targets, %d before the change of leader", now.Spot, before.Spot)
		}
	})
}

// Guards against replacements that are still ordered once the exhausted zone has targets
// again. They would concentrate the targets in one zone, whose loss costs the most.
func TestZoneIsNoLongerExhausted(t *testing.T) {
	withPlatform(t, func(t *testing.T, c *fakePlatform, steady clock.Clock) {
		c.startScaler(t, "vm-1", steady, true)
		time.Sleep(time.Minute)
		for _, zone := range zones {
			c.exhausted[zone] = true
		}
		c.reclaim("a", true)
		time.Sleep(3 * time.Second)
		c.mu.Lock()
		clear(c.exhausted)
		c.mu.Unlock()
		time.Sleep(2*refusalBackoff + boot)
		best := Cheapest(141, zones, nil, newScaling())
		for zone, one := range c.count() {
			if one.Spot > best[zone].Spot {
				t.Errorf("zone %s: %+v, want %+v", zone, one, best[zone])
			}
		}
	})
}

func TestPlatformOutage(t *testing.T) {
	withPlatform(t, func(t *testing.T, c *fakePlatform, steady clock.Clock) {
		c.err = port.ErrUnavailable
		c.startScaler(t, "vm-1", steady, true)
		time.Sleep(20 * time.Second)
		if c.calls == 0 || c.calls > 60 {
			t.Errorf("%d calls in 20 s", c.calls)
		}
		c.mu.Lock()
		c.err = nil
		c.mu.Unlock()
		time.Sleep(time.Minute)
		if got, want := c.count(), Cheapest(141, zones, nil, newScaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
}
