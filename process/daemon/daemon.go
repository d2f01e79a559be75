// Package daemon wires one daemon: the platform's adapters, the state machine
// over the control stream, membership, leases and orders, the role planner and
// the request path. Every VM runs the same daemon; none is dedicated to
// control.
//
// Only the control goroutine builds the configuration in force. It stores it as
// an immutable snapshot, which the request path loads without blocking.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/connection/address"
	"github.com/pomelospool/pomelospool/connection/links"
	"github.com/pomelospool/pomelospool/connection/load"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/internal/drain"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/sock"
	"github.com/pomelospool/pomelospool/peer"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/port/httpapi"
	"github.com/pomelospool/pomelospool/process/burn"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/follow"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/process/membership"
	"github.com/pomelospool/pomelospool/process/memlimit"
	"github.com/pomelospool/pomelospool/process/reconcile"
	"github.com/pomelospool/pomelospool/process/saved"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/entry"
	"github.com/pomelospool/pomelospool/request/forward"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/view"
)

// Daemon is one daemon process. Use New to create it.
type Daemon struct {
	s     *settings.Settings
	self  string // incarnation
	tomb  tomb.Tomb
	clock clock.Clock
	state atomic.Int32 // holds a phase

	platform platformClients
	dialer   *peer.Dialer
	dial     func(ctx context.Context, addr string) (net.Conn, error) // to targets; nil: TCP

	follower   *follow.Follower
	members    *membership.Membership
	leases     *lease.Manager
	reconciler *reconcile.Reconciler
	planner    *rolePlanner

	view    *view.Holder
	pool    *pool.Pool
	watcher *load.Watcher
	router  *routing.Policy
	demands demandCounters
	burn    *burn.Tracker
	once    *once.LogDeduplicator
	crashes *quarantine.PartTracker
	saved   []*saved.Keeper
	entry   *entry.Entry

	links     *links.Tracker
	forwarder *forward.Forwarder

	memory    *quota.Memory // of all callers, on all ports
	docs      documents
	listeners listeners
	callers   *http.Server
	drain     *drain.Tracker // of callers
	operators *http.Server
	peers     *peer.Server

	drainOperators *drain.Tracker

	stopOnce sync.Once
}

// platformClients are the adapters to the platform.
type platformClients struct {
	log     *httpapi.Log
	vms     *httpapi.VMs
	weights *httpapi.Weights
}

// listeners are the daemon's open ports.
type listeners struct {
	callers, peers, operators net.Listener
}

// New opens the daemon's ports and wires its parts. It starts nothing. With
// port 0 in the settings the system chooses a port; Listen returns the result.
func New(s *settings.Settings) (*Daemon, error) { return newDaemon(s, nil) }

// newDaemon is New with a function that connects to targets, or nil for TCP.
func newDaemon(s *settings.Settings, dial func(ctx context.Context, addr string) (net.Conn, error)) (*Daemon, error) {
	own := *s
	d := &Daemon{
		s:     &own,
		dial:  dial,
		self:  s.VM + "/" + uuid.NewString(),
		clock: clock.Boot{},
		view:  &view.Holder{},

		memory: memlimit.Apply(s.Limits),

		demands: demandCounters{models: make(map[string]*demandCounter)},
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	keys, err := loadKeys(s.TLS)
	if err != nil {
		d.listeners.close()
		return nil, err
	}
	d.wirePlatform()
	d.wireMembership(keys)
	d.wireAgreement()
	d.wireSaved()
	d.wireRequests()
	d.wireServers(keys)
	return d, nil
}

const (
	// callerSilence is the time after which a connection is closed whose caller
	// acknowledges nothing. Otherwise it would hold its stream and its memory for many
	// minutes.
	callerSilence = 20 * time.Second
	// peerSilence is that of other daemons. One that is cut off can't say that the callers
	// of the requests that it has forwarded are gone. Few of them wait longer for a daemon
	// that stands still.
	peerSilence = 5 * time.Second
)

func (d *Daemon) listen() error {
	var err error
	open := func(addr string, silence time.Duration) (l net.Listener) {
		if err == nil {
			l, err = sock.Listen(addr, silence)
		}
		return l
	}
	d.listeners.callers = open(d.s.Listen.Callers, callerSilence)
	d.listeners.peers = open(d.s.Listen.Peers, peerSilence)
	d.listeners.operators = open(d.s.Listen.Operators, callerSilence)
	if err != nil {
		d.listeners.close()
		return fmt.Errorf("daemon: %w", err)
	}
	d.s.Listen = settings.Listen{
		Callers:   d.listeners.callers.Addr().String(),
		Peers:     d.listeners.peers.Addr().String(),
		Operators: d.listeners.operators.Addr().String(),
	}
	return nil
}

// Listen returns the addresses that the daemon listens on.
func (d *Daemon) Listen() settings.Listen { return d.s.Listen }

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) wirePlatform() {
	d.platform = platformClients{
		log:     httpapi.NewLog(d.s.Platform.Log, httpapi.Options{MaxConns: maxLogConns}),
		vms:     httpapi.NewVMs(d.s.Platform.VMs, httpapi.Options{}),
		weights: httpapi.NewWeights(d.s.Platform.Weights, httpapi.Options{}),
	}
}

// maxLogConns bounds the connections to the log. They serve the long polls of
// the control stream and of the at-most-once shards that this process batches.
const maxLogConns = 24

func (d *Daemon) wireMembership(keys *keys) {
	d.dialer = peer.NewDialer(peer.DialerOptions{Creds: keys.peerClient()})
	d.crashes = d.newCrashTracker()
	d.members = membership.New(membership.Options{
		Self: &peerpb.Member{
			Id:          d.s.VM,
			Incarnation: d.self,
			StartedMs:   uint64(time.Now().UnixMilli()),
			PeerAddr:    d.s.Listen.Peers,
			CallerAddr:  d.s.Listen.Callers,
			Zone:        d.s.Zone,
		},
		Prober:      d.dialer,
		VMs:         d.platform.vms,
		PeerAddr:    d.peerAddr,
		IsTarget:    d.isTargetHost,
		Applied:     func() int64 { return d.follower.Applied() },
		Convictions: d.crashes,
		Now:         d.clock.Now,
		Period:      d.s.Control.Heartbeat,
		DeadAfter:   d.s.Control.DeadAfter,
		Seed:        uint64(time.Now().UnixNano()),
		Log:         log.Log,
	})
}

// peerAddr returns the assumed peer address of a listed VM, used until the VM
// announces its own. All daemons are configured alike, so it uses the port of
// this daemon.
func (d *Daemon) peerAddr(v port.VM) string {
	_, port, err := net.SplitHostPort(d.s.Listen.Peers)
	if err != nil {
		return v.Addr
	}
	return net.JoinHostPort(v.Addr, port)
}

// isTargetHost reports whether a document in force has a target on the host.
func (d *Daemon) isTargetHost(host string) bool {
	snap := d.view.Load()
	return snap != nil && snap.TargetHosts[host]
}

func (d *Daemon) wireAgreement() {
	d.follower = follow.New(follow.Options{
		Log:               d.platform.log,
		Clock:             d.clock,
		Self:              d.self,
		Validate:          validate,
		Peers:             &peerRecords{d: d},
		Rank:              d.rank,
		CheckpointRecords: d.s.Control.Checkpoint,
		HolderPollWait:    d.s.Control.Lease / pollsPerLease,
		IdlePollWait:      min(d.s.Control.Isolation/idlePollsPerIsolation, maxIdlePoll),
	})
	rule := lease.Rule{Duration: d.s.Control.Lease, Guard: d.s.Control.Drift}.WithDefaults()
	d.leases = lease.New(lease.Options{
		Rule:       rule,
		Clock:      d.clock,
		Follower:   d.follower,
		Membership: &leaseView{d: d},
		Groups:     d.groupNames,
		Self:       d.self,
		Addr:       d.s.Listen.Peers,
	})
	d.planner = newRolePlanner(d)
	d.reconciler = reconcile.New(reconcile.Options{
		Rule:        rule,
		Clock:       d.clock,
		Follower:    d.follower,
		Leases:      d.leases,
		Snapshot:    d.view.Load,
		Connect:     connectEngine,
		PlannedRole: d.planner.desiredRole,
		Weights:     d.platform.weights,
		Interval:    d.s.Control.EngineCheckInterval,
	})
}

// Bounds on the long polls at the log's tail. A poll returns without a record
// if nothing is published.
//
// A read reflects the log as of its start, so its result is two polls old when
// the next read ends. With polls about as long as the isolation time, a daemon
// that has lost its peers would now and then refuse requests although it reads
// a quiet log without errors. Polls of a quarter of that time leave room for a
// slow log. The same holds for leases, which are extended from the start of
// their holder's reads.
const (
	maxIdlePoll           = 3 * time.Second
	idlePollsPerIsolation = 4
	pollsPerLease         = 4
)

// connectEngine returns the adapter for orders of one lease term.
func connectEngine(engine string, check lease.Check, userTimeout time.Duration) port.Engine {
	return httpapi.NewEngine(engine, httpapi.Options{
		SingleUse: true,
		Dial:      lease.Dialer(check, userTimeout),
	})
}

// dialTarget returns a dial function for the engines' control interface, or nil
// for TCP.
func (d *Daemon) dialTarget() func(ctx context.Context, network, addr string) (net.Conn, error) {
	if d.dial == nil {
		return nil
	}
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return d.dial(ctx, addr) }
}

// kvTransferRate is the assumed rate of KV cache transfers between engines, in
// tokens a second, from docs/ENGINE-MODEL.md.
const kvTransferRate = 100_000

func (d *Daemon) wireRequests() {
	d.pool = pool.New(pool.Options{
		OnDown:     func(addr string, err error) { d.watcher.HandleDown(addr, err) },
		OnResponse: func(addr string, h http.Header) { d.watcher.HandleResponse(addr, h) },
		Dial:       d.dial,
	})
	d.watcher = load.New(load.Options{
		View: d.view,
		Pool: d.pool,
		Engine: func(addr string) port.Engine {
			return httpapi.NewEngine(addr, httpapi.Options{MaxConns: 2, Dial: d.dialTarget()})
		},
		Process:      d.s.VM,
		Zone:         d.s.Zone,
		PollInterval: d.s.Control.LoadPoll,
		WatchLimit:   d.s.Control.WatchedTargets,
		CallRate:     d.s.Control.LoadReadRate,
		OnCrash:      d.crashes.Crashed,
	})
	d.wireLinks()
	d.router = routing.New(routing.Options{KVTransferRate: kvTransferRate})
	d.burn = burn.New(burn.Options{Daemon: d.s.VM, Objectives: d.objectives})
	d.once = d.newOnceLog()
	d.entry = entry.New(entry.Options{
		View:           d.view,
		Gate:           d,
		Pool:           d.pool,
		Router:         d.router,
		Targets:        d.watcher,
		OnModelRequest: d.demands.record,
		Addresses:      address.NewSelector(d.addresses, d.s.Control.AddressTTL),
		Once:           d.once,
		Quarantine:     d.crashes,
		Burn:           d.burn,
		Verify:         d.watcher.Verify,
		KV:             d.watcher,
		Links:          d.links,
		Budget:         d.newRetryBudget(),
		Peers:          d.forwarder,
		Limits:         d.s.Limits,
		Zone:           d.s.Zone,
		ShedEarly:      d.s.Scheduling.ShedEarly,
	})
}

// newRetryBudget returns the limit on the retries of all daemons.
func (d *Daemon) newRetryBudget() *budget.Fleet {
	return budget.NewFleet(budget.FleetOptions{
		Slack:   d.s.Bounds.RetrySlack,
		Window:  d.s.Bounds.RetryWindow,
		Daemons: func() int { return 1 + len(d.members.View().Members) },
		Clock:   clock.Boot{}.Now,
	})
}
