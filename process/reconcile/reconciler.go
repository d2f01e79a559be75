package reconcile

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/version/view"
)

// Leases tells what this process may act for. lease.Manager is one.
type Leases interface {
	Held(group string) (fence int64, until time.Duration, ok bool)
	Check(group string, fence int64) lease.Check
	Reclaim(group string)
}

// Connect makes the adapter of one engine for one lease term: with connections
// of its own, made by lease.Dialer or one that checks before each write as
// well. If the adapter is an io.Closer it is closed at the end of the term.
type Connect func(engine string, check lease.Check, userTimeout time.Duration) port.Engine

// Options of a Reconciler. All but PlannedRole, Weights, and the numbers must be set.
type Options struct {
	Rule        lease.Rule
	Clock       clock.Clock
	Follower    lease.Follower
	Leases      Leases
	Snapshot    func() *view.Snapshot
	Connect     Connect
	PlannedRole PlannedRole
	Weights     port.WeightStore
	PerLoad     float64       // bytes a second that one load draws; 1e9
	Interval    time.Duration // between looks at an engine; 1s
}

const (
	callTimeout   = 2 * time.Second // one call to an engine
	appendTimeout = 3 * time.Second // one order or end of an order
	rateEvery     = 30 * time.Second
	parallel      = 64 // engines looked at at once
)

var counts = expvar.NewMap("reconcile")

// Reconciler works on the engines of the groups that this process holds.
type Reconciler struct {
	o     Options
	t     tomb.Tomb
	loads Loads
	slots int
	rated time.Duration // when the store's rate was read

	// engines and orphans belong to the loop; each engine's entry is lent to
	// one goroutine while a step runs.
	engines  map[string]*engine
	versions int64                    // in force so far, at the last step
	orphans  map[string]time.Duration // open orders without a target: since when

	mu      sync.Mutex
	leaving map[string]bool // by the engines' own word
}

// New returns a Reconciler that doesn't run yet.
func New(o Options) *Reconciler {
	o.Rule = o.Rule.WithDefaults()
	if o.PerLoad <= 0 {
		o.PerLoad = 1e9
	}
	if o.Interval <= 0 {
		o.Interval = time.Second
	}
	return &Reconciler{
		o:       o,
		slots:   1,
		engines: map[string]*engine{},
		orphans: map[string]time.Duration{},
		leaving: map[string]bool{},
	}
}

// Start begins to reconcile.
func (r *Reconciler) Start() { r.t.Go(r.loop) }

// Stop ends the work and waits until no call to an engine is under way.
func (r *Reconciler) Stop() error {
	r.t.Kill(nil)
	err := r.t.Wait()
	for _, e := range r.engines {
		e.close()
	}
	return err
}

// EnginesLeaving returns the engines of held groups that said that they leave.
func (r *Reconciler) EnginesLeaving() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := make(map[string]bool, len(r.leaving))
	for e := range r.leaving {
		own[e] = true
	}
	return own
}

func (r *Reconciler) loop() error {
	ctx := r.t.Context(context.Background())
	tick := time.NewTicker(r.o.Interval)
	defer tick.Stop()
	for {
		changed := r.o.Follower.Changed()
		r.step(ctx)
		select {
		case <-changed:
		case <-tick.C:
		case <-r.t.Dying():
			return nil
		}
	}
}

// step looks once at each engine of the groups that this process holds.
//
// A snapshot that is older than the newest version in the state is left
// alone: engines may have moved to another group, whose holder trusts that
// this process stops within the time of its reads.
func (r *Reconciler) step(ctx context.Context) {
	snap := r.o.Snapshot() // before the state, so that it can't be ahead of it
	tail := r.o.Follower.Tail()
	if snap == nil || snap.Applied < tail.State.Changed {
		return
	}
	r.readRate(ctx)
	now := r.o.Clock.Now()
	r.loads.Observe(now, tail.State)
	groups := Groups(snap)
	r.keepEngines(now, groups, tail.State)
	work, _ := errgroup.WithContext(ctx)
	work.SetLimit(parallel)
	for _, g := range groups {
		fence, _, ok := r.o.Leases.Held(g.Name)
		if !ok {
			r.endTerm(g)
			continue
		}
		for _, m := range g.Engines {
			e := r.engines[m.Engine]
			e.allow(r.o.Rule, tail)
			e.term(g.Name, fence, r.o)
			work.Go(func() error {
				r.reconcile(ctx, e, m, tail)
				return nil
			})
		}
	}
	_ = work.Wait()
	r.endOrphans(ctx, now, groups, tail)
}

// keepEngines has an entry for each engine of the groups. One that changed its
// group is new there, and all are when versions were passed over.
//
// The second rule is against an engine that left a group and came back while
// this process read neither: its group looks the same, but a holder of the one
// between may still act for it.
func (r *Reconciler) keepEngines(now time.Duration, groups []Group, s *fold.State) {
	skipped := s.Versions > r.versions+1
	r.versions = s.Versions
	listed := make(map[string]bool)
	for _, g := range groups {
		for _, m := range g.Engines {
			listed[m.Engine] = true
			e := r.engines[m.Engine]
			if e == nil || e.group != g.Name || skipped {
				e.close()
				r.engines[m.Engine] = &engine{id: m.Engine, group: g.Name, memory: Progress{JoinedAt: now, JoinedVersion: s.Changed}}
			}
		}
	}
	for id, e := range r.engines {
		if !listed[id] {
			e.close()
			delete(r.engines, id)
		}
	}
}

// endTerm closes the connections of a group that this process doesn't hold.
func (r *Reconciler) endTerm(g Group) {
	for _, m := range g.Engines {
		r.engines[m.Engine].close()
		r.setLeaving(m.Engine, false)
	}
}

// readRate reads the weight store's rate now and then. While it can't be read
// the last one holds.
func (r *Reconciler) readRate(ctx context.Context) {
	now := r.o.Clock.Now()
	if r.o.Weights == nil || (r.rated > 0 && now < r.rated+rateEvery) {
		return
	}
	r.rated = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rate, err := r.o.Weights.Rate(ctx)
	if err != nil {
		log.WithError(err).Warn("reconcile: weight store's rate not known")
		return
	}
	r.slots = Slots(rate, r.o.PerLoad)
}

func (r *Reconciler) setLeaving(engine string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.leaving[engine] = true
		return
	}
	delete(r.leaving, engine)
}
