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
	"github.com/pomelospool/pomelospool/platform"
)

// Times between two requests for all members. At 360 members one answer has
// about 47 KB; it is left out when the digests agree, as they mostly do.
const (
	fullFirst  = time.Second
	fullPeriod = 2 * time.Minute
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
	VMs         platform.VMs             // may be nil
	PeerAddr    func(platform.VM) string // where a listed VM takes heartbeats
	IsTarget    func(host string) bool   // a document names the VM as a target; may be nil
	Applied     func() int64             // control offset in force here
	Convictions Convictions              // may be nil
	Now         func() time.Duration     // local clock; never steps back
	Period      time.Duration            // between probes
	DeadAfter   time.Duration            // silence until a member is dead
	ListPeriod  time.Duration            // between reads of the VM list; 1s
	Seed        uint64                   // of the probe order
	Log         log.Interface            // may be nil
	OnChange    func(*peerpb.Member)     // called by the owner goroutine; may be nil
}

// Membership runs the heartbeats of one process.
type Membership struct {
	o       Options
	tomb    tomb.Tomb
	started time.Duration // set once, in New
	calls   chan func()
	view    atomic.Pointer[View]
	// leaving holds the VMs that the VM list shows as leaving.
	leaving atomic.Pointer[[]platform.VM]

	// Owned by the loop goroutine.
	table    *table
	schedule *schedule
	lastTick time.Duration

	lastList time.Duration
	nextFull time.Duration // when all members are asked for
	fullWait time.Duration // between the last two requests for all
	listing  bool
	peers    peerContact
}

// peerContact remembers when any peer last answered.
type peerContact struct{ last time.Duration }

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
			suspicion: max(o.DeadAfter-2*o.Period, o.Period),
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
	paused := now-m.lastTick > 2*m.o.Period+m.o.DeadAfter/2
	m.lastTick = now
	if paused {
		m.forgive(now)
	}
	m.table.tick(now)
	m.readList(now)
	e := m.schedule.next(m.table)
	if e == nil {
		return
	}
	m.probe(e)
}

// forgive restarts all suspicions after this process itself was paused. The
// silence it sees on waking is its own: without this a process that slept
// would call every other dead at once and spread that.
func (m *Membership) forgive(now time.Duration) {
	m.o.Log.Warn("membership: paused, suspicions start anew")
	for _, e := range m.table.members {
		if e.m.State == peerpb.Member_SUSPECT {
			e.since = now
		}
	}
}

func (m *Membership) request() *peerpb.HeartbeatRequest {
	return &peerpb.HeartbeatRequest{
		From:        m.me(),
		News:        m.table.news.take(len(m.table.members) + 1),
		Convictions: m.outgoing(),
	}
}

func (m *Membership) me() *peerpb.Member {
	m.table.self.Applied = m.o.Applied()
	return cloneMember(m.table.self)
}

func (m *Membership) outgoing() []*peerpb.Conviction {
	if m.o.Convictions == nil {
		return nil
	}
	return m.o.Convictions.Outgoing()
}

func (m *Membership) incoming(c []*peerpb.Conviction) {
	if m.o.Convictions != nil && len(c) > 0 {
		m.o.Convictions.Incoming(c)
	}
}

// probe asks a member directly, then through others, off the loop.
func (m *Membership) probe(e *entry) {
	id, addr := e.m.Id, e.m.PeerAddr
	req := m.request()
	if m.wantFull() {
		req.Full, req.Digest = true, m.table.digest()
	}
	if e.m.State != peerpb.Member_LIVE {
		req.News = append(req.News, e.m)
	}
	via := m.schedule.relaysFor(m.table, id)
	indirect := m.request()
	indirect.ProbeAddr = addr
	began := m.lastTick
	m.tomb.Go(func() error {
		reply, ok := m.ask(addr, req)
		if ok {
			m.post(func() {
				if req.Full {
					m.gotFull(m.table.takeFull(m.o.Now(), reply.News))
					reply.News = nil
				}
				m.reached(reply)
			})
			return nil
		}
		if m.askThrough(via, indirect) {
			return nil
		}
		m.post(func() { m.unreached(id, began) })
		return nil
	})
}

// wantFull tells whether the next heartbeat asks for all members: at the
// start, then at intervals that double, since the peers that answer first may
// have started just now themselves. A process that has just started knows
// only the VM list; without the full answer it would hold members for gone
// that it has merely not reached yet.
func (m *Membership) wantFull() bool {
	if m.lastTick < m.nextFull {
		return false
	}
	m.nextFull = m.lastTick + m.o.Period
	return true
}

// gotFull plans the next request for all members: soon while the answers
// still bring something new, as when a whole fleet starts at once, and else
// after twice the time.
func (m *Membership) gotFull(grew bool) {
	m.fullWait = min(2*m.fullWait, fullPeriod)
	if grew || m.fullWait == 0 {
		m.fullWait = fullFirst
	}
	m.nextFull = m.o.Now() + m.fullWait
}

// ask sends one heartbeat with a time limit of one period.
func (m *Membership) ask(addr string, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, bool) {
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), m.o.Period)
	defer cancel()
	reply, err := m.o.Prober.Heartbeat(ctx, addr, req)
	if err != nil || reply.GetFrom() == nil {
		return nil, false
	}
	return reply, true
}

// askThrough tells whether any relay reached the member.
func (m *Membership) askThrough(via []*peerpb.Member, req *peerpb.HeartbeatRequest) bool {
	answers := make(chan bool, len(via))
	for _, relay := range via {
		addr := relay.PeerAddr
		m.tomb.Go(func() error {
			reply, ok := m.ask(addr, req)
			if ok {
				m.post(func() { m.reached(reply) })
			}
			answers <- ok && reply.Reached
			return nil
		})
	}
	for range via {
		if <-answers {
			return true
		}
	}
	return false
}

func (m *Membership) reached(reply *peerpb.HeartbeatReply) {
	now := m.o.Now()
	m.peers.last = now
	m.takeNews(now, reply.From, reply.News, reply.Convictions)
}

// unreached suspects a member, unless this process was paused since the probe
// began: then the missing answer proves nothing.
func (m *Membership) unreached(id string, began time.Duration) {
	now := m.o.Now()
	if now-began > 3*m.o.Period+m.o.DeadAfter/2 {
		return
	}
	m.table.suspect(now, id)
}

func (m *Membership) takeNews(now time.Duration, from *peerpb.Member, news []*peerpb.Member, c []*peerpb.Conviction) {
	m.table.heard(now, from)
	for _, n := range news {
		if m.table.merge(now, n) && m.o.OnChange != nil {
			m.o.OnChange(n)
		}
	}
	m.incoming(c)
}

// HandleHeartbeat answers a peer's probe; the grpc server calls it.
func (m *Membership) HandleHeartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	var reply *peerpb.HeartbeatReply
	ok := m.do(func() {
		now := m.o.Now()
		m.peers.last = now
		if r.From != nil {
			m.takeNews(now, r.From, r.News, r.Convictions)
		}
		reply = &peerpb.HeartbeatReply{
			From:        m.me(),
			News:        m.table.news.take(len(m.table.members) + 1),
			Convictions: m.outgoing(),
		}
		if r.Full && r.Digest != m.table.digest() {
			reply.News = m.table.all()
		}
	})
	if !ok {
		return nil, context.Canceled
	}
	if r.ProbeAddr != "" {
		answer, reached := m.ask(r.ProbeAddr, &peerpb.HeartbeatRequest{From: reply.From})
		if reached {
			m.post(func() { m.reached(answer) })
		}
		reply.Reached = reached
	}
	return reply, nil
}

// Leave tells everyone that this process is leaving.
func (m *Membership) Leave() {
	m.do(m.table.leave)
}

// PeerAge returns how long ago any peer last answered or asked.
func (m *Membership) PeerAge() time.Duration { return m.o.Now() - m.view.Load().PeerContact }
