package roster

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
)

// peer is what this daemon knows of another one.
type peer struct {
	member            Member
	known             bool      // it was seen, not only listed as a contact
	dead              bool      // reported or found unresponsive; a newer heartbeat revives it
	deadSince         time.Time // when it was marked dead
	seq               uint64    // number of its newest known heartbeat
	lastSeen          time.Time // when it was last known to be alive
	lastHeartbeat     time.Time // when its last own heartbeat was received
	heartbeatSeq      uint64    // number of that heartbeat
	senderIncarnation uint64    // incarnation that sent that heartbeat
	firstSeen         time.Time // when its current incarnation was first known
	unresponsive      bool      // no heartbeat was received since this daemon found it unresponsive
	unansweredSince   time.Time // since when it is sent heartbeats as an aggregator without a reply; zero: it replies
	lastDigest        time.Time // when its last digest of another zone was received
	repeatsLeft       int       // number of digests in which its state is still repeated
	addr              net.Addr
}

// newPeerAge is the maximum time since a daemon was first known for its first heartbeat to
// be answered with all members. Such a daemon has just started.
const newPeerAge = 5 * time.Second

// alive reports whether a daemon was seen within the given time and isn't marked dead.
func (p *peer) alive(now time.Time, timeout time.Duration) bool {
	return p.known && !p.dead && now.Sub(p.lastSeen) < timeout
}

// small reports whether each daemon sends to all others. Callers hold r.mu.
func (r *Roster) small() bool { return len(r.peers) <= maxFullMeshPeers }

// deadTimeout returns the time without reports after which a daemon counts as dead. Callers
// hold r.mu.
func (r *Roster) deadTimeout() time.Duration {
	if r.small() {
		return deadAfter
	}
	return relayedDeadAfter
}

// outdated reports whether a report about an incarnation of a daemon, as of the heartbeat
// seq, is older than the known state. A daemon that restarted with its clock set back has
// a lower incarnation. It is accepted once the earlier incarnation is unresponsive.
func (p *peer) outdated(incarnation, seq uint64, now time.Time) bool {
	if incarnation == p.member.Incarnation {
		return seq <= p.seq
	}
	return incarnation < p.member.Incarnation && now.Sub(p.lastSeen) < deadAfter/2
}

// update stores a daemon's state as of a heartbeat. It returns whether the state changed,
// apart from the daemon being alive. Callers hold r.mu.
func (r *Roster) update(p *peer, m *Member, seq uint64, at time.Time) bool {
	changed := !p.known || p.dead || p.member.Incarnation != m.Incarnation || p.member.State != m.State || p.member.StoreFails != m.StoreFails
	if p.member.RateLevel != m.RateLevel {
		p.repeatsLeft = changeRepeats
	}
	if changed {
		log.WithFields(log.Fields{"vm": m.VM, "addr": m.CallerAddr, "state": m.State, "incarnation": m.Incarnation}).Info("roster: daemon state changed")
		p.repeatsLeft = changeRepeats
		r.owners.at = time.Time{}
	}
	if !p.known || p.member.Incarnation != m.Incarnation {
		p.firstSeen = time.Now()
	}
	delete(r.removed, m.VM)
	delete(r.tokens, p.member.token())
	p.member, p.known, p.dead, p.seq = *m, true, false, seq
	r.tokens[m.token()] = m.PeerAddr
	if at.After(p.lastSeen) {
		p.lastSeen = at
	}
	return changed
}

// confirmAlive records another daemon's report that this peer is alive. If the peer was
// marked dead, the report counts only once earlier reports can no longer arrive.
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

// markUnresponsive marks a daemon as dead. Callers hold r.mu.
func (p *peer) markUnresponsive(why string) {
	p.dead, p.deadSince, p.repeatsLeft = true, time.Now(), changeRepeats
	log.WithFields(log.Fields{"vm": p.member.VM, "addr": p.member.CallerAddr, "incarnation": p.member.Incarnation, "why": why}).Info("roster: daemon unresponsive")
}

// token returns a short hash of a daemon's process, for lists of live daemons.
func (m *Member) token() uint32 {
	d := xxhash.New()
	_, _ = d.WriteString(m.PeerAddr) // never fails
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], m.Incarnation)
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}

// addPeer returns the peer with the address of m and adds it if it is new. It returns nil
// for this daemon and for an invalid address. Callers hold r.mu.
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
	udp, err := parsePeerAddr(m.PeerAddr)
	if err != nil {
		if len(r.badAddrs) < maxBadAddrs && !r.badAddrs[m.PeerAddr] {
			r.badAddrs[m.PeerAddr] = true
			log.WithError(err).WithField("addr", m.PeerAddr).Warn("roster: invalid peer address")
		}
		return nil
	}
	p := &peer{member: m, addr: udp, lastSeen: time.Now().Add(-deadAfter)}
	r.peers[m.PeerAddr] = p
	return p
}

// maxBadAddrs bounds the invalid addresses that are remembered, so that each is logged once.
const maxBadAddrs = 100

var errPeerAddr = errors.New("no address and port of a machine")

// parsePeerAddr parses the address of a daemon. It resolves no names: a contact record
// of another writer may have one, and the roster would stand still during a lookup.
func parsePeerAddr(addr string) (net.Addr, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	if ip := ap.Addr(); !ip.Is4() || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}) || ap.Port() == 0 {
		return nil, errPeerAddr
	}
	return net.UDPAddrFromAddrPort(ap), nil
}

// removePeer removes a daemon. Callers hold r.mu.
func (r *Roster) removePeer(addr string) {
	delete(r.tokens, r.peers[addr].member.token())
	delete(r.peers, addr)
}
