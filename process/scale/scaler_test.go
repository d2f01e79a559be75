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

// cloud is a platform that starts and stops the targets of a service, and the
// store that lists them.
type cloud struct {
	storetest.Store
	mu       sync.Mutex
	registry *discovery.Registry
	targets  map[string]port.TargetEntry
	next     int
	fence    int64
	stale    int // orders with an old fencing number
	calls    int
	dry      map[string]bool // availability zones without reclaimable targets
	fail     error
	least    int // fewest targets that served at a time, once there were some
}

func newCloud() *cloud {
	c := &cloud{targets: make(map[string]port.TargetEntry), dry: make(map[string]bool), least: 1 << 30}
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

// add starts targets at once.
func (c *cloud) add(zone string, spot bool, n int) {
	for range n {
		id := fmt.Sprintf("e%03d", c.next)
		c.next++
		c.set(port.TargetEntry{ID: id, Service: "llm", Addr: "10.0.0.1:1", Zone: zone, Slots: 64, Spot: spot})
	}
}

func (c *cloud) set(e port.TargetEntry) {
	c.targets[e.ID] = e
	value, err := json.Marshal(e)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	c.registry.Apply([]port.KeyedRecord{{Key: e.ID, Value: value}})
}

func (c *cloud) remove(id string) {
	delete(c.targets, id)
	c.registry.Apply([]port.KeyedRecord{{Key: id}})
}

// of returns the ids of a kind that stay, in order.
func (c *cloud) of(zone string, spot bool) []string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		if e := c.targets[id]; e.Zone == zone && e.Spot == spot && !e.Leaving {
			out = append(out, id)
		}
	}
	return out
}

func (c *cloud) count() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []*port.TargetEntry
	for _, e := range c.targets {
		entries = append(entries, &e)
	}
	return count(entries)
}

func (c *cloud) ReportUsage(context.Context, port.DutyCall, int64, map[string]uint32) error {
	return errors.New("not used")
}

// Scale implements port.Duties. Targets start after boot and leave after drain.
func (c *cloud) Scale(_ context.Context, call port.DutyCall, o port.ScaleOrder) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.fail != nil {
		return c.fail
	}
	if call.Fence < c.fence {
		c.stale++
		return port.ErrRefused
	}
	c.fence = call.Fence
	if o.Spot && c.dry[o.Zone] {
		return port.ErrRefused
	}
	have := c.of(o.Zone, o.Spot)
	if n := o.Desired - len(have); n > 0 {
		time.AfterFunc(boot, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.add(o.Zone, o.Spot, min(n, o.Desired-len(c.of(o.Zone, o.Spot))))
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
	c.least = min(c.least, len(c.of("a", true))+len(c.of("b", true))+len(c.of("c", true))+len(c.of("a", false))+len(c.of("b", false))+len(c.of("c", false)))
	return nil
}

// reclaim takes all reclaimable targets of a zone.
func (c *cloud) reclaim(zone string, dry bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dry[zone] = dry
	for _, id := range c.of(zone, true) {
		c.remove(id)
	}
}

// leader leads or not.
type leader struct {
	mu sync.Mutex
	on bool
}

func (l *leader) MayLead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.on
}

func (l *leader) set(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = on
}

// scaler starts a daemon's Scaler.
func (c *cloud) scaler(t *testing.T, name string, steady clock.Clock, on bool) *leader {
	holder := inforce.New(func(port.KeyedRecord) (*route.Config, bool, error) {
		sc := scaling()
		sc.Boot = boot
		services := []*route.Service{{Name: "llm", Engine: &route.Engine{Slots: 64}, Scaling: sc}, {Name: "app"}}
		return route.New(1, nil, services, route.Limits{}, nil), true, nil
	})
	holder.Apply([]port.KeyedRecord{{}})
	l := &leader{on: on}
	s := New(Options{
		Self: name, Clock: steady, Roster: l, Store: c, Duties: c, Targets: c.registry, Config: holder,
		Claims: claim.New(claim.Options{Self: name, Store: c, Lease: lease, Clock: steady, Seen: claim.NewSightings(steady)}),
	})
	s.Start()
	t.Cleanup(func() { _ = s.Stop() })
	return l
}

func withCloud(t *testing.T, test func(t *testing.T, c *cloud, steady clock.Clock)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCloud()
		c.registry.Reset(nil, 0)
		for _, zone := range zones {
			c.add(zone, false, 47)
		}
		test(t, c, clock.NewRuntime())
	})
}

func TestFleetBecomesReclaimable(t *testing.T) {
	withCloud(t, func(t *testing.T, c *cloud, steady clock.Clock) {
		c.scaler(t, "vm-1", steady, true)
		time.Sleep(time.Minute)
		if got, want := c.count(), Best(141, zones, nil, scaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
		if c.least < 141 {
			t.Errorf("%d targets of 141 on the way", c.least)
		}
		calls := c.calls
		time.Sleep(time.Minute)
		if c.calls != calls {
			t.Errorf("%d orders for a fleet that is as wanted", c.calls-calls)
		}
	})
}

// Guards against a zone that stays empty after its reclaimable targets were
// taken, and against a storm of orders while none are to be had.
func TestZoneIsReclaimed(t *testing.T) {
	withCloud(t, func(t *testing.T, c *cloud, steady clock.Clock) {
		c.scaler(t, "vm-1", steady, true)
		time.Sleep(time.Minute)
		calls := c.calls
		c.reclaim("b", true)
		time.Sleep(20 * time.Second)
		if n := c.calls - calls; n == 0 || n > 12 {
			t.Errorf("%d orders in 20 s", n)
		}
		c.mu.Lock()
		c.dry["b"] = false
		c.mu.Unlock()
		time.Sleep(surplusFor + 20*time.Second)
		if got, want := c.count(), Best(141, zones, nil, scaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
}

// Guards against two daemons that order in turn, and against a new leader that
// takes what is present during a reclaim for the service's capacity.
func TestLeaderChangesDuringAReclaim(t *testing.T) {
	withCloud(t, func(t *testing.T, c *cloud, steady clock.Clock) {
		first := c.scaler(t, "vm-1", steady, true)
		second := c.scaler(t, "vm-2", steady, false)
		time.Sleep(time.Minute)
		first.set(false)
		c.reclaim("a", false)
		second.set(true)
		time.Sleep(40 * time.Second)
		if got, want := c.count(), Best(141, zones, nil, scaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
		if c.stale > 0 {
			t.Errorf("%d orders with an old fencing number", c.stale)
		}
	})
}

// Guards against a new leader that takes away what stands in for a dry zone.
func TestNewLeaderKeepsStandIns(t *testing.T) {
	withCloud(t, func(t *testing.T, c *cloud, steady clock.Clock) {
		first := c.scaler(t, "vm-1", steady, true)
		second := c.scaler(t, "vm-2", steady, false)
		time.Sleep(time.Minute)
		c.reclaim("a", true)
		time.Sleep(2 * boot)
		before := c.count().total()
		first.set(false)
		second.set(true)
		time.Sleep(2 * boot)
		if now := c.count().total(); now.Spot < before.Spot {
			t.Errorf("%d reclaimable targets after %d", now.Spot, before.Spot)
		}
	})
}

// Guards against stand-ins that are ordered when the dry zone has targets again:
// the zone with the most is the worst one to lose next.
func TestZoneThatIsNoLongerDry(t *testing.T) {
	withCloud(t, func(t *testing.T, c *cloud, steady clock.Clock) {
		c.scaler(t, "vm-1", steady, true)
		time.Sleep(time.Minute)
		for _, zone := range zones {
			c.dry[zone] = true
		}
		c.reclaim("a", true)
		time.Sleep(3 * time.Second)
		c.mu.Lock()
		clear(c.dry)
		c.mu.Unlock()
		time.Sleep(2*refusedFor + boot)
		best := Best(141, zones, nil, scaling())
		for zone, one := range c.count() {
			if one.Spot > best[zone].Spot {
				t.Errorf("zone %s: %+v, want %+v", zone, one, best[zone])
			}
		}
	})
}

func TestOutageOfThePlatform(t *testing.T) {
	withCloud(t, func(t *testing.T, c *cloud, steady clock.Clock) {
		c.fail = port.ErrUnavailable
		c.scaler(t, "vm-1", steady, true)
		time.Sleep(20 * time.Second)
		if c.calls == 0 || c.calls > 60 {
			t.Errorf("%d calls in 20 s", c.calls)
		}
		c.mu.Lock()
		c.fail = nil
		c.mu.Unlock()
		time.Sleep(time.Minute)
		if got, want := c.count(), Best(141, zones, nil, scaling()); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
}
