// Package membership detects which daemons of the fleet are alive. The VM list states
// which daemons should exist, but it lags behind; heartbeats show which ones respond.
//
// In each round a process probes one of its neighbours, which are the next members on
// several hash rings. A neighbour that doesn't respond is probed through a few other
// members, so that a single broken path causes no false detection. If that fails too, it
// is suspect, and after a timeout dead unless it refutes the suspicion. Updates are
// piggybacked on heartbeats. The traffic of a process doesn't depend on the number of
// members.
//
// One goroutine owns the table. Probes run in goroutines of their own and post their
// results to it. Readers load an immutable view.
package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
)

// Prober sends one heartbeat to the peer at addr and returns its reply.
type Prober interface {
	Heartbeat(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
}

// Convictions exchanges quarantine updates with peers on heartbeats. Its methods are
// called from several goroutines.
type Convictions interface {
	// Outgoing returns the updates to send now.
	Outgoing() []*peerpb.Conviction
	// Incoming merges updates received from a peer.
	Incoming([]*peerpb.Conviction)
}

// Options configures a Membership. Self, Prober and Period are required.
type Options struct {
	Self        *peerpb.Member // id, incarnation, start, addresses, zone
	Prober      Prober
	VMs         port.VMs               // may be nil
	PeerAddr    func(port.VM) string   // address at which a listed VM receives heartbeats
	IsTarget    func(host string) bool // whether a document names the VM as a target; may be nil
	Applied     func() int64           // control offset applied by this process
	Convictions Convictions            // may be nil
	Now         func() time.Duration   // monotonic local clock
	Period      time.Duration          // between probes
	DeadAfter   time.Duration          // time without a response after which a member is dead
	ListPeriod  time.Duration          // interval between reads of the VM list; default 1s
	Seed        uint64                 // of the probe order
	Log         log.Interface          // may be nil
	OnChange    func(*peerpb.Member)   // called on the loop goroutine; may be nil
}

// Membership runs failure detection and gossip of one process.
type Membership struct {
	o       Options
	tomb    tomb.Tomb
	started time.Duration // set once, in New
	tasks   chan func()
	view    atomic.Pointer[View]
	// leaving holds the VMs that the VM list marks as leaving.
	leaving atomic.Pointer[[]port.VM]

	// Owned by the loop goroutine.
	table    *table
	schedule *probeSchedule
	lastTick time.Duration
	resumed  time.Duration // first round after the last pause, 0 before the first pause

	lastList         time.Duration
	nextFullSync     time.Duration // when all members are requested next
	fullSyncInterval time.Duration // interval before the next request for all members
	listing          bool
	contact          contactState
}

// contactState records the time of the last message from any peer.
type contactState struct{ last time.Duration }

// maxCheckPeriods is the maximum duration, in periods, of the two checks before a member
// is marked dead. Each check probes directly and then through relays.
const maxCheckPeriods = 4

// New returns a Membership that is not yet started.
func New(o Options) *Membership {
	if o.ListPeriod == 0 {
		o.ListPeriod = time.Second
	}
	if o.Log == nil {
		o.Log = &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil })}
	}
	if o.IsTarget == nil {
		o.IsTarget = func(string) bool { return false }
	}
	if o.Applied == nil {
		o.Applied = func() int64 { return 0 }
	}
	m := &Membership{
		o:     o,
		tasks: make(chan func(), 64),
		table: newTable(o.Self, timeouts{
			suspicion: max(o.DeadAfter-maxCheckPeriods*o.Period, o.Period),
			tombstone: 20 * o.DeadAfter,
		}),
		schedule: &probeSchedule{rnd: rand.New(rand.NewPCG(o.Seed, 1))},
	}
	m.started = o.Now()
	m.lastTick = m.started
	m.lastList = m.lastTick - o.ListPeriod
	m.publish()
	return m
}

// Start runs the loop goroutine until Stop.
func (m *Membership) Start() { m.tomb.Go(m.loop) }

// Stop ends the loop and waits for it and its probes.
func (m *Membership) Stop() error {
	m.tomb.Kill(nil)
	return m.tomb.Wait()
}

func (m *Membership) loop() error {
	tick := time.NewTicker(m.o.Period)
	defer tick.Stop()
	m.round()
	for {
		select {
		case <-m.tomb.Dying():
			return nil
		case f := <-m.tasks:
			f()
		case <-tick.C:
			m.round()
		}
		m.publish()
	}
}

// do runs f on the loop goroutine and waits for it.
func (m *Membership) do(f func()) bool {
	done := make(chan struct{})
	select {
	case m.tasks <- func() { f(); close(done) }:
	case <-m.tomb.Dying():
		return false
	}
	select {
	case <-done:
		return true
	case <-m.tomb.Dead():
		return false
	}
}

// post runs f on the loop goroutine without waiting.
func (m *Membership) post(f func()) {
	select {
	case m.tasks <- f:
	case <-m.tomb.Dying():
	}
}

// round advances the table and sends one probe.
func (m *Membership) round() {
	now := m.o.Now()
	if m.pausedBetween(m.lastTick, now) {
		m.resumed = now
		m.o.Log.WithField("ms", (now - m.lastTick).Milliseconds()).Warn("membership: process was paused")
	}
	m.lastTick = now
	for _, e := range m.table.tick(now) {
		m.confirmDead(e)
	}
	m.readList(now)
	e := m.schedule.next(m.table)
	if e == nil {
		return
	}
	m.probeMember(e)
}

// Leave announces to the peers that this process is leaving.
func (m *Membership) Leave() {
	m.do(m.table.leave)
}
