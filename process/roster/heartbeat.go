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

// heartbeat is the datagram in which a daemon reports its own state.
type heartbeat struct {
	_      struct{} `cbor:",toarray"`
	Member Member
	Seq    uint64
	Work   []engines.Work
	Reads  []engines.Read
	Peers  []string // addresses of other daemons, sent in small fleets only
	Claims []Claim
	Speeds []speed.Update
	Demand []demand.Update
	Clock  int64 // clock of the sender's VM, microseconds since 1970
}

// sentHeartbeat records what a heartbeat of this daemon contained, so that it can be
// subtracted from aggregates that include it.
type sentHeartbeat struct {
	seq    uint64
	work   []engines.Work
	demand []demand.Update
}

// maxSentHeartbeats is the number of own heartbeats kept: those of about 4 s.
const maxSentHeartbeats = 16

// Claim states the minimum age of the newest claim on a subject.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Subject string
	Offset  int64
	AgeMs   int64
}

// Claims exchanges what daemons know of claims.
type Claims interface {
	Report() []Claim
	Merge(claims []Claim)
}

// Speeds exchanges the engine speeds that daemons have measured.
type Speeds interface {
	Report() []speed.Update
	Best() []speed.Update
	Merge(updates []speed.Update)
}

// Demand exchanges the demand of callers that each daemon sees. SumOf selects received
// reports by name.
type Demand interface {
	Report() []demand.Update
	SumOf(names func(name string) bool) []demand.Update
	Merge(from string, updates []demand.Update)
	RemovePeers()
}

// sendHeartbeats sends heartbeats at least every heartbeatInterval and, in a small fleet,
// soon after a change.
func (r *Roster) sendHeartbeats() error {
	ctx := r.tomb.Context(context.Background())
	tick := time.NewTimer(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
			r.sendHeartbeat(false)
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
		r.sendHeartbeat(false)
	}
}

// batchWait returns how long a change waits for further changes, and whether it is sent
// before the next regular heartbeat.
func (r *Roster) batchWait() (wait time.Duration, soon bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return batchDelay * time.Duration(max(len(r.peers), 1)), r.small()
}

// sendHeartbeat sends one heartbeat. In a small fleet, or if all is set, it goes to every
// known daemon, else to the aggregators.
func (r *Roster) sendHeartbeat(all bool) {
	hb := heartbeat{Claims: r.o.Claims.Report(), Speeds: r.o.Speeds.Report(), Demand: r.o.Demand.Report(), Clock: r.ownClock()}
	hb.Work, hb.Reads = r.o.Engines.LocalReport()
	now := time.Now()
	r.mu.Lock()
	r.paused.recordActivity(now)
	r.seq++
	r.self.StoreFails = r.storeFails()
	r.self.RateLevel = r.ownRate()
	hb.Member, hb.Seq = r.reportedSelf(), r.seq
	r.sent = append(r.sent, sentHeartbeat{seq: r.seq, work: hb.Work, demand: hb.Demand})
	r.sent = r.sent[max(len(r.sent)-maxSentHeartbeats, 0):]
	r.expirePeers(now)
	var to []net.Addr
	if all || r.small() {
		to, hb.Peers = r.allPeers(now)
	} else {
		to = r.heartbeatReceivers(now)
	}
	if r.seq%heartbeatsPerProbe == 0 {
		to = append(to, r.probeAddrs(maxProbes)...)
	}
	aggregates := r.agg.on && !r.small()
	summaries := r.seq%heartbeatsPerSummary == 0
	r.mu.Unlock()
	r.relayReads(hb.Reads, true)
	if !aggregates {
		r.sendConvictions(to)
	}
	data, err := encodeHeartbeat(&hb)
	if err != nil {
		log.WithError(err).Error("roster: can't encode heartbeat")
		return
	}
	for _, addr := range to {
		r.write(data, addr)
	}
	if summaries {
		r.sendOwnSummaries(to)
	}
}

// ownRate returns the rate level of this daemon.
func (r *Roster) ownRate() uint8 {
	if r.o.Rate == nil {
		return 1
	}
	return rateLevel(r.o.Rate())
}

// storeFails reports whether this daemon's own calls to the store fail.
func (r *Roster) storeFails() bool {
	if r.o.StoreFails == nil {
		return r.o.StoreUnavailable()
	}
	return r.o.StoreFails()
}

// write sends a datagram. Errors are ignored: a datagram that can't be sent is handled
// like one that is lost.
func (r *Roster) write(data []byte, to net.Addr) { _, _ = r.conn.WriteTo(data, to) }

// expirePeers removes the daemons that have been unresponsive for peerExpiry. Callers hold
// r.mu.
func (r *Roster) expirePeers(now time.Time) {
	for addr, p := range r.peers {
		if now.Sub(p.lastSeen) <= peerExpiry {
			continue
		}
		if r.maybeRunning(p, now) {
			r.removed[p.member.VM] = p.addr
		}
		r.removePeer(addr)
	}
}

// probeAddrs returns the addresses of up to limit daemons that were removed. Without a
// heartbeat to them, daemons that were cut off from each other for longer than peerExpiry
// would never find each other again. Callers hold r.mu.
func (r *Roster) probeAddrs(limit int) []net.Addr {
	var out []net.Addr
	for _, addr := range r.removed { // in random order
		if len(out) == limit {
			break
		}
		out = append(out, addr)
	}
	return out
}

// maybeRunning reports whether an unresponsive daemon may still run. The contact record of a
// daemon that was never seen can be outdated, unless this daemon receives nothing at all.
// Callers hold r.mu.
func (r *Roster) maybeRunning(p *peer, now time.Time) bool {
	if p.known {
		return p.member.State != Leaving
	}
	return p.member.VM != "" && now.Sub(r.agg.lastContact) >= noContactTimeout
}

// allPeers returns all known daemons and, in every heartbeatsPerPeerList-th heartbeat, the
// addresses of some live ones. Callers hold r.mu.
func (r *Roster) allPeers(now time.Time) (to []net.Addr, named []string) {
	for addr, p := range r.peers {
		to = append(to, p.addr)
		if r.seq%heartbeatsPerPeerList == 0 && len(named) < maxListedPeers && p.alive(now, r.deadTimeout()) {
			named = append(named, addr)
		}
	}
	return to, named
}

// encodeHeartbeat encodes a heartbeat. If it doesn't fit into one datagram, the reads and
// the peers are left out: without the reads a prompt is at worst prefilled again.
func encodeHeartbeat(hb *heartbeat) ([]byte, error) {
	data, err := encodeMessage(kindHeartbeat, hb)
	if err != nil || len(data) <= maxDatagramSize {
		return data, err
	}
	hb.Reads, hb.Peers = nil, nil
	return encodeMessage(kindHeartbeat, hb)
}

// Kinds of datagrams, sent as the first byte.
const (
	kindHeartbeat   = 1
	kindDigest      = 2
	kindWorkReport  = 3
	kindQueueQuery  = 4
	kindQueueReply  = 5
	kindUsage       = 6
	kindConvictions = 7
	kindOrigins     = 8
	kindOriginQuery = 9
	kindOriginReply = 10
	kindSummary     = 11
)

var errShortDatagram = errors.New("roster: datagram is too short")

// encodeMessage encodes a message with its kind as the first byte.
func encodeMessage(kind byte, message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("roster: %w", err)
	}
	return append([]byte{kind}, data...), nil
}

// receiveDatagrams handles datagrams until the socket is closed.
func (r *Roster) receiveDatagrams() error {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.conn.ReadFrom(buf)
		if !r.tomb.Alive() {
			return nil
		}
		if err != nil {
			log.WithError(err).Warn("roster: receiving a datagram failed")
			if pause.For(r.tomb.Context(context.Background()), heartbeatInterval) != nil {
				return nil
			}
			continue
		}
		if err := r.handleDatagram(buf[:n], from); err != nil {
			log.WithError(err).WithField("from", from.String()).Warn("roster: can't decode datagram")
		}
	}
}

// handleDatagram decodes and handles one datagram.
func (r *Roster) handleDatagram(data []byte, from net.Addr) error {
	if len(data) == 0 {
		return errShortDatagram
	}
	switch data[0] {
	case kindHeartbeat:
		var hb heartbeat
		if err := cbor.Unmarshal(data[1:], &hb); err != nil {
			return fmt.Errorf("roster: decode heartbeat: %w", err)
		}
		r.handleHeartbeat(&hb, from)
	case kindDigest:
		return r.handleDigest(data)
	case kindUsage:
		if r.o.Usage == nil {
			return nil
		}
		return r.o.Usage(data[1:])
	case kindConvictions:
		return r.handleConvictions(data[1:])
	case kindSummary:
		return r.handleSummary(data[1:])
	case kindOrigins, kindOriginQuery, kindOriginReply:
		return r.handleOriginMessage(data, from)
	default:
		return r.handleOwnerMessage(data, from)
	}
	return nil
}

// handleHeartbeat merges a heartbeat of another daemon.
func (r *Roster) handleHeartbeat(hb *heartbeat, from net.Addr) {
	key := hb.Member.PeerAddr
	if key != r.o.Self.PeerAddr {
		r.observeClock(key, hb.Clock)
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
	// Datagrams may arrive out of order: an older one must not revive a daemon that
	// has announced that it leaves.
	if p.known && p.outdated(hb.Member.Incarnation, hb.Seq, now) {
		r.mu.Unlock()
		return
	}
	changed := r.update(p, &hb.Member, hb.Seq, now)
	// Other daemons may have reported this daemon before its own first heartbeat
	// arrived.
	fresh := p.senderIncarnation != hb.Member.Incarnation && now.Sub(p.firstSeen) < newPeerAge
	p.senderIncarnation = hb.Member.Incarnation
	p.lastHeartbeat, p.heartbeatSeq, p.unresponsive, p.unansweredSince = now, hb.Seq, false, time.Time{}
	small := r.small()
	aggregates := !small && r.agg.on && hb.Member.Zone == r.self.Zone
	for _, addr := range hb.Peers {
		r.addPeer(Member{PeerAddr: addr})
	}
	r.mu.Unlock()
	r.o.Claims.Merge(hb.Claims)
	r.o.Speeds.Merge(hb.Speeds)
	switch {
	case small:
		r.o.Engines.Merge(key, hb.Work, hb.Reads)
		r.o.Demand.Merge(key, hb.Demand)
		if fresh {
			r.Notify()
			r.repeatConvictions(from)
		}
	case aggregates:
		r.relayReads(r.o.Engines.Merge(key, hb.Work, hb.Reads), true)
		r.o.Demand.Merge(key, hb.Demand)
		if fresh {
			r.sendMembers(from)
			r.repeatConvictions(from)
		}
		if changed {
			r.agg.notifyChange()
		}
	case hb.Member.State != Leaving:
		r.redirect(hb.Member.Zone, from)
	}
}
