package roster

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

// peer is another daemon as this one knows it.
type peer struct {
	member       Member
	known        bool      // it was seen, not only listed in the store
	dead         bool      // unresponsive to a daemon that it sends heartbeats to; a newer heartbeat revives it
	deadSince    time.Time // when that was said
	seq          uint64    // of its newest heartbeat that is known here
	lastSeen     time.Time // when it was last known to be alive
	heartbeat    time.Time // when its last own heartbeat came here
	heartbeatSeq uint64    // number of that heartbeat
	sender       uint64    // incarnation that sent it
	since        time.Time // when this incarnation was first known
	unresponsive bool      // no heartbeat came since it was found unresponsive here
	asked        time.Time // since when it is sent heartbeats, as an aggregator, without an answer; zero: it answers
	digest       time.Time // when its last digest of another zone came here
	repeat       int       // digests that its state is still sent in
	addr         net.Addr
}

// newFor is how long after it was first known a daemon's first heartbeat is answered
// with all others: it has just started.
const newFor = 5 * time.Second

func (p *peer) alive(now time.Time, patience time.Duration) bool {
	return p.known && !p.dead && now.Sub(p.lastSeen) < patience
}

// small reports whether each daemon sends to all others. Callers hold r.mu.
func (r *Roster) small() bool { return len(r.peers) <= smallFleet }

// patience is the silence after which a daemon counts as dead. Callers hold r.mu.
func (r *Roster) patience() time.Duration {
	if r.small() {
		return deadAfter
	}
	return relayedDeadAfter
}

// outdated reports whether a report of a daemon's process, at that heartbeat, is older
// than what is known. A daemon that was started again while its clock stood
// further back has a lower incarnation; it is believed once the earlier one is
// unresponsive.
func (p *peer) outdated(incarnation, seq uint64, now time.Time) bool {
	if incarnation == p.member.Incarnation {
		return seq <= p.seq
	}
	return incarnation < p.member.Incarnation && now.Sub(p.lastSeen) < deadAfter/2
}

// update takes a daemon's state at a heartbeat. It returns whether that
// is more than that it lives. Callers hold r.mu.
func (r *Roster) update(p *peer, m *Member, seq uint64, at time.Time) bool {
	changed := !p.known || p.dead || p.member.Incarnation != m.Incarnation || p.member.State != m.State || p.member.StoreAway != m.StoreAway
	if p.member.RateLevel != m.RateLevel {
		p.repeat = changeRepeats
	}
	if changed {
		log.WithFields(log.Fields{"vm": m.VM, "addr": m.CallerAddr, "state": m.State, "incarnation": m.Incarnation}).Info("roster: daemon")
		p.repeat = changeRepeats
		r.owners.at = time.Time{}
	}
	if !p.known || p.member.Incarnation != m.Incarnation {
		p.since = time.Now()
	}
	delete(r.tokens, p.member.token())
	p.member, p.known, p.dead, p.seq = *m, true, false, seq
	r.tokens[m.token()] = m.PeerAddr
	if at.After(p.lastSeen) {
		p.lastSeen = at
	}
	return changed
}

// confirmAlive records that another daemon reports this one alive. Of one that was
// found unresponsive that counts only once earlier reports can't arrive any
// more.
func (p *peer) confirmAlive(now time.Time) {
	if p.dead && now.Sub(p.deadSince) < staleAfter {
		return
	}
	if p.dead {
		p.dead = false
		log.WithFields(log.Fields{"vm": p.member.VM, "addr": p.member.CallerAddr, "incarnation": p.member.Incarnation}).Info("roster: daemon responsive again")
	}
	p.lastSeen = now
}

// markUnresponsive records that a daemon is dead. Callers hold r.mu.
func (p *peer) markUnresponsive(why string) {
	p.dead, p.deadSince, p.repeat = true, time.Now(), changeRepeats
	log.WithFields(log.Fields{"vm": p.member.VM, "addr": p.member.CallerAddr, "incarnation": p.member.Incarnation, "why": why}).Info("roster: daemon unresponsive")
}

// token stands for one process of a daemon in lists of those that live.
func (m *Member) token() uint32 {
	d := xxhash.New()
	_, _ = d.WriteString(m.PeerAddr) // never fails
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], m.Incarnation)
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}

// addPeer adds a daemon that hasn't been seen yet. Callers hold r.mu.
func (r *Roster) addPeer(m Member) *peer {
	if p := r.peers[m.PeerAddr]; p != nil {
		if !p.known && m.VM != "" {
			p.member = m
		}
		return p
	}
	if m.PeerAddr == r.self.PeerAddr {
		return nil
	}
	udp, err := net.ResolveUDPAddr("udp4", m.PeerAddr)
	if err != nil {
		log.WithError(err).WithField("addr", m.PeerAddr).Warn("roster: address can't be read")
		return nil
	}
	p := &peer{member: m, addr: udp, lastSeen: time.Now().Add(-deadAfter)}
	r.peers[m.PeerAddr] = p
	return p
}

// drop forgets a daemon. Callers hold r.mu.
func (r *Roster) drop(addr string) {
	delete(r.tokens, r.peers[addr].member.token())
	delete(r.peers, addr)
}
