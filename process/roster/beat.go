package roster

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/internal/pause"
)

// beat is one datagram.
type beat struct {
	_      struct{} `cbor:",toarray"`
	Member Member
	Seq    uint64
	Work   []engines.Work
	Reads  []engines.Read
	Peers  []string
	Claims []Claim
	Speeds []speed.Word
	Demand []demand.Word
}

// Claim says for how long the newest claim for a service has stood at least.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Offset  int64
	AgeMs   int64
}

// Claims gives and takes what daemons know of claims.
type Claims interface {
	Told() []Claim
	Heard(claims []Claim)
}

// Speeds gives and takes what daemons have learnt of engines' speed.
type Speeds interface {
	Told() []speed.Word
	Heard(words []speed.Word)
}

// Demand gives and takes what callers ask of each daemon.
type Demand interface {
	Told() []demand.Word
	Heard(from string, words []demand.Word)
}

// tell sends beats: at least every beatEvery, and soon after news.
func (r *Roster) tell() error {
	ctx := r.tomb.Context(context.Background())
	tick := time.NewTimer(beatEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
			r.send(false)
			every := r.beatEvery()
			tick.Reset(every + rand.N(every/10))
			continue
		case <-r.news:
		}
		wait, near := r.newsWait()
		if pause.For(ctx, wait) != nil {
			return nil
		}
		r.send(near)
	}
}

// beatEvery is the time between two beats to all.
func (r *Roster) beatEvery() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.peers) <= smallFleet {
		return beatEvery
	}
	return max(beatEvery, farEvery*time.Duration(len(r.peers)))
}

// deadAfter is the silence after which a daemon counts as dead.
func (r *Roster) deadAfter() time.Duration { return max(deadAfter, deadBeats*r.beatEvery()) }

// newsWait is how long news waits, and whether it goes to the daemons of the
// same availability zone only.
func (r *Roster) newsWait() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.peers) <= smallFleet {
		return newsAfter * time.Duration(max(len(r.peers), 1)), false
	}
	near := 0
	for _, p := range r.peers {
		if p.member.Zone == r.self.Zone {
			near++
		}
	}
	return nearAfter * time.Duration(near), true
}

// send sends one beat to every daemon known, or to those of the same
// availability zone.
func (r *Roster) send(near bool) {
	work, reads := r.o.Book.Own(near)
	now, dead := time.Now(), r.deadAfter()
	r.mu.Lock()
	r.seq++
	r.self.StoreAway = r.o.StoreAway()
	b := beat{Member: r.self, Seq: r.seq, Work: work, Reads: reads}
	if r.o.Claims != nil {
		b.Claims = r.o.Claims.Told()
	}
	if r.o.Speeds != nil && !near {
		b.Speeds = r.o.Speeds.Told()
	}
	if r.o.Demand != nil {
		b.Demand = r.o.Demand.Told()
	}
	var to []net.Addr
	for addr, p := range r.peers {
		if now.Sub(p.heard) > forgetAfter {
			delete(r.peers, addr)
			continue
		}
		if near && p.member.Zone != r.self.Zone {
			continue
		}
		to = append(to, p.addr)
		if r.seq%peersEvery == 0 && len(b.Peers) < maxPeers && p.alive(now, dead) {
			b.Peers = append(b.Peers, addr)
		}
	}
	r.mu.Unlock()
	data, err := encode(&b)
	if err != nil {
		log.WithError(err).Error("roster: beat can't be encoded")
		return
	}
	for _, addr := range to {
		// A datagram that can't be sent is as good as lost on the way.
		_, _ = r.conn.WriteTo(data, addr)
	}
}

// encode leaves out what doesn't fit into one datagram: the news of reads
// first, which only cost a prompt being read again.
func encode(b *beat) ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil || len(data) <= maxDatagram {
		return data, err
	}
	b.Reads, b.Peers = nil, nil
	return cbor.Marshal(b)
}

// hear takes beats until the socket closes.
func (r *Roster) hear() error {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.conn.ReadFrom(buf)
		if !r.tomb.Alive() {
			return nil
		}
		if err != nil {
			log.WithError(err).Warn("roster: can't receive")
			if pause.For(r.tomb.Context(context.Background()), beatEvery) != nil {
				return nil
			}
			continue
		}
		var b beat
		if err := cbor.Unmarshal(buf[:n], &b); err != nil {
			log.WithError(err).WithField("from", from.String()).Warn("roster: beat can't be read")
			continue
		}
		r.take(&b, from)
	}
}

func (r *Roster) take(b *beat, from net.Addr) {
	key := b.Member.PeerAddr
	r.mu.Lock()
	p := r.peers[key]
	if key == r.self.PeerAddr {
		r.mu.Unlock()
		return
	}
	fresh := p == nil
	if fresh {
		p = &peer{addr: from}
		r.peers[key] = p
	}
	// Datagrams overtake each other: an older one must not bring back a daemon
	// that said it leaves.
	if p.outdated(b, time.Now()) {
		r.mu.Unlock()
		return
	}
	if p.member.State != b.Member.State || p.member.Incarnation != b.Member.Incarnation {
		log.WithFields(log.Fields{"vm": b.Member.VM, "addr": b.Member.CallerAddr, "state": b.Member.State, "incarnation": b.Member.Incarnation}).Info("roster: daemon")
	}
	p.member, p.seq, p.heard = b.Member, b.Seq, time.Now()
	r.mu.Unlock()
	r.o.Book.Hear(key, b.Work, b.Reads)
	if r.o.Claims != nil {
		r.o.Claims.Heard(b.Claims)
	}
	if r.o.Speeds != nil {
		r.o.Speeds.Heard(b.Speeds)
	}
	if r.o.Demand != nil {
		r.o.Demand.Heard(key, b.Demand)
	}
	for _, addr := range b.Peers {
		r.learn(addr)
	}
	if fresh {
		r.News()
	}
}

// outdated tells whether a beat is older than what was heard before. A daemon
// that was started again while its clock stood further back has a lower
// incarnation; it is believed once the earlier one is silent.
func (p *peer) outdated(b *beat, now time.Time) bool {
	if b.Member.Incarnation == p.member.Incarnation {
		return b.Seq <= p.seq
	}
	return b.Member.Incarnation < p.member.Incarnation && now.Sub(p.heard) < deadAfter/2
}
