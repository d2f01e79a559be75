// Package roles gives each engine of a service its role: to read prompts or to
// make answers. One daemon at a time gives the orders. The failure it guards
// against is orders that contradict each other, from two daemons or from one
// that was paused and doesn't know that another took over.
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
	// lookEvery is the time between two looks at the engines.
	lookEvery = 100 * time.Millisecond
	// settled is how long no new target may have appeared before a plan is
	// made: a plan on a list that still fills up orders what it takes back.
	settled = 1200 * time.Millisecond
	// mostGrowing is how long a plan waits for that: a fleet that starts shows
	// all its targets within some heartbeats.
	mostGrowing = 4 * time.Second
	// orderLimit bounds one order.
	orderLimit = 700 * time.Millisecond
	// refusedFor is how long an engine that didn't take an order is left
	// alone. Orders may be carried out up to 12 s after they got no answer.
	refusedFor = 13 * time.Second
	// switchGrace is added to the time that a change of role takes, before an
	// engine that doesn't show the new role counts as unchanged.
	switchGrace = 3 * time.Second
	// drainGrace is added for an engine that leaves decoding: it ends its
	// streams first, the longest of them in some ten seconds.
	drainGrace = 12 * time.Second
	// looksPerSecond is how often the demand is noted.
	looksPerSecond = 2
	// kept is how many notes of the demand are kept: two of the long half lives.
	kept = 2 * longHalfLife
	// takeover is how long a daemon leads before its first order. What it
	// knows may be from before a cut: the others' words of orders under way,
	// and of the demand, come within some beats. Without it a holder back from
	// a cut took three engines away from decoding that the holder between had
	// ordered in place of three others, and none decoded for seconds.
	takeover = 1500 * time.Millisecond
)

// Options of a Planner. All are needed but Clock.
type Options struct {
	Self    string // this VM's name
	Store   port.Store
	Control port.EngineControl
	Targets *discovery.Registry
	Config  *inforce.Holder
	Roster  *roster.Roster
	Engines *engines.Tracker
	Health  *health.Tracker
	Demand  *demand.Book
	Speed   *speed.Book
	Lease   time.Duration
	Clock   clock.Clock // clock.Boot
	Seen    *claim.Sightings
}

// Planner gives orders while this daemon is the first of those that can.
type Planner struct {
	o      Options
	tomb   tomb.Tomb
	claims *claim.Claims

	mu       sync.Mutex
	released bool

	// of the planner's goroutine
	sighted  map[string]bool // services whose claim was read since this daemon may lead
	leads    time.Duration   // since when this daemon may lead; below 0: it may not
	changing map[string]change
	refused  map[string]time.Duration // until
	asked    map[string]*asked
	ordered  map[string]time.Duration // when the last plan was carried out
	growing  map[string]time.Duration // since when targets appear without a pause, by service that waits for one
}

// change is an order that an engine carries out.
type change struct {
	role  port.Role
	until time.Duration
}

// New returns a Planner that doesn't run yet.
func New(o Options) *Planner {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	return &Planner{
		o:        o,
		claims:   claim.New(claim.Options{Self: o.Self, Store: o.Store, Lease: o.Lease, Clock: o.Clock, Seen: o.Seen}),
		sighted:  make(map[string]bool),
		changing: make(map[string]change),
		refused:  make(map[string]time.Duration),
		asked:    make(map[string]*asked),
		ordered:  make(map[string]time.Duration),
		growing:  make(map[string]time.Duration),
		leads:    -1,
	}
}

// Start begins to plan.
func (p *Planner) Start() { p.tomb.Go(p.loop) }

// Stop ends the planning.
func (p *Planner) Stop() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

// Release has this daemon give no further orders: it leaves.
func (p *Planner) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = true
}

func (p *Planner) gone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.released
}

func (p *Planner) loop() error {
	ctx := p.tomb.Context(context.Background())
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-p.tomb.Dying():
			return nil
		case <-tick.C:
		}
		cfg := p.o.Config.Load()
		if cfg == nil || p.gone() {
			continue
		}
		p.lead()
		for _, svc := range cfg.Services {
			if svc.Engine != nil {
				p.look(ctx, svc)
			}
		}
	}
}

// lead notes since when this daemon is the one to give orders.
func (p *Planner) lead() {
	switch {
	case !p.o.Roster.MayLead():
		p.leads = -1
		clear(p.sighted)
	case p.leads < 0:
		p.leads = p.o.Clock.Now()
	}
}

// look makes one plan for a service, and carries it out if this daemon is the
// first of those that can.
func (p *Planner) look(ctx context.Context, svc *route.Service) {
	snap := p.o.Targets.Snapshot()
	demand := p.demand(svc.Name)
	if p.leads < 0 && len(p.changing) == 0 {
		return // thousands of engines concern the one that leads
	}
	list := p.engines(snap.Targets[svc.Name].All().All())
	if !snap.Whole || p.leads < 0 {
		return
	}
	p.sight(ctx, svc.Name)
	if !p.whole(svc.Name, time.Since(snap.Since)) || p.o.Clock.Now()-p.leads < takeover {
		return
	}
	if len(demand) == 0 && plenty(list, len(p.o.Roster.Members())) {
		return
	}
	moves := Plan(list, demand)
	if len(demand) > 0 && !p.o.Speed.Figures(svc.Name).StreamsSettled() {
		moves = onlyToDecode(moves)
	}
	if len(moves) == 0 || p.underWay(svc, list) {
		return
	}
	held, err := p.claims.Get(ctx, svc.Name)
	if errors.Is(err, claim.ErrHeld) || errors.Is(err, port.ErrConflict) {
		return
	}
	if err != nil {
		log.WithError(err).WithField("service", svc.Name).Warn("roles: not claimed")
		return
	}
	p.logPlan(svc.Name, list, demand, moves)
	p.carryOut(ctx, svc, moves, held)
}

// whole reports whether the list of targets is whole enough for a plan, the
// newest target being that old. A list that still fills up isn't, so that few
// targets aren't planned as if they were all.
//
// The guard on the guard: while targets are replaced one after the other a new
// one appears each second, in the role that it starts in, and no plan was made
// until all were: of 257 engines 89 decoded, where 30 had been enough before.
func (p *Planner) whole(service string, newest time.Duration) bool {
	if newest >= settled {
		delete(p.growing, service)
		return true
	}
	now := p.o.Clock.Now()
	since, waits := p.growing[service]
	if !waits {
		p.growing[service] = now
		return false
	}
	return now-since >= mostGrowing
}

// underWay reports whether the last plan's engines still change and enough others
// decode: what engines become shows in what is served only at the end.
func (p *Planner) underWay(svc *route.Service, list []Engine) bool {
	decoders, _ := split(usable(list))
	at, ordered := p.ordered[svc.Name]
	return ordered && len(decoders) >= leastDecoders && p.o.Clock.Now()-at < svc.Engine.SwitchTime+settled
}

// logPlan writes what decided a plan.
func (p *Planner) logPlan(service string, list []Engine, d Demand, moves []Move) {
	fields := log.Fields{"service": service, "engines": len(list), "moves": len(moves), "notes": len(d)}
	decoders, _ := split(list)
	fields["decoders"] = len(decoders)
	if len(usable(list)) < len(list) {
		fields["unusable"] = true
	}
	if len(d) > 0 {
		last := d[len(d)-1]
		fields["asked_reading"], fields["asked_streams"], fields["asked_urgent"] = last.Reading, last.Streams, last.Urgent
	}
	log.WithFields(fields).Info("roles: planned")
}

// sight reads a service's claim once each time that this daemon begins to lead.
func (p *Planner) sight(ctx context.Context, service string) {
	if p.sighted[service] {
		return
	}
	p.sighted[service] = true
	if err := p.claims.Sight(ctx, service); err != nil {
		log.WithError(err).WithField("service", service).Info("roles: claim not read, it is when orders are needed")
	}
}

// engines joins the entries with what the daemons have there.
func (p *Planner) engines(entries []*port.TargetEntry) []Engine {
	now := p.o.Clock.Now()
	out := make([]Engine, 0, len(entries))
	for _, e := range entries {
		l := p.o.Engines.Load(e.ID, nil)
		one := Engine{Entry: *e, Streams: l.Streams, Wait: l.Wait, Refused: now < p.refused[e.ID], Impaired: l.Unreachable() || p.o.Health.Impaired(e.ID)}
		if c, ok := p.changing[e.ID]; ok {
			if e.Role == c.role || now >= c.until {
				delete(p.changing, e.ID)
				p.o.Engines.SetRoleChange(e.ID, "")
			} else {
				one.Entry.Role, one.Changing = c.role, true
			}
		} else if l.Becomes != "" {
			// By an order of another daemon's: the list shows the role at its end.
			one.Entry.Role, one.Changing = l.Becomes, true
		}
		out = append(out, one)
	}
	return out
}

// result is what became of one order.
type result struct {
	Move
	err error
}

// carryOut sends the orders, all at once: one whose answer is lost would hold
// up the others for its whole time. Where engines don't obey, the next plan isn't
// held up by this one: it asks others in their place.
func (p *Planner) carryOut(ctx context.Context, svc *route.Service, moves []Move, held claim.Claim) {
	begun := p.o.Clock.Now()
	results := make(chan result, len(moves))
	for _, m := range moves {
		e, ok := p.o.Targets.Lookup(m.Target)
		if !ok {
			results <- result{Move: m, err: errGone}
			continue
		}
		go func() { results <- result{Move: m, err: p.order(ctx, e, m.Role, held)} }()
	}
	all := true
	for range moves {
		all = p.note(svc, <-results, held) && all
	}
	if all {
		p.ordered[svc.Name] = begun
	} else {
		delete(p.ordered, svc.Name)
	}
}

var errGone = errors.New("roles: the engine is gone")

// note records the result of one order. It reports whether the engine counts as
// if it obeyed.
//
// The failure it stops is a service without a decoding engine. A daemon that
// has just started doesn't know which engines carry out orders of before, and
// one whose order got no answer doesn't know whether it will be carried out.
// Ordering others in their place takes all of them away. So an engine that is
// busy, or may have been taken from decoding, counts as if it had obeyed until
// it shows the contrary. Only a missing decoding engine is asked for elsewhere
// at once: one too many does no harm.
func (p *Planner) note(svc *route.Service, r result, held claim.Claim) bool {
	fields := log.Fields{"service": svc.Name, "target": r.Target, "role": r.Role, "fence": held.Fence, "why": r.Why}
	now := p.o.Clock.Now()
	obeys := change{role: r.Role, until: now + svc.Engine.SwitchTime + switchGrace}
	obeyed := false
	switch {
	case r.err == nil:
		log.WithFields(fields).Info("roles: ordered")
		if r.Role == port.RolePrefill {
			obeys.until += drainGrace
		}
		p.changing[r.Target] = obeys
		p.o.Engines.SetRoleChange(r.Target, r.Role)
		return true
	case errors.Is(r.err, port.ErrFenced):
		p.claims.Drop(svc.Name)
		p.refused[r.Target] = now + refusedFor
	case errors.Is(r.err, port.ErrBusy), r.Role == port.RolePrefill:
		p.changing[r.Target] = obeys
		obeyed = true
	default:
		p.refused[r.Target] = now + refusedFor
	}
	log.WithFields(fields).WithError(r.err).Warn("roles: order not taken")
	return obeyed
}

// order asks the engine for the orders that it accepted, and gives it the next
// one on that condition: an order that is carried out late then has no effect
// after a newer one.
func (p *Planner) order(ctx context.Context, e port.TargetEntry, role port.Role, held claim.Claim) error {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	report, err := p.o.Control.Report(ctx, e.Addr, e.ID)
	if err != nil {
		return err
	}
	if report.Role == role && !report.Changing {
		return nil
	}
	if report.Changing {
		return port.ErrBusy
	}
	if p.o.Clock.Now() >= held.Until {
		return context.DeadlineExceeded
	}
	return p.o.Control.Order(ctx, port.RoleOrder{
		Target: e.ID, Addr: e.Addr, Role: role,
		Holder: p.o.Self, Fence: held.Fence, Accepted: report.Accepted,
	})
}

// asked is a service's demand over the last notes.
type asked struct {
	notes Demand
	at    time.Duration // of the newest one
}

// onlyToDecode leaves out the moves from decoding. Long streams end last: as
// long as too few have ended, the demand for places is more than what is seen.
func onlyToDecode(moves []Move) []Move {
	return slices.DeleteFunc(moves, func(m Move) bool { return m.Role != port.RoleDecode })
}

// demand notes what is asked of a service, and returns what was lately. As
// long as the engines' reading isn't known, nothing is known of the demand. The
// streams that run are asked for at least: with streams of seconds some ten
// seconds pass until enough of them have ended to predict others.
func (p *Planner) demand(service string) Demand {
	a := p.asked[service]
	if a == nil {
		a = &asked{at: -time.Second}
		p.asked[service] = a
	}
	now := p.o.Clock.Now()
	if now-a.at < time.Second/looksPerSecond || !p.o.Speed.Figures(service).ReadsSettled() {
		return a.known()
	}
	a.at = now
	l := p.o.Demand.Total(service)
	all := p.o.Targets.Snapshot().Targets[service].All()
	running := p.o.Engines.Streams(func(hash uint64) bool { return all.Lookup(hash) != nil })
	l.Streams = max(l.Streams, float64(running))
	a.notes = append(a.notes, l)
	if len(a.notes) > kept {
		a.notes = a.notes[1:]
	}
	return a.known()
}

// known is the demand once enough of it was noted.
func (a *asked) known() Demand {
	if len(a.notes) < leastNotes {
		return nil
	}
	return a.notes
}
