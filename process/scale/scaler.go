// Package scale orders the number of targets of services that may be scaled:
// reclaimable targets, which cost a part of the others, so many that the loss of
// an availability zone's leaves the service its capacity, and few on demand. One
// daemon at a time orders, under a claim.
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
	// lookEvery is the time between two looks at the targets.
	lookEvery = 250 * time.Millisecond
	// takeover is how long a daemon leads before its first order: its list of
	// targets may be from before a cut.
	takeover = 1500 * time.Millisecond
	// settled is how long no target may have appeared before a service's capacity
	// is taken from its targets: the list of a fleet that starts fills up.
	settled = 1200 * time.Millisecond
	// steadyFor is how long an on-demand difference must last before it is
	// ordered: targets are replaced, and start again, all the time.
	steadyFor = 2 * time.Second
	// surplusFor is the same for reclaimable targets that are too many. They cost
	// little, and take their prefix caches with them.
	surplusFor = 20 * time.Second
	// transition is the share of the on-demand targets below which a lower number
	// is no fluctuation.
	transition = 0.8
	// orderEvery is the least time between two orders of a kind.
	orderEvery = time.Second
	// bootMargin is added to the time that targets take to start before the same
	// number is ordered again.
	bootMargin = 3 * time.Second
	// refusedFor is the pause after an order that was refused.
	refusedFor = 2 * time.Second
	// callTimeout bounds one order.
	callTimeout = time.Second
)

// subject is what a claim to order is for.
const subject = "/scale"

var stats = expvar.NewMap("scale")

// Roster is what a Scaler needs of the other daemons.
type Roster interface{ MayLead() bool }

// Options of a Scaler. All are needed.
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

// Scaler orders while this daemon leads.
type Scaler struct {
	o    Options
	tomb tomb.Tomb

	// of the scaler's goroutine
	leads    time.Duration // since when; below 0: it doesn't
	capacity map[string]int
	kinds    map[kind]*state
}

// kind is the targets that one number is ordered of.
type kind struct {
	service, zone string
	spot          bool
}

// state is what was ordered of a kind.
type state struct {
	differs time.Duration // since when present and wanted differ; below 0: they don't
	ordered int           // last; below 0: nothing
	next    time.Duration // no order before
	again   time.Duration // no order of the same number before
}

// New returns a Scaler that doesn't run yet.
func New(o Options) *Scaler {
	return &Scaler{o: o, leads: -1, capacity: make(map[string]int), kinds: make(map[kind]*state)}
}

// Start begins to order.
func (s *Scaler) Start() { s.tomb.Go(s.loop) }

// Stop ends all.
func (s *Scaler) Stop() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

func (s *Scaler) loop() error {
	ctx := s.tomb.Context(context.Background())
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-tick.C:
		}
		if cfg := s.o.Config.Load(); cfg != nil && s.mayAct() {
			for _, svc := range cfg.Services {
				s.look(ctx, svc)
			}
		}
	}
}

// mayAct reports whether this daemon has led for long enough.
func (s *Scaler) mayAct() bool {
	if !s.o.Roster.MayLead() {
		s.leads = -1
		clear(s.capacity)
		clear(s.kinds)
		return false
	}
	if s.leads < 0 {
		s.leads = s.o.Clock.Now()
	}
	return s.o.Clock.Now()-s.leads >= takeover
}

// look orders what a service lacks or has too much of. Until its capacity is
// known, reclaimable targets are ordered for those that have been seen.
func (s *Scaler) look(ctx context.Context, svc *route.Service) {
	snap := s.o.Targets.Snapshot()
	if svc.Scaling == nil || !snap.Listed {
		return
	}
	present := count(snap.Targets[svc.Name].All().All())
	capacity, err := s.capacityOf(ctx, svc.Name, present, time.Since(snap.LastAdded))
	if err != nil {
		log.WithError(err).WithField("service", svc.Name).Warn("scale: capacity not known")
		return
	}
	zones := zonesOf(present, svc.Scaling)
	if capacity == 0 {
		seen := present.total().OnDemand
		s.orderSpot(ctx, svc, zones, present, Next(present, Best(seen, zones, nil, svc.Scaling), seen, svc.Scaling))
		return
	}
	want := Next(present, Best(capacity, zones, nil, svc.Scaling), capacity, svc.Scaling)
	if dry := s.orderSpot(ctx, svc, zones, present, want); len(dry) > 0 {
		want = Next(present, Best(capacity, zones, dry, svc.Scaling), capacity, svc.Scaling)
		s.orderSpot(ctx, svc, zones, present, want)
	}
	for _, zone := range zones {
		s.want(ctx, svc, kind{svc.Name, zone, false}, present[zone].OnDemand, want[zone].OnDemand)
	}
}

// orderSpot orders reclaimable targets, and returns the zones that have none.
func (s *Scaler) orderSpot(ctx context.Context, svc *route.Service, zones []string, present, want Counts) map[string]bool {
	dry := make(map[string]bool)
	for _, zone := range zones {
		if s.want(ctx, svc, kind{svc.Name, zone, true}, present[zone].Spot, want[zone].Spot) {
			dry[zone] = true
		}
	}
	return dry
}

// count counts the targets that stay.
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

// zonesOf returns the availability zones in which the service may run.
func zonesOf(present Counts, s *route.Scaling) []string {
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

// capacityRecord is the number of targets that a service is to have.
type capacityRecord struct {
	Capacity int `json:"capacity"`
}

// capacityOf returns the number of targets that a service is to have: as many as
// it had when it was first seen. 0: not known yet.
func (s *Scaler) capacityOf(ctx context.Context, service string, present Counts, newest time.Duration) (int, error) {
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
		if err := json.Unmarshal(r.Value, &rec); err != nil {
			return 0, fmt.Errorf("scale: capacity at offset %d: %w", r.Offset, err)
		}
		s.capacity[service] = rec.Capacity
		return rec.Capacity, nil
	}
	t := present.total()
	if newest < settled || t.OnDemand+t.Spot == 0 {
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

// want orders a number of targets if it differs from what is present for long
// enough. It reports whether the order was refused.
func (s *Scaler) want(ctx context.Context, svc *route.Service, k kind, present, wanted int) bool {
	st := s.kinds[k]
	if st == nil {
		st = &state{differs: -1, ordered: -1}
		s.kinds[k] = st
	}
	now := s.o.Clock.Now()
	if present == wanted {
		st.differs = -1
		return false
	}
	if st.differs < 0 {
		st.differs = now
	}
	if now-st.differs < st.patience(k, present, wanted) || now < st.next || now < st.again && wanted == st.ordered {
		return false
	}
	err := s.order(ctx, k, wanted)
	if errors.Is(err, claim.ErrHeld) || errors.Is(err, port.ErrConflict) {
		return false
	}
	st.ordered, st.next, st.again = wanted, now+orderEvery, now+svc.Scaling.Boot+bootMargin
	fields := log.Fields{"service": k.service, "zone": k.zone, "spot": k.spot, "present": present, "wanted": wanted}
	if err != nil {
		stats.Add("failed", 1)
		st.again = now + refusedFor
		log.WithError(err).WithFields(fields).Warn("scale: not ordered")
		return errors.Is(err, port.ErrRefused)
	}
	stats.Add("orders", 1)
	log.WithFields(fields).Info("scale: ordered")
	return false
}

// patience is how long a difference must last before it is ordered.
func (st *state) patience(k kind, present, wanted int) time.Duration {
	switch {
	case k.spot && wanted > present:
		return 0
	case k.spot:
		return surplusFor
	case st.ordered < 0, float64(wanted) < transition*float64(present):
		return 0
	}
	return steadyFor
}

func (s *Scaler) order(ctx context.Context, k kind, wanted int) error {
	held, err := s.o.Claims.Get(ctx, subject)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = s.o.Duties.Scale(ctx, port.DutyCall{Holder: s.o.Self, Fence: held.Fence}, port.ScaleOrder{
		Service: k.service, Zone: k.zone, Spot: k.spot, Desired: wanted,
	})
	if errors.Is(err, port.ErrRefused) {
		// It may be for a newer holder's fencing number.
		s.o.Claims.Drop(subject)
	}
	return err
}
