// Package roles assigns each engine of a service its role: prefill or decoding.
// Only one daemon at a time sends orders. A claim with a fencing number guards
// against contradicting orders from two daemons, or from a daemon that was paused
// and doesn't know that another took over.
package roles

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/discovery"
	"github.com/pomelospool/pomelospool/process/roster"
	"github.com/pomelospool/pomelospool/version/inforce"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	// planInterval is the time between two plans.
	planInterval = 100 * time.Millisecond
	// settleTime is how long no new target must have appeared before a plan is
	// made. A plan on an incomplete list leads to orders that the next plan
	// reverts.
	settleTime = 1200 * time.Millisecond
	// maxSettleWait is the longest time that a plan waits for settleTime. All
	// targets of a starting fleet appear within some heartbeats.
	maxSettleWait = 4 * time.Second
	// orderTimeout is the timeout of one order, its report request included.
	orderTimeout = 700 * time.Millisecond
	// refusalBackoff is how long an engine gets no orders after it rejected or
	// didn't answer one. An engine may carry out an order up to 12 s after the
	// order timed out.
	refusalBackoff = 13 * time.Second
	// switchGrace is added to the service's RoleChangeTime before an engine that
	// doesn't show the new role counts as unchanged.
	switchGrace = 3 * time.Second
	// drainGrace is added for an engine that leaves decoding. It finishes its
	// streams first, of which the longest take about ten seconds.
	drainGrace = 12 * time.Second
	// samplesPerSecond is the number of demand samples per second.
	samplesPerSecond = 2
	// maxSamples is the number of demand samples to keep: two long half-lives.
	maxSamples = 2 * longHalfLife
	// takeoverDelay is how long a daemon leads before its first order. Its state
	// may date from before a network partition. The other daemons' updates about
	// pending orders and demand arrive within some heartbeats. Without the delay,
	// a leader that returned from a partition took three engines from decoding
	// that the interim leader had ordered in place of three others, and no engine
	// decoded for seconds.
	takeoverDelay = 1500 * time.Millisecond
)

// Options configures a Planner. All fields but Clock and Factors are required.
type Options struct {
	Self    string // this VM's name
	Store   port.Store
	Control port.EngineControl
	Targets *discovery.Registry
	Config  *inforce.Holder
	Roster  *roster.Roster
	Engines *engines.Tracker
	Health  *health.Tracker
	Demand  *demand.Tracker
	Speed   *speed.Tracker
	Factors *speed.Factors // nil: engines of a service count as equally fast
	Lease   time.Duration
	Clock   clock.Clock // default: clock.Boot
	Ages    *claim.AgeTracker
}

// Planner sends role orders while this daemon is the leader.
type Planner struct {
	o      Options
	tomb   tomb.Tomb
	claims *claim.Claims

	mu       sync.Mutex
	released bool

	// The fields below are used by the planner's goroutine only.
	claimRead    map[string]bool // by service; the claim was read since this daemon began to lead
	leadingSince time.Duration   // when this daemon began to lead; negative: it doesn't
	changing     map[string]change
	refusedUntil map[string]time.Duration // by target; no order before
	history      map[string]*demandHistory
	lastPlanned  map[string]time.Duration // by service; when the last plan was sent; removed if an engine didn't obey
	growingSince map[string]time.Duration // by service; since when its plan waits for the list of targets to settle
}

// change is an order that an engine is carrying out.
type change struct {
	role  port.Role
	until time.Duration
}

// New returns a Planner that isn't running yet.
func New(o Options) *Planner {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	return &Planner{
		o:            o,
		claims:       claim.New(claim.Options{Self: o.Self, Store: o.Store, Lease: o.Lease, Clock: o.Clock, Ages: o.Ages}),
		claimRead:    make(map[string]bool),
		changing:     make(map[string]change),
		refusedUntil: make(map[string]time.Duration),
		history:      make(map[string]*demandHistory),
		lastPlanned:  make(map[string]time.Duration),
		growingSince: make(map[string]time.Duration),
		leadingSince: -1,
	}
}

// Start runs the planner in a goroutine of its own.
func (p *Planner) Start() { p.tomb.Go(p.loop) }

// Stop ends the planner and waits for its goroutine.
func (p *Planner) Stop() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Release makes the planner send no further orders, since this daemon is leaving.
func (p *Planner) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = true
}

func (p *Planner) isReleased() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.released
}

func (p *Planner) loop() error {
	ctx := p.tomb.Context(context.Background())
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-tick.C:
		}
		cfg := p.o.Config.Load()
		if cfg == nil || p.isReleased() {
			continue
		}
		p.updateLeadership()
		for _, svc := range cfg.Services {
			if svc.Engine != nil {
				p.planService(ctx, svc)
			}
		}
	}
}

// updateLeadership records when this daemon began to lead, or that it doesn't.
func (p *Planner) updateLeadership() {
	switch {
	case !p.o.Roster.MayLead():
		p.leadingSince = -1
		clear(p.claimRead)
	case p.leadingSince < 0:
		p.leadingSince = p.o.Clock.Now()
	}
}

// planService samples a service's demand. On the leader it also makes a plan and
// sends its orders.
func (p *Planner) planService(ctx context.Context, svc *route.Service) {
	snap := p.o.Targets.Snapshot()
	demand := p.sampleDemand(svc.Name)
	if p.leadingSince < 0 && len(p.changing) == 0 {
		return // avoids a pass over thousands of engines on daemons that don't lead
	}
	list := p.engines(snap.Targets[svc.Name].All().All())
	if !snap.Listed || p.leadingSince < 0 {
		return
	}
	p.readClaim(ctx, svc.Name)
	if !p.listSettled(svc.Name, time.Since(snap.LastAdded)) || p.o.Clock.Now()-p.leadingSince < takeoverDelay {
		return
	}
	if len(demand) == 0 && enoughOfEachRole(list, len(p.o.Roster.Members())) {
		return
	}
	moves := Plan(list, demand)
	if len(demand) > 0 && !p.o.Speed.Estimates(svc.Name).StreamsSettled() {
		moves = keepMovesToDecode(moves)
	}
	if len(moves) == 0 || p.planInProgress(svc, list) {
		return
	}
	held, err := p.claims.Get(ctx, svc.Name)
	if errors.Is(err, claim.ErrHeld) || errors.Is(err, port.ErrConflict) {
		return
	}
	if err != nil {
		log.WithError(err).WithField("service", svc.Name).Warn("roles: can't acquire the service's claim")
		return
	}
	p.logPlan(svc.Name, list, demand, moves)
	p.sendOrders(ctx, svc, moves, held)
}

// listSettled reports whether the list of targets is complete enough for a plan.
// newestAge is the age of the newest target. The check keeps a plan from taking the
// first targets of a starting fleet for all of them.
//
// The wait is bounded because a rolling replacement adds a target each second, in
// its start role. Without the bound no plan was made until all were replaced: 89 of
// 257 engines decoded where 30 had been enough before.
func (p *Planner) listSettled(service string, newestAge time.Duration) bool {
	if newestAge >= settleTime {
		delete(p.growingSince, service)
		return true
	}
	now := p.o.Clock.Now()
	since, waiting := p.growingSince[service]
	if !waiting {
		p.growingSince[service] = now
		return false
	}
	return now-since >= maxSettleWait
}

// planInProgress reports whether the engines of the last plan may still be changing
// while enough others decode. The effect of a change shows only at its end.
func (p *Planner) planInProgress(svc *route.Service, list []Engine) bool {
	decoders, _ := splitByRole(usableEngines(list))
	at, ordered := p.lastPlanned[svc.Name]
	return ordered && len(decoders) >= minDecoders && p.o.Clock.Now()-at < svc.Engine.RoleChangeTime+settleTime
}

// logPlan logs a plan and the demand behind it.
func (p *Planner) logPlan(service string, list []Engine, d Demand, moves []Move) {
	fields := log.Fields{"service": service, "engines": len(list), "moves": len(moves), "notes": len(d)}
	decoders, _ := splitByRole(list)
	fields["decoders"] = len(decoders)
	if len(usableEngines(list)) < len(list) {
		fields["unusable"] = true
	}
	if len(d) > 0 {
		last := d[len(d)-1]
		fields["asked_reading"], fields["asked_streams"], fields["asked_urgent"] = last.Prefill, last.Streams, last.Urgent
	}
	log.WithFields(fields).Info("roles: made a plan")
}

// readClaim reads a service's claim once after this daemon has begun to lead.
func (p *Planner) readClaim(ctx context.Context, service string) {
	if p.claimRead[service] {
		return
	}
	p.claimRead[service] = true
	if err := p.claims.Observe(ctx, service); err != nil {
		log.WithError(err).WithField("service", service).Info("roles: can't read claim in advance; it will be read before the next order")
	}
}

// engines combines the target entries with the engines' load, health and pending
// changes.
func (p *Planner) engines(entries []*port.TargetEntry) []Engine {
	now := p.o.Clock.Now()
	out := make([]Engine, 0, len(entries))
	for _, e := range entries {
		l := p.o.Engines.Load(e.ID, nil)
		engine := Engine{Entry: *e, Streams: l.Streams, Wait: l.Wait, Refused: now < p.refusedUntil[e.ID], Impaired: l.Unreachable() || p.o.Health.Impaired(e.ID), Speed: p.o.Factors.Factor(e.ID)}
		if c, ok := p.changing[e.ID]; ok {
			if e.Role == c.role || now >= c.until {
				delete(p.changing, e.ID)
				p.o.Engines.SetRoleChange(e.ID, "")
			} else {
				engine.Entry.Role, engine.Changing = c.role, true
			}
		} else if l.Becomes != "" {
			// Another daemon ordered the change; the entry shows the new role only at
			// its end.
			engine.Entry.Role, engine.Changing = l.Becomes, true
		}
		out = append(out, engine)
	}
	return out
}

// demandHistory holds a service's latest demand samples.
type demandHistory struct {
	samples    Demand
	lastSample time.Duration // time of the newest sample
}

// keepMovesToDecode drops the moves from decoding. Long streams end last, so until
// enough streams have ended, the demand for slots is higher than the estimate.
func keepMovesToDecode(moves []Move) []Move {
	return slices.DeleteFunc(moves, func(m Move) bool { return m.Role != port.RoleDecode })
}

// sampleDemand adds a sample of a service's demand when one is due, and returns the
// recent samples. Without an estimate of the engines' prefill speed the demand is
// unknown. The demand for streams is at least the number of running streams, since
// some ten seconds pass until enough streams have ended to predict others.
func (p *Planner) sampleDemand(service string) Demand {
	h := p.history[service]
	if h == nil {
		h = &demandHistory{lastSample: -time.Second}
		p.history[service] = h
	}
	now := p.o.Clock.Now()
	if now-h.lastSample < time.Second/samplesPerSecond || !p.o.Speed.Estimates(service).PrefillSettled() {
		return h.recent()
	}
	h.lastSample = now
	l := p.o.Demand.Total(service)
	all := p.o.Targets.Snapshot().Targets[service].All()
	running := p.o.Engines.Streams(func(hash uint64) bool { return all.Lookup(hash) != nil })
	l.Streams = max(l.Streams, float64(running))
	h.samples = append(h.samples, l)
	if len(h.samples) > maxSamples {
		h.samples = h.samples[1:]
	}
	return h.recent()
}

// recent returns the samples, or nil while there are too few for a plan.
func (h *demandHistory) recent() Demand {
	if len(h.samples) < minSamples {
		return nil
	}
	return h.samples
}
