package membership

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// Times between two requests for all members. At 360 members one answer has
// about 47 KB; it is left out when the digests agree, as they mostly do.
const (
	fullFirst  = time.Second
	fullPeriod = 2 * time.Minute
)

// probe checks a member; one that isn't reached becomes suspect.
func (m *Membership) probe(e *entry) {
	id := e.m.Id
	m.check(e, func(reached, fair bool) {
		if !reached && fair {
			m.table.suspect(m.o.Now(), id)
		}
	})
}

// confirm checks a suspect once more and calls it dead if it isn't reached.
// Suspicions can be many at a time when the silence was this process's own,
// cut off or paused, and there is no time to probe each of them in turn;
// without a last check it would call all the others dead and spread that.
func (m *Membership) confirm(e *entry) {
	beat := e.m.Beat
	e.confirming = true
	m.check(e, func(reached, fair bool) {
		now := m.o.Now()
		e.confirming = false
		switch {
		case reached:
			m.table.acquit(now, e, beat)
		case fair && e.m.State == peerpb.Member_SUSPECT && e.m.Beat == beat:
			m.table.setState(now, e, peerpb.Member_DEAD)
		}
	})
}

// check asks a member directly, then through others, off the loop. done gets
// the result on the loop; fair is false when this process was paused since the
// check began, so that a missing answer proves nothing.
func (m *Membership) check(e *entry, done func(reached, fair bool)) {
	addr := e.m.PeerAddr
	req := m.request()
	if m.wantFull() {
		req.Full, req.Digest = true, m.table.digest()
	}
	if e.m.State != peerpb.Member_LIVE {
		req.News = append(req.News, e.m)
	}
	via := m.schedule.relaysFor(m.table, e.m.Id)
	indirect := m.request()
	indirect.ProbeAddr = addr
	began := m.lastTick
	m.tomb.Go(func() error {
		reply, reached := m.ask(addr, req)
		if !reached {
			reached = m.askThrough(via, indirect)
		}
		m.post(func() {
			m.takeReply(req, reply)
			done(reached, m.o.Now()-began <= 3*m.o.Period+m.o.DeadAfter/2)
		})
		return nil
	})
}

// takeReply takes a direct answer in; reply is nil when there was none.
func (m *Membership) takeReply(req *peerpb.HeartbeatRequest, reply *peerpb.HeartbeatReply) {
	if reply == nil {
		return
	}
	if req.Full {
		m.gotFull(m.table.takeFull(m.o.Now(), reply.News))
		reply.News = nil
	}
	m.reached(reply)
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

// askThrough reports whether any relay reached the member.
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

func (m *Membership) takeNews(now time.Duration, from *peerpb.Member, news []*peerpb.Member, c []*peerpb.Conviction) {
	m.table.heard(now, from)
	for _, n := range news {
		if m.table.merge(now, n) && m.o.OnChange != nil {
			m.o.OnChange(n)
		}
	}
	m.incoming(c)
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

// wantFull reports whether the next heartbeat asks for all members: at the
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
