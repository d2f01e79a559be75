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

// Leases gives the groups that this process may act for. lease.Manager implements it.
type Leases interface {
	Held(group string) (fence int64, until time.Duration, ok bool)
	Check(group string, fence int64) lease.Check
	Reclaim(group string)
}

// Connect returns the adapter of one engine for one lease term. The adapter has its
// own connections, made by lease.Dialer or by another dialer that calls check
// before each write. An adapter that is an io.Closer is closed at the end of the
// term.
type Connect func(engine string, check lease.Check, userTimeout time.Duration) port.Engine

// Options configures a Reconciler. Rule, PlannedRole, Weights, PerLoad and
// Interval are optional.
type Options struct {
	Rule        lease.Rule
	Clock       clock.Clock
	Follower    lease.Follower
	Leases      Leases
	Snapshot    func() *view.Snapshot
	Connect     Connect
	PlannedRole PlannedRole
	Weights     port.WeightStore
	PerLoad     float64       // bytes per second that one load reads; default 1e9
	Interval    time.Duration // between two steps; default 1s
}

const (
	callTimeout   = 2 * time.Second // limit of one call to an engine or the weight store
	appendTimeout = 3 * time.Second // limit of one append to the log
	rateInterval  = 30 * time.Second
	maxParallel   = 64 // engines reconciled at once
)

var counts = expvar.NewMap("reconcile")

// Reconciler reconciles the engines of the groups that this process holds.
type Reconciler struct {
	o          Options
	t          tomb.Tomb
	loads      Loads
	slots      int
	rateReadAt time.Duration // when the store's rate was last read

	// Only the loop uses these fields. During a step, each engine's entry is
	// used by one goroutine.
	engines       map[string]*engine
	versions      int64                    // number of versions in effect so far, at the last step
	orphanedSince map[string]time.Duration // first observation of open orders without a target, by engine

	mu      sync.Mutex
	leaving map[string]bool // engines that report that they are leaving
}

// New returns a Reconciler that is not started.
func New(o Options) *Reconciler {
	o.Rule = o.Rule.WithDefaults()
	if o.PerLoad <= 0 {
		o.PerLoad = 1e9
	}
	if o.Interval <= 0 {
		o.Interval = time.Second
	}
	return &Reconciler{
		o:             o,
		slots:         1,
		engines:       map[string]*engine{},
		orphanedSince: map[string]time.Duration{},
		leaving:       map[string]bool{},
	}
}

// Start starts reconciling.
func (r *Reconciler) Start() { r.t.Go(r.loop) }

// Stop stops reconciling and waits until no call to an engine is in progress.
func (r *Reconciler) Stop() error {
	r.t.Kill(nil)
	err := r.t.Wait()
	for _, e := range r.engines {
		e.close()
	}
	return err
}

// EnginesLeaving returns the engines of held groups that report that they are
// leaving.
func (r *Reconciler) EnginesLeaving() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	leaving := make(map[string]bool, len(r.leaving))
	for e := range r.leaving {
		leaving[e] = true
	}
	return leaving
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

// step reconciles each engine of the groups that this process holds.
//
// It does nothing if the snapshot is older than the newest version in the state.
// Engines may have moved to another group, whose holder relies on this process
// stopping within the validity of its reads.
func (r *Reconciler) step(ctx context.Context) {
	snap := r.o.Snapshot() // read before the state, so that it can't be newer
	tail := r.o.Follower.Tail()
	if snap == nil || snap.Applied < tail.State.Changed {
		return
	}
	r.readRate(ctx)
	now := r.o.Clock.Now()
	r.loads.Observe(now, tail.State)
	groups := Groups(snap)
	r.updateEngines(now, groups, tail.State)
	work, _ := errgroup.WithContext(ctx)
	work.SetLimit(maxParallel)
	for _, g := range groups {
		fence, _, ok := r.o.Leases.Held(g.Name)
		if !ok {
			r.endTerm(g)
			continue
		}
		for _, m := range g.Engines {
			e := r.engines[m.Engine]
			e.setDeadline(r.o.Rule, tail)
			e.startTerm(g.Name, fence, r.o)
			work.Go(func() error {
				r.reconcile(ctx, e, m, tail)
				return nil
			})
		}
	}
	_ = work.Wait()
	r.endOrphans(ctx, now, groups, tail)
}

// updateEngines keeps one entry for each engine of the groups. An engine that
// changed its group gets a new entry. All engines get new entries if document
// versions were skipped.
//
// The latter covers an engine that left a group and returned between two steps.
// Its group looks unchanged, but the holder of the group in between may still act
// on it.
func (r *Reconciler) updateEngines(now time.Duration, groups []Group, s *fold.State) {
	skipped := s.Versions > r.versions+1
	r.versions = s.Versions
	listed := make(map[string]bool)
	for _, g := range groups {
		for _, m := range g.Engines {
			listed[m.Engine] = true
			e := r.engines[m.Engine]
			if e == nil || e.group != g.Name || skipped {
				e.close()
				r.engines[m.Engine] = &engine{id: m.Engine, group: g.Name, progress: Progress{JoinedAt: now, JoinedVersion: s.Changed}}
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

// endTerm closes the connections to a group that this process doesn't hold.
func (r *Reconciler) endTerm(g Group) {
	for _, m := range g.Engines {
		r.engines[m.Engine].close()
		r.setLeaving(m.Engine, false)
	}
}

// readRate reads the weight store's rate every rateInterval. If the read fails,
// the last rate stays in use.
func (r *Reconciler) readRate(ctx context.Context) {
	now := r.o.Clock.Now()
	if r.o.Weights == nil || (r.rateReadAt > 0 && now < r.rateReadAt+rateInterval) {
		return
	}
	r.rateReadAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rate, err := r.o.Weights.Rate(ctx)
	if err != nil {
		log.WithError(err).Warn("reconcile: failed to read the weight store's rate")
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
