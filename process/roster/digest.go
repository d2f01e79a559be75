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

// digest is a part of what an aggregator sends: of its availability zone to
// those of other zones, of all to the daemons of its own zone. Each datagram
// holds by itself.
type digest struct {
	_       struct{} `cbor:",toarray"`
	From    string   // peer address of the sender
	Zone    string   // whose aggregates these are; empty: all daemons'
	Rows    []row
	Alive   []uint32 // tokens of daemons that live
	HasWork bool     // Part, Parts and Work hold
	Part    uint32   // of the engines, by their hash
	Parts   uint32
	Work    []engines.Work
	Reads   []engines.Read
	Claims  []Claim
	Speeds  []speed.Update
	Asked   bool // Demand holds
	Demand  []demand.Update
	// AliveSum is the sum of the tokens of all that live, the sender and the
	// receiver among them; 0: not stated.
	AliveSum uint64
	Clock    int64 // the sender's estimate of the time, microseconds since 1970; 0: not stated
}

// row is a daemon's last state, or that it has been unresponsive since.
type row struct {
	_      struct{} `cbor:",toarray"`
	Member Member
	Seq    uint64
	Dead   bool
	AgeMs  uint32 // since it was last known to live
}

// rowOf is what is sent of a daemon now.
func rowOf(p *peer, now time.Time) row {
	age := min(max(now.Sub(p.lastSeen), 0), forgetAfter)
	return row{Member: p.member, Seq: p.seq, Dead: p.dead, AgeMs: uint32(age.Milliseconds())}
}

// A digest's datagram is the kind, the number of the receiver's newest heartbeat
// that the aggregates hold, 0 for none, and the message. So the message is encoded
// once for all receivers.
const digestHead = 1 + 8

func (d *digest) encode() ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("roster: digest: %w", err)
	}
	return append(make([]byte, digestHead, digestHead+len(data)), data...), nil
}

// head fills in the head for one receiver.
func head(data []byte, seen uint64) {
	data[0] = kindDigest
	binary.BigEndian.PutUint64(data[1:], seen)
}

func (r *Roster) handleDigest(data []byte) error {
	if len(data) < digestHead {
		return errShort
	}
	var d digest
	if err := cbor.Unmarshal(data[digestHead:], &d); err != nil {
		return fmt.Errorf("roster: digest: %w", err)
	}
	r.mergeDigest(&d, binary.BigEndian.Uint64(data[1:]))
	return nil
}

// mergeDigest takes a digest that holds this daemon's heartbeat of that number.
func (r *Roster) mergeDigest(d *digest, seen uint64) {
	now := time.Now()
	r.observeClock("digest of "+d.From, d.Clock)
	r.mu.Lock()
	r.observeContact(now)
	sender := r.addPeer(Member{PeerAddr: d.From})
	if p := sender; p != nil {
		p.asked = time.Time{}
		if p.known {
			p.confirmAlive(now)
		}
		switch {
		case !d.HasWork:
		case d.Zone != "":
			p.digest = now
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
		// Two aggregators of the same zone would keep a dead daemon of another one
		// alive, each by the other's report.
		echo := r.agg.on && d.Zone == "" && p != nil && p.member.Zone != r.self.Zone
		if p != nil && !echo {
			p.confirmAlive(now)
		}
	}
	if d.AliveSum != 0 && !r.agg.on {
		r.confirmSum(d.AliveSum, now)
	}
	// This daemon needn't receive what it aggregates itself.
	mine := d.Zone == "" && !r.agg.on
	others := d.Zone != "" && d.Zone != r.self.Zone && r.agg.on
	var own sentHeartbeat
	for _, t := range r.sent {
		if mine && t.seq == seen {
			own = t
		}
	}
	on := r.agg.on
	r.mu.Unlock()
	if changed && on {
		r.agg.wake()
	}
	if d.HasWork && d.Part == 0 && d.Zone != "" && !on && sender != nil {
		r.redirect(r.self.Zone, sender.addr)
	}
	r.o.Claims.Merge(d.Claims)
	r.o.Speeds.Merge(d.Speeds)
	if !mine && !others {
		return
	}
	if d.HasWork {
		r.mergeLoads(d, &own)
	}
	if d.Asked {
		r.o.Demand.Merge(summaryName(d.Zone), demand.Less(d.Demand, own.demand))
	}
	if fresh := r.o.Book.MergeReads(d.Reads); others {
		r.relayReads(fresh, false)
	}
}

// confirmSum notes that those live that count as alive here, if their sum is that of
// an aggregator. Callers hold r.mu.
func (r *Roster) confirmSum(sum uint64, now time.Time) {
	own := uint64(r.self.token())
	var living []*peer
	for _, p := range r.peers {
		if p.alive(now, r.patience()) {
			own += uint64(p.member.token())
			living = append(living, p)
		}
	}
	if own != sum {
		return // a list follows
	}
	for _, p := range living {
		p.confirmAlive(now)
	}
}

// mergeRow takes what another daemon reports of one. It returns whether that is
// updates. Callers hold r.mu.
func (r *Roster) mergeRow(w *row, now time.Time) bool {
	p := r.addPeer(w.Member)
	if p == nil {
		return false
	}
	if w.Dead {
		direct := r.agg.on && p.member.Zone == r.self.Zone && now.Sub(p.heartbeat) < unresponsiveAfter
		// Its last heartbeat may have reached this daemon and not the one that reports it.
		newer := p.seq > w.Seq && now.Sub(p.lastSeen) < deadAfter
		switch {
		case !p.known || p.dead || p.member.Incarnation != w.Member.Incarnation || newer:
			return false
		case direct:
			p.repeat = changeRepeats // it sends this daemon heartbeats
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

// summaryName is the name under which a digest's aggregates are kept.
func summaryName(zone string) string { return "sum of " + zone }

// partName is the same for a part of them.
func partName(zone string, part uint32) string {
	return fmt.Sprintf("%s, part %d", summaryName(zone), part)
}

// mergeLoads takes a part of a digest's work, less what this daemon sent itself.
//
// The number of parts changes with that of the engines. What an earlier number
// left is taken out, or it would count twice until it is too old.
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
			r.o.Book.Merge(partName(d.Zone, part), nil, nil)
		}
	}
	r.o.Book.Merge(partName(d.Zone, d.Part), engines.Subtract(d.Work, own.work), nil)
}
