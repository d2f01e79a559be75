// Package front wires a daemon on a platform with a store: the topics read from
// the store, the exchange between daemons, the role planner and the request
// path. Every VM runs the same daemon; none is dedicated to control. Only what
// is in the store outlives the process.
package front

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/connection/links"
	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/connection/shares"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/connection/targets"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/sock"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/discovery"
	"github.com/pomelospool/pomelospool/process/memlimit"
	"github.com/pomelospool/pomelospool/process/relay"
	"github.com/pomelospool/pomelospool/process/roles"
	"github.com/pomelospool/pomelospool/process/roster"
	"github.com/pomelospool/pomelospool/process/saved"
	"github.com/pomelospool/pomelospool/process/scale"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/process/topic"
	"github.com/pomelospool/pomelospool/process/usage"
	"github.com/pomelospool/pomelospool/process/versions"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/request/forward"
	"github.com/pomelospool/pomelospool/request/ingress"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/version/inforce"
)

const (
	// addressTTL is the lifetime of an address answer. Some callers keep an
	// answer up to three times as long, and a planned stop waits for that.
	addressTTL = time.Second
	// addressCacheFactor is the factor by which some callers exceed addressTTL.
	addressCacheFactor = 3
	// upkeepInterval is the interval between two removals of stale state.
	upkeepInterval = time.Second
	// endsLogTicks is the number of upkeepIntervals between two lines of logEnds.
	endsLogTicks = 5
	// controlTimeout bounds a control call to an engine, as opposed to a
	// caller's request.
	controlTimeout = 800 * time.Millisecond
)

// Daemon is one entry process on a platform with a store.
type Daemon struct {
	s    *settings.Settings
	tomb tomb.Tomb

	store     *relay.Store
	monitored *relay.MonitoredStore // store, for claims and agreements kept there
	caches    map[port.Topic]*relay.TopicCache
	config    *inforce.Holder
	registry  *discovery.Registry
	followers []*topic.Follower
	storeLost atomic.Bool

	dial        func(ctx context.Context, addr string) (net.Conn, error) // to targets; nil: TCP
	pool        *h1.Pool
	ends        h1.EndStats // of pool as logged last; used by upkeep
	engines     *engines.Tracker
	health      *health.Tracker
	speed       *speed.Tracker
	factors     *speed.Factors // of engines; nil: the setting is off
	demand      *demand.Tracker
	shares      *shares.Tracker // nil: organisations aren't limited to fair shares
	budget      *budget.Fleet
	links       *links.Tracker
	forwarder   *forward.Forwarder
	control     port.EngineControl
	roster      *roster.Roster
	planner     *roles.Planner
	clock       *clock.Estimator
	incarnation uint64 // of this process
	crashes     *quarantine.CrashTracker
	origins     *origin.Tracker // of streams

	targetsConfirmed *relay.Confirmation // that the list of targets is complete

	versions  *versions.Keeper
	saved     []*saved.Keeper
	runner    *dispatch.Runner
	usage     *usage.Reporter // nil: usage isn't reported
	scaler    *scale.Scaler   // nil: engines aren't ordered
	claimAges *claim.AgeTracker
	ingress   *ingress.Ingress
	metrics   *metrics
	rate      *rateMeter // of callers' requests
	ready     atomic.Bool

	memory   *quota.Memory // of all callers, on all ports
	servers  []*server
	callers  *server
	peers    net.Listener
	stopOnce sync.Once

	reads    context.Context // of other daemons from the caches; ends when their port is drained
	endReads context.CancelFunc
}

// New opens the daemon's ports and wires its parts. It starts nothing.
func New(s *settings.Settings) (*Daemon, error) { return newDaemon(s, nil) }

// newDaemon is New with a function that connects to targets, or nil for TCP.
func newDaemon(s *settings.Settings, dial func(ctx context.Context, addr string) (net.Conn, error)) (*Daemon, error) {
	d := &Daemon{
		s:         s,
		config:    inforce.New(platform.DecodeConfig),
		dial:      dial,
		pool:      h1.New(h1.Options{Dial: dial}),
		claimAges: claim.NewAgeTracker(clock.Boot{}),
		speed:     speed.NewTracker(),
		demand:    demand.New(time.Now),
		rate:      newRateMeter(time.Now),
		memory:    memlimit.Apply(s.Limits),
	}
	if s.Scheduling.FairShares {
		d.shares = shares.New(time.Now)
	}
	d.reads, d.endReads = context.WithCancel(context.Background())
	d.incarnation = uint64(time.Now().UnixNano())
	d.clock = clock.NewEstimator(clock.Boot{}, time.Now)
	d.registry = discovery.New(discovery.Options{
		Decode:  platform.DecodeTarget,
		Observe: func(software map[string][]string) { d.origins.Observe(software) },
	})
	d.engines = engines.New(time.Now, func(w engines.Work) {
		if d.roster != nil {
			d.roster.WorkChanged(w)
		}
	})
	d.health = health.New(time.Now, d.engines.MarkDown)
	d.newFactors()
	d.crashes = quarantine.New(quarantine.Options{
		Self: s.VM, ToleratedCrashes: toleratedCrashes, Tries: d.triesContent, Changed: d.notifyPeers,
	})
	d.store = relay.NewStore(platform.NewStore(s.Store.Addr), func() []string { return d.roster.Upstream().Peers }, func() []string { return d.roster.ReadyPeers() }, port.TopicConfig, port.TopicTargets)
	d.monitored = relay.NewMonitoredStore(d.store)
	d.store.RetryDelay = d.retryDelay
	d.store.OnReadError = d.monitored.ReportError
	d.store.Depth = func() int { return d.roster.Upstream().Depth }
	d.store.PeersWithStore = func() []string { return d.roster.PeersWithStore() }
	d.wireOrigins()
	d.keep(port.TopicStreams, d.origins)
	d.keep(port.TopicCrashes, d.crashes)
	if err := d.wireRoster(); err != nil {
		return nil, err
	}
	d.store.ReadersKnown = d.roster.ContactsListed()
	d.wireDuties()
	d.wireLinks()
	d.wireRequests()
	d.wireStore()
	if err := d.wireServers(); err != nil {
		_ = d.links.Stop()
		d.closeServers()
		return nil, err
	}
	return d, nil
}

// peerPortAttempts is the number of attempts to find a port that is free for
// both UDP and TCP if the settings leave the port open.
const peerPortAttempts = 20

// wireRoster opens the peers' port for both UDP and TCP.
func (d *Daemon) wireRoster() error {
	var err error
	for range peerPortAttempts {
		var l net.Listener
		if l, err = sock.Listen(d.s.Listen.Peers, peerSilence); err != nil {
			break
		}
		if err = d.newRoster(l.Addr().String()); err == nil {
			d.peers = l
			return nil
		}
		_ = l.Close()
		if l.Addr().String() == d.s.Listen.Peers {
			break
		}
	}
	return fmt.Errorf("front: peers: %w", err)
}

func (d *Daemon) newRoster(addr string) error {
	r, err := roster.New(roster.Options{
		Self: roster.Member{
			VM:          d.s.VM,
			Incarnation: d.incarnation,
			CallerAddr:  d.s.Listen.Callers,
			PeerAddr:    addr,
			Zone:        d.s.Zone,
			LinkMbps:    uint32(d.s.LinkMbps),
			Millicores:  d.s.Processor.Millicores(),
		},
		Store:            d.store,
		Engines:          d.engines,
		Claims:           d.claimAges,
		Speeds:           d.speed,
		Demand:           d.demand,
		TTL:              min(addressTTL, d.s.Bounds.AddressTTL),
		StoreUnavailable: d.storeUnavailable,
		StoreFails:       d.storeFails,
		SingleReader:     allowsSingleReader(min(d.s.Bounds.Drain, d.s.Bounds.ApplyConfig)),
		Clock:            d.clock,
		Usage:            d.receiveUsage,
		Rate:             d.rate.perSecond,
		Unlinked:         func() bool { return d.links != nil && d.links.AnyLost() },
		Convictions:      d.crashes,
		Origins:          d.origins,
		Summaries:        d.summaries(),
	})
	if err != nil {
		return err
	}
	d.roster = r
	return nil
}

func (d *Daemon) wireRequests() {
	d.control = platform.NewEngines(controlTimeout, d.dial)
	d.budget = budget.NewFleet(budget.FleetOptions{
		Ratio:   d.s.Bounds.RetryRatio,
		Slack:   d.s.Bounds.RetrySlack,
		Window:  d.s.Bounds.RetryWindow,
		Daemons: d.roster.FleetSize,
		Clock:   clock.Boot{}.Now,
	})
	options := dispatch.Options{
		Protocol: platform.TargetProtocol{},
		Pool:     d.pool,
		Targets:  directory{d.registry},
		Engines:  d.engines,
		Health:   d.health,
		Speed:    d.speed,
		Demand:   d.demand,
		Factors:  d.factors,
		Budget:   d.budget,
		Control:  d.control,
		Queues:   d.roster,
		Zone:     d.s.Zone,
		Self:     d.s.VM,
		Links:    d.links,
		Peers:    d.forwarder,
		Reports:  d.reports(),

		Quarantine:  d.crashes,
		Origins:     d.origins,
		TargetAddrs: d.targetAddrs,
		ShedEarly:   d.s.Scheduling.ShedEarly,
	}
	if d.shares != nil {
		options.Shares = d.shares
	}
	d.runner = dispatch.New(options)
	d.metrics = newMetrics(d)
	d.ingress = ingress.New(ingress.Options{Config: d.config, Protocol: platform.TargetProtocol{}, Runner: d.runner, Observe: d.observe,
		TargetsAge: func() (time.Duration, bool) { return d.caches[port.TopicTargets].Age() },
		ConfigAge:  func() (time.Duration, bool) { return d.caches[port.TopicConfig].Age() }, MaxConfigAge: d.s.Bounds.ApplyConfig, OnStart: d.countUsage, OthersServe: d.othersServe})
	d.planner = roles.New(roles.Options{
		Self:    d.s.VM,
		Store:   d.monitored,
		Control: d.control,
		Targets: d.registry,
		Config:  d.config,
		Roster:  d.roster,
		Engines: d.engines,
		Health:  d.health,
		Demand:  d.demand,
		Speed:   d.speed,
		Factors: d.factors,
		Lease:   d.s.Bounds.Lease,
		Ages:    d.claimAges,
	})
}

// directory gives the dispatcher the targets of a service.
type directory struct{ r *discovery.Registry }

func (d directory) Targets(service string) *targets.Set {
	return d.r.Snapshot().Targets[service]
}

// Start starts all parts and returns immediately.
func (d *Daemon) Start() {
	log.WithFields(log.Fields{"vm": d.s.VM, "zone": d.s.Zone, "callers": d.s.Listen.Callers, "peers": d.s.Listen.Peers, "operators": d.s.Listen.Operators, "bootstrap": d.s.Bootstrap}).Info("front: starting")
	d.tomb.Go(func() error {
		for _, s := range d.servers {
			d.tomb.Go(func() error { return d.serve(s) })
		}
		d.roster.Start()
		for _, f := range d.followers {
			f.Start()
		}
		d.planner.Start()
		d.startDuties()
		d.tomb.Go(func() error {
			d.monitored.Run(d.tomb.Context(context.Background()))
			return nil
		})
		d.tomb.Go(d.upkeep)
		d.tomb.Go(d.trackOrigins)
		d.tomb.Go(d.saveState)
		return nil
	})
}

// Dying returns a channel that is closed when the daemon begins to end, be it
// after Shutdown or because a server failed.
func (d *Daemon) Dying() <-chan struct{} { return d.tomb.Dying() }

// Wait blocks until the daemon has ended.
func (d *Daemon) Wait() error { return d.tomb.Wait() }

// readyInterval is the interval between two checks whether the daemon can
// serve.
const readyInterval = 20 * time.Millisecond

// upkeep marks the daemon as ready once it can serve. From then on it
// periodically removes stale state and updates the metrics of estimates.
func (d *Daemon) upkeep() error {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	defer d.logEnds()
	ticks := 0
	for {
		select {
		case <-d.tomb.Dying():
			return nil
		case <-tick.C:
		}
		if !d.ready.Load() && d.config.Load() != nil && d.registry.Snapshot().Listed {
			d.ready.Store(true)
			d.roster.SetState(roster.Ready)
			log.WithField("version", d.config.Load().Version).Info("front: ready")
			tick.Reset(upkeepInterval)
			d.tomb.Go(d.loadPrefixCaches)
		}
		if d.ready.Load() {
			d.removeStale()
			d.metrics.setEstimates(d.config.Load(), d.speed)
			d.metrics.setRetryBudgets(d.config.Load(), d.budget)
			d.updateShares()
			d.metrics.setUnreported(d.config.Load(), d.runner)
			d.updateSpeeds()
			if ticks++; ticks%endsLogTicks == 0 {
				d.logEnds()
			}
		}
	}
}

func (d *Daemon) removeStale() {
	d.pool.Retain(func(key string) bool {
		addr, id := h1.SplitKey(key)
		e, known := d.registry.Lookup(id)
		return known && e.Addr == addr
	})
	d.forwarder.Trim()
	d.engines.Retain(d.registry.HasHash)
	d.health.Retain(func(id string) bool {
		_, known := d.registry.Lookup(strings.TrimSuffix(id, dispatch.KVSuffix))
		return known
	})
}

// Reload applies those of the new settings that can change at run time.
func (d *Daemon) Reload(s *settings.Settings) {
	d.budget.Set(s.Bounds.RetryRatio, s.Bounds.RetrySlack)
	log.WithFields(log.Fields{"retry_ratio": s.Bounds.RetryRatio, "retry_slack": s.Bounds.RetrySlack}).Info("front: settings reloaded")
}
