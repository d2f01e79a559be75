package roster

import (
	"context"
	"errors"
	"fmt"
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

// beat is what one daemon tells of itself in one datagram.
type beat struct {
	_      struct{} `cbor:",toarray"`
	Member Member
	Seq    uint64
	Work   []engines.Work
	Reads  []engines.Read
	Peers  []string // addresses of other daemons, in a small fleet
	Claims []Claim
	Speeds []speed.Word
	Demand []demand.Word
	Clock  int64 // time of day of the sender's VM, microseconds since 1970
}

// told is a beat of this daemon's, to be taken out of sums that hold it.
type told struct {
	seq    uint64
	work   []engines.Work
	demand []demand.Word
}

// keptTold is the number of own beats that are kept: those of some 5 s.
const keptTold = 16

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
	Best() []speed.Word
	Heard(words []speed.Word)
}

// Demand gives and takes what callers ask of each daemon. The names are those
// of words that were heard.
type Demand interface {
	Told() []demand.Word
	SumOf(names func(name string) bool) []demand.Word
	Heard(from string, words []demand.Word)
	Forget()
}

// tell sends beats: at least every beatEvery, and in a small fleet soon after
// news.
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
			r.repeatNotes(time.Now())
			tick.Reset(beatEvery + rand.N(beatEvery/10))
			continue
		case <-r.news:
		}
		wait, soon := r.newsWait()
		if !soon {
			continue
		}
		if pause.For(ctx, wait) != nil {
			return nil
		}
		r.send(false)
	}
}

// newsWait is how long news waits for more, and whether it is sent before the
// next beat.
func (r *Roster) newsWait() (wait time.Duration, soon bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return newsAfter * time.Duration(max(len(r.peers), 1)), r.small()
}

// send sends one beat: in a small fleet, or with all, to every daemon known,
// else to the aggregators.
func (r *Roster) send(all bool) {
	b := beat{Claims: r.o.Claims.Told(), Speeds: r.o.Speeds.Told(), Demand: r.o.Demand.Told(), Clock: r.ownClock()}
	b.Work, b.Reads = r.o.Book.Own()
	now := time.Now()
	r.mu.Lock()
	r.paused.tick(now)
	r.seq++
	r.self.StoreAway = r.o.StoreAway()
	b.Member, b.Seq = r.self, r.seq
	r.told = append(r.told, told{seq: r.seq, work: b.Work, demand: b.Demand})
	r.told = r.told[max(len(r.told)-keptTold, 0):]
	r.forget(now)
	var to []net.Addr
	if all || r.small() {
		to, b.Peers = r.everyone(now)
	} else {
		to = r.beatReceivers(now)
	}
	r.mu.Unlock()
	r.passOn(b.Reads, true)
	data, err := encode(&b)
	if err != nil {
		log.WithError(err).Error("roster: beat can't be encoded")
		return
	}
	for _, addr := range to {
		r.write(data, addr)
	}
}

// write sends a datagram. One that can't be sent is as good as lost on the way.
func (r *Roster) write(data []byte, to net.Addr) { _, _ = r.conn.WriteTo(data, to) }

// forget drops the daemons that were silent for long. Callers hold r.mu.
func (r *Roster) forget(now time.Time) {
	for addr, p := range r.peers {
		if now.Sub(p.heard) > forgetAfter {
			r.drop(addr)
		}
	}
}

// everyone returns all daemons known, and from time to time the addresses of
// some that live. Callers hold r.mu.
func (r *Roster) everyone(now time.Time) (to []net.Addr, named []string) {
	for addr, p := range r.peers {
		to = append(to, p.addr)
		if r.seq%peersEvery == 0 && len(named) < maxPeers && p.alive(now, r.patience()) {
			named = append(named, addr)
		}
	}
	return to, named
}

// encode leaves out what doesn't fit into one datagram: the news of reads
// first, which only cost a prompt being read again.
func encode(b *beat) ([]byte, error) {
	data, err := packed(kindBeat, b)
	if err != nil || len(data) <= maxDatagram {
		return data, err
	}
	b.Reads, b.Peers = nil, nil
	return packed(kindBeat, b)
}

// Kinds of datagrams, their first byte.
const (
	kindBeat     = 1
	kindDigest   = 2
	kindNote     = 3
	kindQuestion = 4
	kindAnswer   = 5
	kindUsage    = 6
)

var errShort = errors.New("roster: datagram is too short")

// packed encodes a message behind its kind.
func packed(kind byte, message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("roster: %w", err)
	}
	return append([]byte{kind}, data...), nil
}

// hear takes datagrams until the socket closes.
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
		if err := r.open(buf[:n], from); err != nil {
			log.WithError(err).WithField("from", from.String()).Warn("roster: datagram can't be read")
		}
	}
}

// open decodes and takes one datagram.
func (r *Roster) open(data []byte, from net.Addr) error {
	if len(data) == 0 {
		return errShort
	}
	switch data[0] {
	case kindBeat:
		var b beat
		if err := cbor.Unmarshal(data[1:], &b); err != nil {
			return fmt.Errorf("roster: beat: %w", err)
		}
		r.take(&b, from)
	case kindDigest:
		return r.openDigest(data)
	case kindUsage:
		if r.o.Usage == nil {
			return nil
		}
		return r.o.Usage(data[1:])
	default:
		return r.openKeeping(data, from)
	}
	return nil
}

// take takes a beat.
func (r *Roster) take(b *beat, from net.Addr) {
	key := b.Member.PeerAddr
	if key != r.o.Self.PeerAddr {
		r.observeClock(key, b.Clock)
	}
	now := time.Now()
	r.mu.Lock()
	if key == r.self.PeerAddr {
		r.mu.Unlock()
		return
	}
	r.hears(now)
	p := r.peers[key]
	if p == nil {
		p = &peer{addr: from}
		r.peers[key] = p
	}
	fresh := !p.known || p.member.Incarnation != b.Member.Incarnation
	// Datagrams overtake each other: an older one must not bring back a daemon
	// that said it leaves.
	if p.known && p.outdated(b.Member.Incarnation, b.Seq, now) {
		r.mu.Unlock()
		return
	}
	changed := r.update(p, &b.Member, b.Seq, now)
	p.beat, p.beatSeq, p.foundSilent, p.asked = now, b.Seq, false, time.Time{}
	small := r.small()
	sums := !small && r.agg.on && b.Member.Zone == r.self.Zone
	for _, addr := range b.Peers {
		r.learn(Member{PeerAddr: addr})
	}
	r.mu.Unlock()
	r.o.Claims.Heard(b.Claims)
	r.o.Speeds.Heard(b.Speeds)
	switch {
	case small:
		r.o.Book.Hear(key, b.Work, b.Reads)
		r.o.Demand.Heard(key, b.Demand)
		if fresh {
			r.News()
		}
	case sums:
		r.passOn(r.o.Book.Hear(key, b.Work, b.Reads), true)
		r.o.Demand.Heard(key, b.Demand)
		if fresh {
			r.welcome(from)
		}
		if changed {
			r.agg.wake()
		}
	case b.Member.State != Leaving:
		r.redirect(b.Member.Zone, from)
	}
}
