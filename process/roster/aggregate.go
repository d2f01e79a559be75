package roster

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/internal/pause"
)

const (
	// aggregatorsPerZone is the number of daemons of an availability zone that aggregate
	// the state of the zone's daemons. Each of them receives the heartbeats of all, so
	// that the other one continues when one dies.
	aggregatorsPerZone = 2
	// digestInterval is the interval between two digests of an aggregator.
	digestInterval = 500 * time.Millisecond
	// changeDelay is how long a daemon's change of state waits for further changes.
	changeDelay = 50 * time.Millisecond
	// replyTimeout is the time without a reply after which a receiver of heartbeats no
	// longer counts as an aggregator. It spans three digests.
	replyTimeout = 3 * digestInterval
	// unresponsiveAfter is the time without heartbeats after which an aggregator marks a
	// daemon unresponsive. It spans six heartbeats.
	unresponsiveAfter = 6 * heartbeatInterval
	// staleAfter is the time after which reports from before a daemon became unresponsive
	// can no longer arrive.
	staleAfter = unresponsiveAfter + relayedAliveAge
	// maxContactAge is the maximum age of the last datagram of any daemon for an
	// aggregator to mark others unresponsive. It spans two heartbeats, and the zone alone
	// sends many in that time.
	maxContactAge = 2 * heartbeatInterval
	// aggregatorWarmup is how long a daemon must have been an aggregator before it marks
	// others unresponsive. Until then they may not know that it is one.
	aggregatorWarmup = replyTimeout + 2*heartbeatInterval
	// changeRepeats is the number of digests that repeat a change, so that lost datagrams
	// rarely hide it.
	changeRepeats = 3
	// digestTTL is how long a daemon that sent another zone's digest is sent the digests
	// of this zone. It aggregates, whatever this daemon assumes about its zone.
	digestTTL = replyTimeout
	// fallbackReceivers is the number of the zone's daemons that a daemon without digests
	// sends heartbeats to. If many daemons died at once, all of them are thus found
	// unresponsive together and not two at a time. The live ones reply with the current
	// aggregators.
	fallbackReceivers = 16
	// randomReceivers is the number of additional receivers from any zone, in case the
	// daemon's view of its zone is wrong.
	randomReceivers = 2
	// relayedAliveAge is the maximum age of others' reports that a daemon is alive for
	// them to be relayed.
	relayedAliveAge = 3 * digestInterval
)

// Limits of what one datagram holds. A work entry takes 20 bytes, a row 85, a read
// of three parts 50 and a token 5.
const (
	workPerDatagram   = 56
	rowsPerDatagram   = 12
	readsPerDatagram  = 22
	tokensPerDatagram = 240
)

// aggregation is the state of an aggregator, guarded by Roster.mu.
//
// If every daemon sent to all others, 295 daemons would send 65,000 datagrams per second
// in total and receive 220 each, and a daemon's death would be noticed after 9 s. With
// aggregation each receives some 40, whatever the number of daemons.
type aggregation struct {
	on           bool
	index, count int               // index of this daemon among its zone's aggregators, and their number
	since        time.Time         // time of the last change of on, or of the end of an isolation
	lastDigest   time.Time         // time of the last digest of the whole fleet
	lastContact  time.Time         // time of the last datagram of any daemon
	digestCount  int               // number of digests sent
	fleetReads   []engines.Read    // reads to relay to the zone's daemons
	zoneReads    []engines.Read    // reads to relay to the aggregators of other zones
	parts        map[string]uint32 // number of parts of the last digest, by its zone
	changed      chan struct{}
}

// notifyChange requests that changes are sent soon.
func (a *aggregation) notifyChange() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// aggregate sends digests while this daemon is an aggregator.
func (r *Roster) aggregate() error {
	ctx := r.tomb.Context(context.Background())
	tick := time.NewTimer(digestInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
			r.publish(true)
			tick.Reset(digestInterval + rand.N(digestInterval/10))
			continue
		case <-r.agg.changed:
		}
		if pause.For(ctx, changeDelay) != nil {
			return nil
		}
		r.publish(false)
	}
}

// aggregators returns the addresses of a zone's aggregators as far as this daemon knows.
// Callers hold r.mu.
func (r *Roster) aggregators(zone string, now time.Time) []string {
	return r.aggregatorCandidates(zone, aggregatorsPerZone, now)
}

// aggregatorCandidates returns the first n daemons of a zone that may aggregate, by
// descending link bandwidth, then by VM name. Callers hold r.mu.
//
// Digests to the daemons of a zone of 70 fill a link of 20 Mbit/s while many daemons
// change their state. A daemon behind such a link reads neither the store nor its peers in
// time, and keeps sending requests to targets that have left.
func (r *Roster) aggregatorCandidates(zone string, n int, now time.Time) []string {
	var found []*Member
	for _, p := range r.peers {
		if p.member.Zone == zone && r.mayAggregate(p, now) {
			found = append(found, &p.member)
		}
	}
	if zone == r.self.Zone && r.self.State != Leaving {
		found = append(found, &r.self)
	}
	slices.SortFunc(found, widestFirst)
	return peerAddrsOf(found[:min(len(found), n)])
}

// mayAggregate reports whether a daemon may be an aggregator. A daemon known only from the
// store may be one until it fails to reply. Callers hold r.mu.
func (r *Roster) mayAggregate(p *peer, now time.Time) bool {
	switch {
	case p.member.State == Leaving || p.dead:
		return false
	case !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > replyTimeout:
		return false
	}
	return !p.known || p.alive(now, r.deadTimeout())
}

// heartbeatReceivers returns the receivers of a heartbeat in a large fleet: the
// aggregators of the own zone and, if no digests arrive, some other daemons, which reply
// with the aggregators. Callers hold r.mu.
func (r *Roster) heartbeatReceivers(now time.Time) []net.Addr {
	all := r.aggregators(r.self.Zone, now)
	at := slices.Index(all, r.self.PeerAddr)
	on := at >= 0
	r.setAggregating(on, now)
	r.agg.index, r.agg.count = max(at, 0), max(len(all), 1)
	noDigests := !on && now.Sub(r.agg.lastDigest) > replyTimeout
	n := aggregatorsPerZone
	if noDigests {
		n = fallbackReceivers
		all = r.aggregatorCandidates(r.self.Zone, n, now)
	}
	var to []net.Addr
	for _, addr := range all {
		p := r.peers[addr]
		if p == nil {
			continue // this daemon
		}
		if p.unansweredSince.IsZero() {
			p.unansweredSince = now
		}
		to = append(to, p.addr)
	}
	for _, p := range r.peers {
		if !noDigests || len(to) >= n+randomReceivers {
			break
		}
		to = append(to, p.addr)
	}
	return to
}

// setAggregating starts or stops aggregating. Work and demand received before are cleared,
// because from then on they are part of other aggregates. Callers hold r.mu.
func (r *Roster) setAggregating(on bool, now time.Time) {
	if r.agg.on == on {
		return
	}
	r.agg.on, r.agg.since = on, now
	r.agg.fleetReads, r.agg.zoneReads = nil, nil
	for _, p := range r.peers {
		// An earlier aggregator may not have sent the last changes.
		p.repeatsLeft = changeRepeats
	}
	r.o.Engines.RemovePeers()
	r.o.Demand.RemovePeers()
	log.WithFields(log.Fields{"zone": r.self.Zone, "on": on, "daemons": 1 + len(r.peers)}).Info("roster: zone aggregation switched on or off")
}

// unanswered reports whether an expected aggregator hasn't replied and nobody reports it
// alive. Callers hold r.mu.
func (r *Roster) unanswered(p *peer, now time.Time) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) > replyTimeout && now.Sub(p.lastSeen) > replyTimeout
}

// maxUnresponsiveRatio is the maximum ratio of newly unresponsive daemons to responsive
// ones. Above it an aggregator marks none of them.
const maxUnresponsiveRatio = 3

// detectUnresponsive marks the daemons of the zone that used to send heartbeats to this
// one and no longer do. Callers hold r.mu.
//
// An aggregator that is isolated, or that the others no longer send heartbeats to, must
// not report the zone's daemons as dead. It would repeat the report when it is reachable
// again, and other zones, which receive the last heartbeats later, would accept it. An
// aggregator that receives no datagrams at all therefore marks nobody, since heartbeats
// stop at slightly different times. If nearly all daemons become unresponsive at once,
// they count as dead only once nobody reports them alive.
func (r *Roster) detectUnresponsive(now time.Time) {
	if now.Sub(r.agg.lastContact) > maxContactAge {
		return
	}
	responsive := 0
	var unresponsive []*peer
	for _, p := range r.peers {
		switch {
		case p.member.Zone != r.self.Zone || !p.known:
		case !p.dead && r.unanswered(p, now):
			p.markUnresponsive("no answer")
		case now.Sub(r.agg.since) < aggregatorWarmup || p.lastHeartbeat.Before(r.agg.since):
		case now.Sub(p.lastHeartbeat) < unresponsiveAfter:
			responsive++
		case !p.dead && !p.unresponsive:
			unresponsive = append(unresponsive, p)
		}
	}
	if responsive*maxUnresponsiveRatio < len(unresponsive) && len(unresponsive) > maxUnresponsiveRatio {
		return
	}
	for _, p := range unresponsive {
		p.unresponsive = true
		p.markUnresponsive("no beat")
	}
}

// observeContact records a datagram of another daemon. After a gap without any datagram
// this daemon was isolated, so it restarts the timeouts after which it marks others
// unresponsive. Callers hold r.mu.
func (r *Roster) observeContact(now time.Time) {
	if now.Sub(r.agg.lastContact) > deadAfter {
		r.agg.since = now
		for _, p := range r.peers {
			p.repeatsLeft = changeRepeats
			if !p.unansweredSince.IsZero() {
				p.unansweredSince = now
			}
		}
	}
	r.agg.lastContact = now
}
