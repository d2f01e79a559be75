package roster

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/engines"
)

const (
	// maxReadsPerDigest bounds the reads of one digest: 7 kB to each receiver, twice a
	// second.
	maxReadsPerDigest = 6 * readsPerDatagram
	// maxWorkPerDigest bounds the engines in one digest: 5 kB to each receiver, twice a
	// second. A daemon that chooses can treat the engines with less work as idle, because
	// it queries the owners of their queues in any case.
	maxWorkPerDigest = 256
	// maxPendingReads bounds the reads that wait for the next digest.
	maxPendingReads = 1024
)

// relayReads queues new reads to be sent to the zone's daemons and, if they come from the
// own zone, to other zones.
//
// The aggregators of a zone receive the same reads, and each one relays its share of them.
// With 890 prompts per second, each prefilled by one engine and decoded by another, a
// digest that held only the first 44 reads of half a second, the same from both
// aggregators, had 38 of 46 million tokens of shared prompt parts prefilled again within
// 36 s.
func (r *Roster) relayReads(reads []engines.Read, ownZone bool) {
	if len(reads) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.agg.on {
		return
	}
	for _, read := range reads {
		if int(read.Key()%uint64(r.agg.count)) != r.agg.index {
			continue
		}
		if len(r.agg.fleetReads) < maxPendingReads {
			r.agg.fleetReads = append(r.agg.fleetReads, read.Shared())
		}
		if ownZone && len(r.agg.zoneReads) < maxPendingReads {
			r.agg.zoneReads = append(r.agg.zoneReads, read.Shared())
		}
	}
}

// costliest returns the reads to send: those with the most tokens, which cost most to
// prefill again.
func costliest(reads []engines.Read) []engines.Read {
	slices.SortStableFunc(reads, func(a, b engines.Read) int { return cmp.Compare(b.Tokens(), a.Tokens()) })
	return reads[:min(len(reads), maxReadsPerDigest)]
}

// receiver is a daemon that is sent a digest, and the number of its newest heartbeat that
// is part of the aggregates.
type receiver struct {
	addr         net.Addr
	heartbeatSeq uint64
}

// round is the content and the receivers of one round of digests.
type round struct {
	members    []receiver // daemons of the zone that choose engines
	idle       []receiver // daemons of the zone that get no requests
	others     []receiver // aggregators of other zones
	toMembers  digest     // summary of the fleet
	toOthers   digest     // summary of the zone
	memberRows []row
	otherRows  []row
	local      map[string]bool // peer addresses of the zone's daemons
	summaries  bool            // summaries are sent in this round
}

// publish sends digests if this daemon is an aggregator: whole ones, or only the rows of
// changed daemons.
func (r *Roster) publish(whole bool) {
	now := time.Now()
	r.mu.Lock()
	if !r.agg.on || r.small() {
		r.mu.Unlock()
		return
	}
	r.detectUnresponsive(now)
	s := r.collect(now, whole)
	r.mu.Unlock()
	if whole {
		r.fillSummaries(s)
	}
	r.sendTo(s.members, s.toMembers, s.memberRows, whole)
	r.sendTo(s.idle, s.toMembers.withoutWork(), s.memberRows, whole)
	r.sendTo(s.others, s.toOthers, s.otherRows, whole)
	if whole {
		r.sendConvictions(s.addrs())
	}
	if whole && s.summaries {
		r.sendAggregatedSummaries(s)
	}
}

// addrs returns the addresses of all receivers.
func (s *round) addrs() []net.Addr {
	var out []net.Addr
	for _, list := range [...][]receiver{s.members, s.idle, s.others} {
		out = append(out, addrsOf(list)...)
	}
	return out
}

func addrsOf(list []receiver) []net.Addr {
	out := make([]net.Addr, 0, len(list))
	for _, to := range list {
		out = append(out, to.addr)
	}
	return out
}

// collect determines the receivers of this round and the rows that it contains. Callers
// hold r.mu.
func (r *Roster) collect(now time.Time, whole bool) *round {
	s := &round{
		toMembers: digest{From: r.self.PeerAddr},
		toOthers:  digest{From: r.self.PeerAddr, Zone: r.self.Zone},
		local:     make(map[string]bool),
	}
	if whole {
		r.agg.digestCount++
		s.summaries = r.agg.digestCount%digestsPerSummary == 0
		s.toMembers.Reads, r.agg.fleetReads = engines.AsOf(costliest(r.agg.fleetReads), now), nil
		s.toOthers.Reads, r.agg.zoneReads = engines.AsOf(costliest(r.agg.zoneReads), now), nil
	}
	leader := r.leader(now)
	zones := make(map[string]net.Addr) // any daemon of each zone, to reach the zone again after a partition
	self := row{Member: r.self, Seq: r.seq}
	s.memberRows, s.otherRows = append(s.memberRows, self), append(s.otherRows, self)
	for addr, p := range r.peers {
		near := p.member.Zone == r.self.Zone
		r.addPeerState(s, p, near, now, whole)
		switch {
		case near:
			s.local[addr] = true
			to := &s.members
			if p.member.idle() && addr != leader {
				to = &s.idle
			}
			*to = append(*to, receiver{addr: p.addr, heartbeatSeq: p.heartbeatSeq})
		case now.Sub(p.lastDigest) < digestTTL:
			s.others = append(s.others, receiver{addr: p.addr})
		case p.member.Zone != "":
			zones[p.member.Zone] = p.addr
		}
	}
	for zone, any := range zones {
		aggregators := r.aggregators(zone, now)
		if len(aggregators) == 0 {
			s.others = append(s.others, receiver{addr: any})
		}
		for _, addr := range aggregators {
			if p := r.peers[addr]; now.Sub(p.lastDigest) >= digestTTL {
				s.others = append(s.others, receiver{addr: p.addr})
			}
		}
	}
	s.toMembers.summarizeAlive(r.self.token(), whole && r.agg.digestCount%digestsPerAliveList == 0)
	return s
}

// addPeerState adds the row and the alive token of one daemon to a round. Callers hold
// r.mu.
func (r *Roster) addPeerState(s *round, p *peer, near bool, now time.Time, whole bool) {
	if !p.known {
		return
	}
	token := p.member.token()
	scheduled := whole && int(token%digestsPerRowCycle) == r.agg.digestCount%digestsPerRowCycle
	if p.repeatsLeft > 0 || scheduled && p.alive(now, relayedAliveAge) {
		entry := rowOf(p, now)
		s.memberRows = append(s.memberRows, entry)
		if near {
			s.otherRows = append(s.otherRows, entry)
		}
		p.repeatsLeft = max(p.repeatsLeft-1, 0)
	}
	if !whole || p.dead {
		return
	}
	since, limit := p.lastSeen, relayedAliveAge
	if near {
		since, limit = p.lastHeartbeat, unresponsiveAfter
	}
	if now.Sub(since) > limit {
		return
	}
	s.toMembers.Alive = append(s.toMembers.Alive, token)
	if near {
		s.toOthers.Alive = append(s.toOthers.Alive, token)
	}
}

// digestsPerAliveList is the number of digests of which one contains the full list of live
// daemons, if the list takes more than one datagram. The others contain only the sum of
// its tokens.
const digestsPerAliveList = 4

// summarizeAlive adds the sum of the tokens if the list of live daemons is long, and drops
// the list unless list is set.
func (d *digest) summarizeAlive(self uint32, list bool) {
	if len(d.Alive) <= tokensPerDatagram {
		return
	}
	d.AliveSum = uint64(self)
	for _, token := range d.Alive {
		d.AliveSum += uint64(token)
	}
	if !list {
		d.Alive = nil
	}
}

// withoutWork returns the digest for daemons that choose no engines. The amount they
// receive doesn't grow with the requests of others.
func (d digest) withoutWork() digest {
	d.Work, d.Reads = nil, nil
	return d
}

// digestsPerRowCycle is the number of digests over which all rows are repeated, for
// daemons that missed a change. A cycle takes 10 s.
const digestsPerRowCycle = 20

// fillSummaries fills in the engines' work, the callers' demand, claims, speeds and the
// clock.
func (r *Roster) fillSummaries(s *round) {
	local := func(name string) bool { return s.local[name] }
	all := func(string) bool { return true }
	s.toMembers.Work = engines.Busiest(r.o.Engines.Sum(), maxWorkPerDigest)
	s.toOthers.Work = engines.Busiest(r.o.Engines.SumOf(local), maxWorkPerDigest)
	s.toMembers.Demand, s.toOthers.Demand = r.o.Demand.SumOf(all), r.o.Demand.SumOf(local)
	claims, speeds := r.o.Claims.Report(), r.o.Speeds.Best()
	s.toMembers.Claims, s.toOthers.Claims = claims, claims
	s.toMembers.Speeds, s.toOthers.Speeds = speeds, speeds
	s.toMembers.Clock, s.toOthers.Clock = r.fleetClock(), r.fleetClock()
}

// sendTo sends a digest, split into datagrams, to each receiver.
func (r *Roster) sendTo(to []receiver, d digest, rows []row, whole bool) {
	if len(to) == 0 {
		return
	}
	for _, part := range splitDigest(d, rows, whole, min(r.o.Engines.Count(), maxWorkPerDigest)) {
		data, err := part.encode()
		if err != nil {
			log.WithError(err).Error("roster: can't encode digest")
			return
		}
		for _, t := range to {
			putDigestHeader(data, t.heartbeatSeq)
			r.write(data, t.addr)
		}
	}
}

// splitDigest splits a digest into datagrams. Engines are assigned to parts by hash. The
// number of parts depends on the number of known engines, so that each part fits into one
// datagram.
func splitDigest(d digest, rows []row, whole bool, known int) []digest {
	var out []digest
	newPart := func() digest { return digest{From: d.From, Zone: d.Zone} }
	for chunk := range slices.Chunk(rows, rowsPerDatagram) {
		c := newPart()
		c.Rows = chunk
		out = append(out, c)
	}
	if !whole {
		return out
	}
	for chunk := range slices.Chunk(d.Alive, tokensPerDatagram) {
		c := newPart()
		c.Alive = chunk
		out = append(out, c)
	}
	for chunk := range slices.Chunk(d.Reads, readsPerDatagram) {
		c := newPart()
		c.Reads = chunk
		out = append(out, c)
	}
	parts := uint32(1)
	if len(d.Work) > 0 {
		parts = uint32(max((known+workPerDatagram-1)/workPerDatagram, 1))
	}
	for part := range parts {
		c := newPart()
		c.HasWork, c.Part, c.Parts = true, part, parts
		for _, w := range d.Work {
			if uint32(w.Target%uint64(parts)) == part {
				c.Work = append(c.Work, w)
			}
		}
		if part == 0 {
			c.Claims, c.Speeds, c.HasDemand, c.Demand, c.Clock, c.AliveSum = d.Claims, d.Speeds, true, d.Demand, d.Clock, d.AliveSum
		}
		out = append(out, c)
	}
	return out
}

// sendMembers sends all live members to a daemon that has just started.
func (r *Roster) sendMembers(to net.Addr) {
	r.mu.Lock()
	var rows []row
	now := time.Now()
	for _, p := range r.peers {
		if p.alive(now, r.deadTimeout()) {
			rows = append(rows, rowOf(p, now))
		}
	}
	d := digest{From: r.self.PeerAddr}
	r.mu.Unlock()
	r.sendTo([]receiver{{addr: to}}, d, rows, false)
}

// redirect sends a daemon the aggregators of its zone.
func (r *Roster) redirect(zone string, to net.Addr) {
	now := time.Now()
	r.mu.Lock()
	var rows []row
	for _, addr := range r.aggregators(zone, now) {
		if p := r.peers[addr]; p != nil && p.known {
			rows = append(rows, rowOf(p, now))
		}
	}
	d := digest{From: r.self.PeerAddr, Zone: r.self.Zone}
	r.mu.Unlock()
	r.sendTo([]receiver{{addr: to}}, d, rows, false)
}
