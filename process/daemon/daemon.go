// Package daemon wires one entry process: the platform's adapters, the fold
// of the control stream, membership, leases and orders, the role planner, and
// the request path. Every VM runs the same; none is set aside for control.
//
// The control goroutine alone builds what is in force and stores it as an
// immutable snapshot. Traffic loads the snapshot and never waits for it.
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
	"github.com/pomelospool/pomelospool/connection/load"
	"github.com/pomelospool/pomelospool/connection/pool"
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
	"github.com/pomelospool/pomelospool/process/reconcile"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/request/entry"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/view"
)

// Daemon is one entry process. Make it with New.
type Daemon struct {
	s     *settings.Settings
	self  string // incarnation
	tomb  tomb.Tomb
	clock clock.Clock
	state atomic.Int32 // of type phase

	platform platformClients
	dialer   *peer.Dialer

	follower   *follow.Follower
	members    *membership.Membership
	leases     *lease.Manager
	reconciler *reconcile.Reconciler
	planner    *rolePlanner

	view    *view.Holder
	pool    *pool.Pool
	watcher *load.Watcher
	router  *routing.Policy
	demands demands
	burn    *burn.Tracker
	once    *once.LogDeduplicator
	crashes *quarantine.CrashTracker
	entry   *entry.Entry

	docs      documents
	listeners listeners
	callers   *http.Server
	operators *http.Server
	peers     *peer.Server
	stopOnce  sync.Once
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

// New listens on the daemon's ports and wires its parts. Nothing runs yet. A
// port 0 in the settings lets the system choose one, which Listen tells.
func New(s *settings.Settings) (*Daemon, error) {
	own := *s
	d := &Daemon{
		s:     &own,
		self:  s.VM + "/" + uuid.NewString(),
		clock: clock.Boot{},
		view:  &view.Holder{},

		demands: demands{models: make(map[string]*demand)},
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
	d.wireRequests()
	d.wireServers(keys)
	return d, nil
}

// acceptedTimeout is how long what was sent to a caller or peer may stand
// unacknowledged. A connection that something between the two ends lost track
// of would otherwise hold its stream and its memory for many minutes.
const acceptedTimeout = 20 * time.Second

func (d *Daemon) listen() error {
	listener := net.ListenConfig{Control: sock.UserTimeout(acceptedTimeout)}
	var err error
	open := func(addr string) net.Listener {
		if err != nil {
			return nil
		}
		var l net.Listener
		l, err = listener.Listen(context.Background(), "tcp", addr)
		return l
	}
	d.listeners.callers = open(d.s.Listen.Callers)
	d.listeners.peers = open(d.s.Listen.Peers)
	d.listeners.operators = open(d.s.Listen.Operators)
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

// Listen gives the addresses that the daemon listens on.
func (d *Daemon) Listen() settings.Listen { return d.s.Listen }

func (l *listeners) close() {
	for _, one := range []net.Listener{l.callers, l.peers, l.operators} {
		if one != nil {
			_ = one.Close()
		}
	}
}

func (d *Daemon) wirePlatform() {
	d.platform = platformClients{
		log:     httpapi.NewLog(d.s.Platform.Log, httpapi.Options{MaxConns: logConns}),
		vms:     httpapi.NewVMs(d.s.Platform.VMs, httpapi.Options{}),
		weights: httpapi.NewWeights(d.s.Platform.Weights, httpapi.Options{}),
	}
}

// logConns bounds the connections to the log: long polls of the control
// stream and of the at-most-once shards that this process batches.
const logConns = 24

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

// peerAddr guesses where a listed VM takes heartbeats: all copies are alike,
// so on the same port as this one, until the VM itself says otherwise.
func (d *Daemon) peerAddr(v port.VM) string {
	_, port, err := net.SplitHostPort(d.s.Listen.Peers)
	if err != nil {
		return v.Addr
	}
	return net.JoinHostPort(v.Addr, port)
}

// isTargetHost reports whether a document in force names a target on the host.
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
		HolderPollWait:    d.s.Control.Lease / holderReads,
		IdlePollWait:      min(d.s.Control.Isolation/idleReads, idleWait),
	})
	rule := lease.Rule{T: d.s.Control.Lease, Guard: d.s.Control.Drift}.WithDefaults()
	d.leases = lease.New(lease.Options{
		Rule:     rule,
		Clock:    d.clock,
		Follower: d.follower,
		View:     &leaseView{d: d},
		Groups:   d.groupNames,
		Self:     d.self,
		Addr:     d.s.Listen.Peers,
	})
	d.planner = newRolePlanner(d)
	d.reconciler = reconcile.New(reconcile.Options{
		Rule:     rule,
		Clock:    d.clock,
		Follower: d.follower,
		Leases:   d.leases,
		Snapshot: d.view.Load,
		Connect:  connectEngine,
		Wish:     d.planner.wish,
		Weights:  d.platform.weights,
		Every:    d.s.Control.Look,
	})
}

// Bounds of the long polls at the log's tail, which end without a record when
// nothing is published.
//
// What a read shows is as old as its begin, so at the end of the next read it
// is two polls old. Polls about as long as the isolation time would make a
// daemon that reads a quiet log without trouble refuse requests now and then,
// once its peers are gone; a quarter of it leaves room for a slow log. A
// lease, too, lives on the begin of its holder's reads.
const (
	idleWait    = 3 * time.Second
	idleReads   = 4 // in the isolation time
	holderReads = 4 // in the lease time
)

// connectEngine makes the adapter for orders of one lease term.
func connectEngine(engine string, check lease.Check, userTimeout time.Duration) port.Engine {
	return httpapi.NewEngine(engine, httpapi.Options{
		Dial: lease.Dialer(check, userTimeout),
	})
}

// kvMoveRate is the assumed rate of moving KV cache between engines, in
// tokens a second, as docs/ENGINE-MODEL.md has it.
const kvMoveRate = 100_000

func (d *Daemon) wireRequests() {
	d.pool = pool.New(pool.Options{
		Down:     func(addr string, err error) { d.watcher.Down(addr, err) },
		Answered: func(addr string, h http.Header) { d.watcher.Answered(addr, h) },
	})
	d.watcher = load.New(load.Options{
		View:         d.view,
		Pool:         d.pool,
		Engine:       func(addr string) port.Engine { return httpapi.NewEngine(addr, httpapi.Options{MaxConns: 2}) },
		Process:      d.s.VM,
		Zone:         d.s.Zone,
		PollInterval: d.s.Control.LoadPoll,
		WatchLimit:   d.s.Control.Watch,
		CallRate:     d.s.Control.LoadReads,
		OnCrash:      d.crashes.Crashed,
	})
	d.router = routing.New(routing.Options{KVTransferRate: kvMoveRate})
	d.burn = burn.New(burn.Options{Daemon: d.s.VM, Objectives: d.objectives})
	d.once = d.newOnceKeeper()
	d.entry = entry.New(entry.Options{
		View:       d.view,
		Gate:       d,
		Pool:       d.pool,
		Router:     d.router,
		Targets:    d.watcher,
		Asked:      d.demands.asked,
		Addresses:  address.NewSelector(d.addresses, d.s.Control.AddressTTL),
		Once:       d.once,
		Quarantine: d.crashes,
		Burn:       d.burn,
		Verify:     d.watcher.Verify,
		KV:         d.watcher,
		Limits:     d.s.Limits,
		Zone:       d.s.Zone,
	})
}
