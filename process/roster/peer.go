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
	member      Member
	known       bool      // it was heard of, not only listed in the store
	gone        bool      // it is silent, says a daemon that it tells; a newer beat brings it back
	goneAt      time.Time // when that was said
	seq         uint64    // of its newest beat that is known here
	heard       time.Time // when it was last known to be alive
	beat        time.Time // when its last own beat came here
	beatSeq     uint64    // number of that beat
	foundSilent bool      // no beat came since it was found silent here
	asked       time.Time // since when it is told beats, as an aggregator, without an answer; zero: it answers
	digest      time.Time // when its last digest of another zone came here
	repeat      int       // digests that its state is still told in
	addr        net.Addr
}

func (p *peer) alive(now time.Time, patience time.Duration) bool {
	return p.known && !p.gone && now.Sub(p.heard) < patience
}

// small reports whether each daemon tells all others. Callers hold r.mu.
func (r *Roster) small() bool { return len(r.peers) <= smallFleet }

// patience is the silence after which a daemon counts as dead. Callers hold r.mu.
func (r *Roster) patience() time.Duration {
	if r.small() {
		return deadAfter
	}
	return toldDeadAfter
}

// outdated reports whether a word of a daemon's process, at that beat, is older
// than what is known. A daemon that was started again while its clock stood
// further back has a lower incarnation; it is believed once the earlier one is
// silent.
func (p *peer) outdated(incarnation, seq uint64, now time.Time) bool {
	if incarnation == p.member.Incarnation {
		return seq <= p.seq
	}
	return incarnation < p.member.Incarnation && now.Sub(p.heard) < deadAfter/2
}

// update takes what a daemon said of itself at a beat. It returns whether that
// is more than that it lives. Callers hold r.mu.
func (r *Roster) update(p *peer, m *Member, seq uint64, at time.Time) bool {
	changed := !p.known || p.gone || p.member.Incarnation != m.Incarnation || p.member.State != m.State || p.member.StoreAway != m.StoreAway
	if changed {
		log.WithFields(log.Fields{"vm": m.VM, "addr": m.CallerAddr, "state": m.State, "incarnation": m.Incarnation}).Info("roster: daemon")
		p.repeat = tellings
	}
	delete(r.tokens, p.member.token())
	p.member, p.known, p.gone, p.seq = *m, true, false, seq
	r.tokens[m.token()] = m.PeerAddr
	if at.After(p.heard) {
		p.heard = at
	}
	return changed
}

// lives notes that another daemon says that this one lives. Of one that was
// found silent that counts only once what was said before can't arrive any
// more.
func (p *peer) lives(now time.Time) {
	if p.gone && now.Sub(p.goneAt) < staleAfter {
		return
	}
	if p.gone {
		p.gone = false
		log.WithFields(log.Fields{"vm": p.member.VM, "addr": p.member.CallerAddr, "incarnation": p.member.Incarnation}).Info("roster: daemon isn't silent")
	}
	p.heard = now
}

// silent notes that a daemon is gone. Callers hold r.mu.
func (p *peer) silent(why string) {
	p.gone, p.goneAt, p.repeat = true, time.Now(), tellings
	log.WithFields(log.Fields{"vm": p.member.VM, "addr": p.member.CallerAddr, "incarnation": p.member.Incarnation, "why": why}).Info("roster: daemon is silent")
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

// learn adds a daemon of which nothing was heard yet. Callers hold r.mu.
func (r *Roster) learn(m Member) *peer {
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
	p := &peer{member: m, addr: udp, heard: time.Now().Add(-deadAfter)}
	r.peers[m.PeerAddr] = p
	return p
}

// drop forgets a daemon. Callers hold r.mu.
func (r *Roster) drop(addr string) {
	delete(r.tokens, r.peers[addr].member.token())
	delete(r.peers, addr)
}
