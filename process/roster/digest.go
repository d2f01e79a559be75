package roster

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
)

// digest is one part of an aggregator's summary. Aggregators of other zones are sent the
// summary of this availability zone, the zone's own daemons that of the whole fleet. Each
// datagram can be processed by itself.
type digest struct {
	_         struct{} `cbor:",toarray"`
	From      string   // peer address of the sender
	Zone      string   // availability zone that is summarized; empty: the whole fleet
	Rows      []row
	Alive     []uint32 // tokens of live daemons
	HasWork   bool     // whether Part, Parts and Work are set
	Part      uint32   // index of this part; engines are assigned to parts by hash
	Parts     uint32   // number of parts
	Work      []engines.Work
	Reads     []engines.Read
	Claims    []Claim
	Speeds    []speed.Update
	HasDemand bool `cbor:"Asked"` // whether Demand is set
	Demand    []demand.Update
	// AliveSum is the sum of the tokens of all live daemons, including the sender and the
	// receiver; 0 if unset.
	AliveSum uint64
	Clock    int64 // sender's estimate of the time in microseconds since 1970; 0 if unset
}

// row is the last known state of one daemon.
type row struct {
	_      struct{} `cbor:",toarray"`
	Member Member
	Seq    uint64
	Dead   bool   // unresponsive since the heartbeat Seq
	AgeMs  uint32 // time since it was last known to be alive
}

// rowOf returns the row that describes a peer now.
func rowOf(p *peer, now time.Time) row {
	age := min(max(now.Sub(p.lastSeen), 0), peerExpiry)
	return row{Member: p.member, Seq: p.seq, Dead: p.dead, AgeMs: uint32(age.Milliseconds())}
}

// digestHeaderSize is the size of the header of a digest's datagram: the kind, and the
// number of the receiver's newest heartbeat that is part of the aggregates, 0 if none.
// Only the header differs between receivers, so the message is encoded once for all.
const digestHeaderSize = 1 + 8

func (d *digest) encode() ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("roster: digest: %w", err)
	}
	return append(make([]byte, digestHeaderSize, digestHeaderSize+len(data)), data...), nil
}

// putDigestHeader writes the header for one receiver.
func putDigestHeader(data []byte, ownSeq uint64) {
	data[0] = kindDigest
	binary.BigEndian.PutUint64(data[1:], ownSeq)
}

func (r *Roster) handleDigest(data []byte) error {
	if len(data) < digestHeaderSize {
		return errShortDatagram
	}
	var d digest
	if err := cbor.Unmarshal(data[digestHeaderSize:], &d); err != nil {
		return fmt.Errorf("roster: digest: %w", err)
	}
	r.mergeDigest(&d, binary.BigEndian.Uint64(data[1:]))
	return nil
}

// mergeDigest merges a digest whose aggregates include this daemon's heartbeat with the
// number ownSeq.
func (r *Roster) mergeDigest(d *digest, ownSeq uint64) {
	now := time.Now()
	r.observeClock("digest of "+d.From, d.Clock)
	r.mu.Lock()
	r.observeContact(now)
	sender := r.addPeer(Member{PeerAddr: d.From})
	if p := sender; p != nil {
		p.unansweredSince = time.Time{}
		if p.known {
			p.confirmAlive(now)
		}
		switch {
		case !d.HasWork:
		case d.Zone != "":
			p.lastDigest = now
		default:
			r.agg.lastDigest = now
		}
	}
	changed := false
	for i := range d.Rows {
		changed = r.mergeRow(&d.Rows[i], now) || changed
	}
	for _, token := range d.Alive {
		p := r.peers[r.tokens[token]]
		// Without this check two aggregators of one zone would keep a dead daemon of
		// another zone alive, each by the other's report.
		echo := r.agg.on && d.Zone == "" && p != nil && p.member.Zone != r.self.Zone
		if p != nil && !echo {
			p.confirmAlive(now)
		}
	}
	if d.AliveSum != 0 && !r.agg.on {
		r.confirmAliveSum(d.AliveSum, now)
	}
	// An aggregator skips the summary that it builds itself.
	fleetDigest := d.Zone == "" && !r.agg.on
	otherZone := d.Zone != "" && d.Zone != r.self.Zone && r.agg.on
	var own sentHeartbeat
	for _, t := range r.sent {
		if fleetDigest && t.seq == ownSeq {
			own = t
		}
	}
	on := r.agg.on
	r.mu.Unlock()
	if changed && on {
		r.agg.notifyChange()
	}
	if d.HasWork && d.Part == 0 && d.Zone != "" && !on && sender != nil {
		r.redirect(r.self.Zone, sender.addr)
	}
	r.o.Claims.Merge(d.Claims)
	r.o.Speeds.Merge(d.Speeds)
	if !fleetDigest && !otherZone {
		return
	}
	if d.HasWork {
		r.mergeLoads(d, &own)
	}
	if d.HasDemand {
		r.o.Demand.Merge(summaryName(d.Zone), demand.Subtract(d.Demand, own.demand))
	}
	if fresh := r.o.Engines.MergeReads(d.Reads); otherZone {
		r.relayReads(fresh, false)
	}
}

// confirmAliveSum confirms that the live peers are alive if the sum of their tokens equals
// that of an aggregator. Callers hold r.mu.
func (r *Roster) confirmAliveSum(sum uint64, now time.Time) {
	own := uint64(r.self.token())
	var alive []*peer
	for _, p := range r.peers {
		if p.alive(now, r.deadTimeout()) {
			own += uint64(p.member.token())
			alive = append(alive, p)
		}
	}
	if own != sum {
		return // the aggregator also sends the full list from time to time
	}
	for _, p := range alive {
		p.confirmAlive(now)
	}
}

// mergeRow merges another daemon's report about a daemon. It returns whether the report is
// to be passed on: it changed the peer's state, or this daemon refutes it. Callers hold
// r.mu.
func (r *Roster) mergeRow(w *row, now time.Time) bool {
	p := r.addPeer(w.Member)
	if p == nil {
		return false
	}
	if w.Dead {
		direct := r.agg.on && p.member.Zone == r.self.Zone && now.Sub(p.lastHeartbeat) < unresponsiveAfter
		// The daemon's last heartbeat may have reached this daemon and not the
		// reporting one.
		newer := p.seq > w.Seq && now.Sub(p.lastSeen) < deadAfter
		switch {
		case !p.known || p.dead || p.member.Incarnation != w.Member.Incarnation || newer:
			return false
		case direct:
			p.repeatsLeft = changeRepeats // it still sends heartbeats to this daemon
			return true
		}
		p.seq = max(p.seq, w.Seq)
		p.markUnresponsive("reported by another daemon")
		return true
	}
	if p.known && p.outdated(w.Member.Incarnation, w.Seq, now) {
		return false
	}
	return r.update(p, &w.Member, w.Seq, now.Add(-time.Duration(w.AgeMs)*time.Millisecond))
}

// summaryName returns the name under which a digest's aggregates are stored.
func summaryName(zone string) string { return "sum of " + zone }

// partName returns the name under which one part of a digest's work is stored.
func partName(zone string, part uint32) string {
	return fmt.Sprintf("%s, part %d", summaryName(zone), part)
}

// mergeLoads merges a part of a digest's work, minus what this daemon itself reported.
//
// The number of parts depends on the number of engines. When it changes, the earlier parts
// are removed, or they would count twice until they expire.
func (r *Roster) mergeLoads(d *digest, own *sentHeartbeat) {
	r.mu.Lock()
	before := r.agg.parts[d.Zone]
	if r.agg.parts == nil {
		r.agg.parts = make(map[string]uint32)
	}
	r.agg.parts[d.Zone] = d.Parts
	r.mu.Unlock()
	if before != d.Parts {
		for part := range before {
			r.o.Engines.Merge(partName(d.Zone, part), nil, nil)
		}
	}
	r.o.Engines.Merge(partName(d.Zone, d.Part), engines.Subtract(d.Work, own.work), nil)
}
