package membership

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// Bounds of the interval between two requests for all members. At 360 members an
// answer takes about 47 KB. It is omitted if the digests agree, as they mostly do.
const (
	minFullSyncInterval = time.Second
	maxFullSyncInterval = 2 * time.Minute
)

// probeMember checks a member and marks it suspect if it can't be reached.
func (m *Membership) probeMember(e *tableEntry) {
	id := e.member.Id
	m.check(e, func(reached, conclusive bool) {
		if !reached && conclusive {
			m.table.markSuspect(m.o.Now(), id)
		}
	})
}

// confirmDead checks a suspect once more and marks it dead if it can't be reached. If this
// process itself was isolated or paused, it may suspect many members at once, with no time
// to probe each of them in turn. Without a last check it would mark all others dead and
// spread that.
func (m *Membership) confirmDead(e *tableEntry) {
	beat := e.member.Beat
	e.confirming = true
	m.check(e, func(reached, conclusive bool) {
		now := m.o.Now()
		e.confirming = false
		switch {
		case reached:
			m.table.clearSuspicion(now, e, beat)
		case conclusive && e.member.State == peerpb.Member_SUSPECT && e.member.Beat == beat:
			m.table.setState(now, e, peerpb.Member_DEAD)
		}
	})
}

// check probes a member directly, then through relays, outside of the loop goroutine. The
// result is passed to done on the loop goroutine. conclusive is false if this process was
// paused since the check began, so that a missing answer proves nothing.
func (m *Membership) check(e *tableEntry, done func(reached, conclusive bool)) {
	addr := e.member.PeerAddr
	req := m.request()
	if m.fullSyncDue() {
		req.Full, req.Digest = true, m.table.digest()
	}
	if e.member.State != peerpb.Member_LIVE {
		req.News = append(req.News, e.member)
	}
	relays := m.schedule.chooseRelays(m.table, e.member.Id)
	indirect := m.request()
	indirect.ProbeAddr = addr
	began := m.lastTick
	m.tomb.Go(func() error {
		reply, reached := m.sendHeartbeat(addr, req)
		if !reached {
			reached = m.probeIndirectly(relays, indirect)
		}
		m.post(func() {
			m.handleReply(req, reply)
			done(reached, m.o.Now()-began <= 3*m.o.Period+m.o.DeadAfter/2)
		})
		return nil
	})
}

// handleReply merges a direct answer; reply is nil if there was none.
func (m *Membership) handleReply(req *peerpb.HeartbeatRequest, reply *peerpb.HeartbeatReply) {
	if reply == nil {
		return
	}
	if req.Full {
		m.scheduleFullSync(m.table.mergeFull(m.o.Now(), reply.News))
		reply.News = nil
	}
	m.recordReply(reply)
}

// sendHeartbeat sends one heartbeat with a timeout of one period.
func (m *Membership) sendHeartbeat(addr string, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, bool) {
	ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), m.o.Period)
	defer cancel()
	reply, err := m.o.Prober.Heartbeat(ctx, addr, req)
	if err != nil || reply.GetFrom() == nil {
		return nil, false
	}
	return reply, true
}

// probeIndirectly reports whether any relay reached the member.
func (m *Membership) probeIndirectly(relays []*peerpb.Member, req *peerpb.HeartbeatRequest) bool {
	answers := make(chan bool, len(relays))
	for _, relay := range relays {
		addr := relay.PeerAddr
		m.tomb.Go(func() error {
			reply, ok := m.sendHeartbeat(addr, req)
			if ok {
				m.post(func() { m.recordReply(reply) })
			}
			answers <- ok && reply.Reached
			return nil
		})
	}
	for range relays {
		if <-answers {
			return true
		}
	}
	return false
}

// recordReply records contact with a peer and merges the updates of its reply.
func (m *Membership) recordReply(reply *peerpb.HeartbeatReply) {
	now := m.o.Now()
	m.contact.last = now
	m.mergeUpdates(now, reply.From, reply.News, reply.Convictions)
}

// HandleHeartbeat answers a peer's heartbeat and, if requested, probes another member for
// it. It is called by the gRPC server.
func (m *Membership) HandleHeartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	var reply *peerpb.HeartbeatReply
	ok := m.do(func() {
		now := m.o.Now()
		m.contact.last = now
		if r.From != nil {
			m.mergeUpdates(now, r.From, r.News, r.Convictions)
		}
		reply = &peerpb.HeartbeatReply{
			From:        m.selfMember(),
			News:        m.table.updates.next(len(m.table.members) + 1),
			Convictions: m.outgoingConvictions(),
		}
		if r.Full && r.Digest != m.table.digest() {
			reply.News = m.table.all()
		}
	})
	if !ok {
		return nil, context.Canceled
	}
	if r.ProbeAddr != "" {
		answer, reached := m.sendHeartbeat(r.ProbeAddr, &peerpb.HeartbeatRequest{From: reply.From})
		if reached {
			m.post(func() { m.recordReply(answer) })
		}
		reply.Reached = reached
	}
	return reply, nil
}

// mergeUpdates merges what a peer reports about itself, other members and convictions.
func (m *Membership) mergeUpdates(now time.Duration, from *peerpb.Member, updates []*peerpb.Member, c []*peerpb.Conviction) {
	m.table.recordContact(now, from)
	for _, n := range updates {
		if m.table.merge(now, n) && m.o.OnChange != nil {
			m.o.OnChange(n)
		}
	}
	m.handleConvictions(c)
}

func (m *Membership) request() *peerpb.HeartbeatRequest {
	return &peerpb.HeartbeatRequest{
		From:        m.selfMember(),
		News:        m.table.updates.next(len(m.table.members) + 1),
		Convictions: m.outgoingConvictions(),
	}
}

func (m *Membership) selfMember() *peerpb.Member {
	m.table.self.Applied = m.o.Applied()
	return cloneMember(m.table.self)
}

func (m *Membership) outgoingConvictions() []*peerpb.Conviction {
	if m.o.Convictions == nil {
		return nil
	}
	return m.o.Convictions.Outgoing()
}

func (m *Membership) handleConvictions(c []*peerpb.Conviction) {
	if m.o.Convictions != nil && len(c) > 0 {
		m.o.Convictions.Incoming(c)
	}
}

// fullSyncDue reports whether the next heartbeat requests all members: at the start, then
// at intervals that double, since the peers that answer first may have started only now
// themselves. A process that has just started knows only the VM list. Without the full
// answer it would take members for gone that it has not reached yet.
func (m *Membership) fullSyncDue() bool {
	if m.lastTick < m.nextFullSync {
		return false
	}
	m.nextFullSync = m.lastTick + m.o.Period
	return true
}

// scheduleFullSync schedules the next request for all members: soon while answers still
// contain new members, as when a whole fleet starts at once, else after twice the
// interval.
func (m *Membership) scheduleFullSync(changed bool) {
	m.fullSyncInterval = min(2*m.fullSyncInterval, maxFullSyncInterval)
	if changed || m.fullSyncInterval == 0 {
		m.fullSyncInterval = minFullSyncInterval
	}
	m.nextFullSync = m.o.Now() + m.fullSyncInterval
}
