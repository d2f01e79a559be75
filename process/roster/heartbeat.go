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

// heartbeat is what one daemon sends of itself in one datagram.
type heartbeat struct {
	_      struct{} `cbor:",toarray"`
	Member Member
	Seq    uint64
	Work   []engines.Work
	Reads  []engines.Read
	Peers  []string // addresses of other daemons, in a small fleet
	Claims []Claim
	Speeds []speed.Update
	Demand []demand.Update
	Clock  int64 // time of day of the sender's VM, microseconds since 1970
}

// sentHeartbeat is a heartbeat of this daemon's, to be taken out of aggregates that hold it.
type sentHeartbeat struct {
	seq    uint64
	work   []engines.Work
	demand []demand.Update
}

// maxSent is the number of own heartbeats that are kept: those of some 5 s.
const maxSent = 16

// Claim says for how long the newest claim on a subject has stood at least.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Subject string
	Offset  int64
	AgeMs   int64
}

// Claims gives and takes what daemons know of claims.
type Claims interface {
	Report() []Claim
	Merge(claims []Claim)
}

// Speeds gives and takes what daemons have learnt of engines' speed.
type Speeds interface {
	Report() []speed.Update
	Best() []speed.Update
	Merge(words []speed.Update)
}

// Demand gives and takes what callers ask of each daemon. The names are those
// of reports that were received.
type Demand interface {
	Report() []demand.Update
	SumOf(names func(name string) bool) []demand.Update
	Merge(from string, words []demand.Update)
	Forget()
}

// sendHeartbeats sends heartbeats: at least every heartbeatInterval, and in a small fleet soon after
// updates.
func (r *Roster) sendHeartbeats() error {
	ctx := r.tomb.Context(context.Background())
	tick := time.NewTimer(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
			r.send(false)
			r.repeatWorkReports(time.Now())
			tick.Reset(heartbeatInterval + rand.N(heartbeatInterval/10))
			continue
		case <-r.updates:
		}
		wait, soon := r.batchWait()
		if !soon {
			continue
		}
		if pause.For(ctx, wait) != nil {
			return nil
		}
		r.send(false)
	}
}

// batchWait is how long a change waits for more, and whether it is sent before the
// next heartbeat.
func (r *Roster) batchWait() (wait time.Duration, soon bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return batchDelay * time.Duration(max(len(r.peers), 1)), r.small()
}

// send sends one heartbeat: in a small fleet, or with all, to every daemon known,
// else to the aggregators.
func (r *Roster) send(all bool) {
	b := heartbeat{Claims: r.o.Claims.Report(), Speeds: r.o.Speeds.Report(), Demand: r.o.Demand.Report(), Clock: r.ownClock()}
	b.Work, b.Reads = r.o.Book.LocalReport()
	now := time.Now()
	r.mu.Lock()
	r.paused.tick(now)
	r.seq++
	r.self.StoreAway = r.storeFails()
	r.self.RateLevel = r.ownRate()
	b.Member, b.Seq = r.self, r.seq
	r.sent = append(r.sent, sentHeartbeat{seq: r.seq, work: b.Work, demand: b.Demand})
	r.sent = r.sent[max(len(r.sent)-maxSent, 0):]
	r.forget(now)
	var to []net.Addr
	if all || r.small() {
		to, b.Peers = r.everyone(now)
	} else {
		to = r.heartbeatReceivers(now)
	}
	r.mu.Unlock()
	r.relayReads(b.Reads, true)
	data, err := encode(&b)
	if err != nil {
		log.WithError(err).Error("roster: beat can't be encoded")
		return
	}
	for _, addr := range to {
		r.write(data, addr)
	}
}

func (r *Roster) ownRate() uint8 {
	if r.o.Rate == nil {
		return 1
	}
	return rateLevel(r.o.Rate())
}

func (r *Roster) storeFails() bool {
	if r.o.StoreFails == nil {
		return r.o.StoreAway()
	}
	return r.o.StoreFails()
}

// write sends a datagram. One that can't be sent is as good as lost on the way.
func (r *Roster) write(data []byte, to net.Addr) { _, _ = r.conn.WriteTo(data, to) }

// forget drops the daemons that were unresponsive for long. Callers hold r.mu.
func (r *Roster) forget(now time.Time) {
	for addr, p := range r.peers {
		if now.Sub(p.lastSeen) > forgetAfter {
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

// encode leaves out what doesn't fit into one datagram: the reads
// first, which only cost a prompt being read again.
func encode(b *heartbeat) ([]byte, error) {
	data, err := packed(kindHeartbeat, b)
	if err != nil || len(data) <= maxDatagram {
		return data, err
	}
	b.Reads, b.Peers = nil, nil
	return packed(kindHeartbeat, b)
}

// Kinds of datagrams, their first byte.
const (
	kindHeartbeat  = 1
	kindDigest     = 2
	kindWorkReport = 3
	kindQueueQuery = 4
	kindQueueReply = 5
	kindUsage      = 6
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

// receiveDatagrams takes datagrams until the socket closes.
func (r *Roster) receiveDatagrams() error {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.conn.ReadFrom(buf)
		if !r.tomb.Alive() {
			return nil
		}
		if err != nil {
			log.WithError(err).Warn("roster: can't receive")
			if pause.For(r.tomb.Context(context.Background()), heartbeatInterval) != nil {
				return nil
			}
			continue
		}
		if err := r.handleDatagram(buf[:n], from); err != nil {
			log.WithError(err).WithField("from", from.String()).Warn("roster: datagram can't be read")
		}
	}
}

// handleDatagram decodes and handles one datagram.
func (r *Roster) handleDatagram(data []byte, from net.Addr) error {
	if len(data) == 0 {
		return errShort
	}
	switch data[0] {
	case kindHeartbeat:
		var b heartbeat
		if err := cbor.Unmarshal(data[1:], &b); err != nil {
			return fmt.Errorf("roster: beat: %w", err)
		}
		r.handleHeartbeat(&b, from)
	case kindDigest:
		return r.handleDigest(data)
	case kindUsage:
		if r.o.Usage == nil {
			return nil
		}
		return r.o.Usage(data[1:])
	default:
		return r.handleOwnerMessage(data, from)
	}
	return nil
}

// handleHeartbeat merges a heartbeat.
func (r *Roster) handleHeartbeat(b *heartbeat, from net.Addr) {
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
	r.observeContact(now)
	p := r.peers[key]
	if p == nil {
		p = &peer{addr: from}
		r.peers[key] = p
	}
	// Datagrams overtake each other: an older one must not bring back a daemon
	// that said it leaves.
	if p.known && p.outdated(b.Member.Incarnation, b.Seq, now) {
		r.mu.Unlock()
		return
	}
	changed := r.update(p, &b.Member, b.Seq, now)
	// Others may have reported it before its own first heartbeat.
	fresh := p.sender != b.Member.Incarnation && now.Sub(p.since) < newFor
	p.sender = b.Member.Incarnation
	p.heartbeat, p.heartbeatSeq, p.unresponsive, p.asked = now, b.Seq, false, time.Time{}
	small := r.small()
	sums := !small && r.agg.on && b.Member.Zone == r.self.Zone
	for _, addr := range b.Peers {
		r.addPeer(Member{PeerAddr: addr})
	}
	r.mu.Unlock()
	r.o.Claims.Merge(b.Claims)
	r.o.Speeds.Merge(b.Speeds)
	switch {
	case small:
		r.o.Book.Merge(key, b.Work, b.Reads)
		r.o.Demand.Merge(key, b.Demand)
		if fresh {
			r.Notify()
		}
	case sums:
		r.relayReads(r.o.Book.Merge(key, b.Work, b.Reads), true)
		r.o.Demand.Merge(key, b.Demand)
		if fresh {
			r.sendMembers(from)
		}
		if changed {
			r.agg.wake()
		}
	case b.Member.State != Leaving:
		r.redirect(b.Member.Zone, from)
	}
}
