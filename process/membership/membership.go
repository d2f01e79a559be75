// Package membership tells each daemon which others are alive. The VM list
// says who should exist, but it lags; heartbeats say who answers.
//
// Each round a process probes one of its neighbours: the next members after it
// on several rings. One that doesn't answer is probed through a few others,
// so that a single broken path is no death; then it is suspect, and dead
// after a while unless it refutes that. Changes ride on the heartbeats. The
// bytes a process sends don't depend on the number of members.
//
// One goroutine owns the table. Probes run in goroutines of their own and
// report back to it; readers load an immutable view.
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

// Convictions carries quarantine news on heartbeats. Both methods are called
// from several goroutines.
type Convictions interface {
	// Outgoing returns the news to send now.
	Outgoing() []*peerpb.Conviction
	// Incoming takes news that a peer sent.
	Incoming([]*peerpb.Conviction)
}

// Options of a Membership. Self, Prober and Period are required.
type Options struct {
	Self        *peerpb.Member // id, incarnation, start, addresses, zone
	Prober      Prober
	VMs         port.VMs               // may be nil
	PeerAddr    func(port.VM) string   // where a listed VM takes heartbeats
	IsTarget    func(host string) bool // a document names the VM as a target; may be nil
	Applied     func() int64           // control offset in force here
	Convictions Convictions            // may be nil
	Now         func() time.Duration   // local clock; never steps back
	Period      time.Duration          // between probes
	DeadAfter   time.Duration          // silence until a member is dead
	ListPeriod  time.Duration          // between reads of the VM list; 1s
	Seed        uint64                 // of the probe order
	Log         log.Interface          // may be nil
	OnChange    func(*peerpb.Member)   // called by the owner goroutine; may be nil
}

// Membership runs the heartbeats of one process.
type Membership struct {
	o       Options
	tomb    tomb.Tomb
	started time.Duration // set once, in New
	calls   chan func()
	view    atomic.Pointer[View]
	// leaving holds the VMs that the VM list shows as leaving.
	leaving atomic.Pointer[[]port.VM]

	// Owned by the loop goroutine.
	table    *table
	schedule *schedule
	lastTick time.Duration
	resumed  time.Duration // first round after the last pause, 0 before one

	lastList time.Duration
	nextFull time.Duration // when all members are asked for
	fullWait time.Duration // between the last two requests for all
	listing  bool
	peers    peerContact
}

// peerContact remembers when any peer last answered.
type peerContact struct{ last time.Duration }

// checkPeriods is how long the two checks before a death take at most: each
// asks directly and then through others.
const checkPeriods = 4

// New returns a Membership that isn't running yet.
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
		calls: make(chan func(), 64),
		table: newTable(o.Self, limits{
			suspicion: max(o.DeadAfter-checkPeriods*o.Period, o.Period),
			tombstone: 20 * o.DeadAfter,
		}),
		schedule: &schedule{rnd: rand.New(rand.NewPCG(o.Seed, 1))},
	}
	m.started = o.Now()
	m.lastTick = m.started
	m.lastList = m.lastTick - o.ListPeriod
	m.publish()
	return m
}

// Start runs the loop until Stop.
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
		case f := <-m.calls:
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
	case m.calls <- func() { f(); close(done) }:
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
	case m.calls <- f:
	case <-m.tomb.Dying():
	}
}

// round advances the table and sends one probe.
func (m *Membership) round() {
	now := m.o.Now()
	if m.pausedBetween(m.lastTick, now) {
		m.resumed = now
		m.o.Log.WithField("ms", (now - m.lastTick).Milliseconds()).Warn("membership: paused")
	}
	m.lastTick = now
	for _, e := range m.table.tick(now) {
		m.confirm(e)
	}
	m.readList(now)
	e := m.schedule.next(m.table)
	if e == nil {
		return
	}
	m.probe(e)
}

// Leave tells everyone that this process is leaving.
func (m *Membership) Leave() {
	m.do(m.table.leave)
}
