// Package scale orders the numbers of targets of scalable services. Most targets are
// reclaimable ones, which cost a fraction of on-demand targets. There are enough of
// them that a service keeps its capacity when one availability zone loses all of its
// reclaimable targets. One daemon at a time sends orders, under a claim.
package scale

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/discovery"
	"github.com/pomelospool/pomelospool/version/inforce"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	// scaleInterval is the time between two checks of the targets.
	scaleInterval = 250 * time.Millisecond
	// takeoverDelay is how long a daemon leads before its first order, since its list
	// of targets may date from before a network partition.
	takeoverDelay = 1500 * time.Millisecond
	// settleTime is how long no new target must have appeared before a service's
	// capacity is taken from its targets. The list is incomplete while a fleet starts.
	settleTime = 1200 * time.Millisecond
	// onDemandDelay is how long the number of on-demand targets must differ before an
	// order, since targets are replaced and restarted all the time.
	onDemandDelay = 2 * time.Second
	// spotSurplusDelay is the same for surplus reclaimable targets. They cost little,
	// and their prefix caches are lost with them.
	spotSurplusDelay = 20 * time.Second
	// fluctuationShare is the share of the present on-demand targets below which a
	// wanted number is ordered at once, since it is more than a fluctuation.
	fluctuationShare = 0.8
	// minOrderInterval is the least time between two orders for the same orderKey.
	minOrderInterval = time.Second
	// bootMargin is added to the boot time of targets before the same number is ordered
	// again.
	bootMargin = 3 * time.Second
	// refusalBackoff is how long the same number isn't ordered again after an order
	// has failed.
	refusalBackoff = 2 * time.Second
	// callTimeout is the timeout of one order.
	callTimeout = time.Second
)

// claimSubject is the subject of the claim that the ordering daemon holds.
const claimSubject = "/scale"

var stats = expvar.NewMap("scale")

// Roster reports whether this daemon may lead.
type Roster interface{ MayLead() bool }

// Options configures a Scaler. All fields are required.
type Options struct {
	Self    string // this VM's name
	Clock   clock.Clock
	Roster  Roster
	Store   port.Store
	Claims  *claim.Claims // not shared with other goroutines
	Duties  port.Duties
	Targets *discovery.Registry
	Config  *inforce.Holder
}

// Scaler orders targets while this daemon leads.
type Scaler struct {
	o    Options
	tomb tomb.Tomb

	// The fields below are used by the scaler's goroutine only.
	leadingSince time.Duration // when this daemon began to lead; negative: it doesn't
	capacity     map[string]int
	orders       map[orderKey]*orderState
}

// orderKey identifies the targets whose number is ordered together.
type orderKey struct {
	service, zone string
	spot          bool
}

// orderState is the state of the orders for one orderKey.
type orderState struct {
	differsSince    time.Duration // when the present number began to differ from the wanted one; negative: it doesn't
	lastOrdered     int           // last number ordered; negative: none
	notBefore       time.Duration // earliest time of the next order
	repeatNotBefore time.Duration // earliest time of another order of the same number
}

// New returns a Scaler that isn't running yet.
func New(o Options) *Scaler {
	return &Scaler{o: o, leadingSince: -1, capacity: make(map[string]int), orders: make(map[orderKey]*orderState)}
}

// Start runs the scaler in a goroutine of its own.
func (s *Scaler) Start() { s.tomb.Go(s.loop) }

// Stop ends the scaler and waits for its goroutine.
func (s *Scaler) Stop() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func (s *Scaler) loop() error {
	ctx := s.tomb.Context(context.Background())
	tick := time.NewTicker(scaleInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-tick.C:
		}
		if cfg := s.o.Config.Load(); cfg != nil && s.mayOrder() {
			for _, svc := range cfg.Services {
				s.scaleService(ctx, svc)
			}
		}
	}
}

// mayOrder reports whether this daemon has led for takeoverDelay.
func (s *Scaler) mayOrder() bool {
	if !s.o.Roster.MayLead() {
		s.leadingSince = -1
		clear(s.capacity)
		clear(s.orders)
		return false
	}
	if s.leadingSince < 0 {
		s.leadingSince = s.o.Clock.Now()
	}
	return s.o.Clock.Now()-s.leadingSince >= takeoverDelay
}

// scaleService orders the targets that a service lacks, and the removal of surplus ones.
// While the service's capacity is unknown, the number of on-demand targets present is
// used instead, and only reclaimable targets are ordered.
func (s *Scaler) scaleService(ctx context.Context, svc *route.Service) {
	snap := s.o.Targets.Snapshot()
	if svc.Scaling == nil || !snap.Listed {
		return
	}
	present := count(snap.Targets[svc.Name].All().All())
	capacity, err := s.capacityOf(ctx, svc.Name, present, time.Since(snap.LastAdded))
	if err != nil {
		log.WithError(err).WithField("service", svc.Name).Warn("scale: can't read or store the service's capacity")
		return
	}
	zones := allowedZones(present, svc.Scaling)
	if capacity == 0 {
		onDemand := present.total().OnDemand
		s.orderSpot(ctx, svc, zones, present, Next(present, Cheapest(onDemand, zones, nil, svc.Scaling), onDemand, svc.Scaling))
		return
	}
	want := Next(present, Cheapest(capacity, zones, nil, svc.Scaling), capacity, svc.Scaling)
	if exhausted := s.orderSpot(ctx, svc, zones, present, want); len(exhausted) > 0 {
		want = Next(present, Cheapest(capacity, zones, exhausted, svc.Scaling), capacity, svc.Scaling)
		s.orderSpot(ctx, svc, zones, present, want)
	}
	for _, zone := range zones {
		s.reconcile(ctx, svc, orderKey{svc.Name, zone, false}, present[zone].OnDemand, want[zone].OnDemand)
	}
}

// orderSpot orders reclaimable targets, and returns the zones in which the platform
// refused them.
func (s *Scaler) orderSpot(ctx context.Context, svc *route.Service, zones []string, present, want Counts) map[string]bool {
	exhausted := make(map[string]bool)
	for _, zone := range zones {
		if s.reconcile(ctx, svc, orderKey{svc.Name, zone, true}, present[zone].Spot, want[zone].Spot) {
			exhausted[zone] = true
		}
	}
	return exhausted
}

// count returns the numbers of the targets that aren't leaving.
func count(entries []*port.TargetEntry) Counts {
	out := make(Counts)
	for _, e := range entries {
		if e.Leaving {
			continue
		}
		one := out[e.Zone]
		if e.Spot {
			one.Spot++
		} else {
			one.OnDemand++
		}
		out[e.Zone] = one
	}
	return out
}

// allowedZones returns the availability zones in which the service has a price or
// targets.
func allowedZones(present Counts, s *route.Scaling) []string {
	var out []string
	for zone := range s.ZonePrice {
		out = append(out, zone)
	}
	for zone := range present {
		if !slices.Contains(out, zone) {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// maxCapacity is the largest capacity of a service, in targets. A larger one was stored by
// another writer.
const maxCapacity = 100_000

// capacityRecord is the stored form of a service's capacity, in targets.
type capacityRecord struct {
	Capacity int `json:"capacity"`
}

// capacityOf returns a service's capacity in targets. The first leader takes it from
// the targets present and stores it. The result is 0 while the capacity is unknown.
// newestAge is the age of the newest target.
func (s *Scaler) capacityOf(ctx context.Context, service string, present Counts, newestAge time.Duration) (int, error) {
	if n := s.capacity[service]; n > 0 {
		return n, nil
	}
	page, err := s.o.Store.Newest(ctx, port.TopicScale, "")
	if err != nil {
		return 0, err
	}
	for _, r := range page.Records {
		if r.Key != service {
			continue
		}
		var rec capacityRecord
		err := json.Unmarshal(r.Value, &rec)
		if err == nil && rec.Capacity > 0 && rec.Capacity <= maxCapacity {
			s.capacity[service] = rec.Capacity
			return rec.Capacity, nil
		}
		log.WithError(err).WithFields(log.Fields{"service": service, "offset": r.Offset, "capacity": rec.Capacity}).Warn("scale: the stored capacity is invalid; replacing it")
	}
	t := present.total()
	if newestAge < settleTime || t.OnDemand+t.Spot == 0 {
		return 0, nil
	}
	value, err := json.Marshal(capacityRecord{Capacity: t.OnDemand + t.Spot})
	if err != nil {
		return 0, fmt.Errorf("scale: %w", err)
	}
	if _, err := s.o.Store.PutAt(ctx, port.TopicScale, service, value, page.End); err != nil {
		return 0, err
	}
	s.capacity[service] = t.OnDemand + t.Spot
	log.WithFields(log.Fields{"service": service, "capacity": s.capacity[service]}).Info("scale: capacity taken from the targets present")
	return s.capacity[service], nil
}

// reconcile orders the wanted number of targets once it has differed from the present
// number for long enough. It reports whether the platform refused the order.
func (s *Scaler) reconcile(ctx context.Context, svc *route.Service, k orderKey, present, wanted int) bool {
	st := s.orders[k]
	if st == nil {
		st = &orderState{differsSince: -1, lastOrdered: -1}
		s.orders[k] = st
	}
	now := s.o.Clock.Now()
	if present == wanted {
		st.differsSince = -1
		return false
	}
	if st.differsSince < 0 {
		st.differsSince = now
	}
	if now-st.differsSince < st.requiredDelay(k, present, wanted) || now < st.notBefore || now < st.repeatNotBefore && wanted == st.lastOrdered {
		return false
	}
	err := s.sendOrder(ctx, k, wanted)
	if errors.Is(err, claim.ErrHeld) || errors.Is(err, port.ErrConflict) {
		return false
	}
	st.lastOrdered, st.notBefore, st.repeatNotBefore = wanted, now+minOrderInterval, now+svc.Scaling.BootTime+bootMargin
	fields := log.Fields{"service": k.service, "zone": k.zone, "spot": k.spot, "present": present, "wanted": wanted}
	if err != nil {
		stats.Add("failed", 1)
		st.repeatNotBefore = now + refusalBackoff
		log.WithError(err).WithFields(fields).Warn("scale: order failed")
		return errors.Is(err, port.ErrRefused)
	}
	stats.Add("orders", 1)
	log.WithFields(fields).Info("scale: ordered targets")
	return false
}

// requiredDelay returns how long a difference must last before an order.
func (st *orderState) requiredDelay(k orderKey, present, wanted int) time.Duration {
	switch {
	case k.spot && wanted > present:
		return 0
	case k.spot:
		return spotSurplusDelay
	case st.lastOrdered < 0, float64(wanted) < fluctuationShare*float64(present):
		return 0
	}
	return onDemandDelay
}

func (s *Scaler) sendOrder(ctx context.Context, k orderKey, wanted int) error {
	held, err := s.o.Claims.Get(ctx, claimSubject)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = s.o.Duties.Scale(ctx, port.DutyCall{Holder: s.o.Self, Fence: held.Fence}, port.ScaleOrder{
		Service: k.service, Zone: k.zone, Spot: k.spot, Desired: wanted,
	})
	if errors.Is(err, port.ErrRefused) {
		// The reason may be a newer claim holder with a higher fencing number.
		s.o.Claims.Drop(claimSubject)
	}
	return err
}
