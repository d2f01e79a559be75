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
	// aggregatorsPerZone is the number of daemons of an availability zone that
	// aggregate the work of the zone's daemons: with one dead the other goes on. Both
	// receive the heartbeats of all.
	aggregatorsPerZone = 2
	// digestEvery is the time between two digests of one of them.
	digestEvery = 500 * time.Millisecond
	// changeAfter is how long a daemon's change of state waits for others.
	changeAfter = 50 * time.Millisecond
	// replyTimeout is the silence after which one that is sent heartbeats counts as
	// no aggregator: three digests.
	replyTimeout = 3 * digestEvery
	// unresponsiveAfter is the silence after which an aggregator finds a daemon
	// unresponsive: six heartbeats.
	unresponsiveAfter = 6 * heartbeatInterval
	// staleAfter is the time after which nothing arrives any more that says a
	// daemon is alive that was unresponsive before.
	staleAfter = unresponsiveAfter + relayedAliveAge
	// contactWithin is the time within which an aggregator must have received a datagram of any
	// daemon to find others unresponsive: two heartbeats, of which its zone alone sends many.
	contactWithin = 2 * heartbeatInterval
	// settled is how long a daemon must aggregate before it finds others
	// unresponsive: they have to notice that it does.
	settled = replyTimeout + 2*heartbeatInterval
	// changeRepeats is the number of digests that repeat a change, so that lost
	// datagrams hardly hide it.
	changeRepeats = 3
	// digestTTL is how long a daemon that sent another zone's digest gets this
	// one's: it aggregates, whatever this one believes of its zone.
	digestTTL = replyTimeout
	// fallbackReceivers is the number of the zone's daemons that one without digests
	// sends heartbeats to, so that of a herd that died all are found unresponsive at once and
	// not two after two. Those that live say who aggregates.
	fallbackReceivers = 16
	// randomReceivers is the number of any daemons that it sends heartbeats to in addition, for
	// what it doesn't know.
	randomReceivers = 2
	// relayedAliveAge is the age up to which others' reports that a daemon is alive are
	// relayed.
	relayedAliveAge = 3 * digestEvery
)

// What fits into one datagram: an entry of work takes 20 bytes, a row 85, a
// read of three parts 50, a token 5.
const (
	workPerDatagram  = 56
	rowsPerDatagram  = 12
	readsPerDatagram = 22
	aliveInHead      = 240
)

// aggregation is the state of aggregating, guarded by Roster.mu.
//
// The load that it answers: with all daemons telling all, 295 of them send
// 65,000 datagrams a second and take 220 each, and a daemon's death shows after
// 9 s. Summed up, each takes some 40, of whatever number of daemons.
type aggregation struct {
	on          bool
	at, of      int               // which of its zone's aggregators it is, of how many
	since       time.Time         // on, or off, since then
	lastDigest  time.Time         // the last digest of all daemons
	lastContact time.Time         // the last datagram of any daemon
	rotate      int               // number of digests sent
	fleet       []engines.Read    // reads to be passed on to the zone's daemons
	zone        []engines.Read    // and to the aggregators of other zones
	parts       map[string]uint32 // of the last digest, by its zone
	changed     chan struct{}
}

// wake has changes sent soon.
func (a *aggregation) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// aggregate sends digests while this daemon is one of the aggregators.
func (r *Roster) aggregate() error {
	ctx := r.tomb.Context(context.Background())
	tick := time.NewTimer(digestEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
			r.publish(true)
			tick.Reset(digestEvery + rand.N(digestEvery/10))
			continue
		case <-r.agg.changed:
		}
		if pause.For(ctx, changeAfter) != nil {
			return nil
		}
		r.publish(false)
	}
}

// aggregators returns the addresses of the aggregators of a zone, as far as
// this one knows. Callers hold r.mu.
func (r *Roster) aggregators(zone string, now time.Time) []string {
	return r.firstOf(zone, aggregatorsPerZone, now)
}

// firstOf returns the first daemons of a zone that may aggregate: those with the
// widest links, then by name. Callers hold r.mu.
//
// Digests to the daemons of a zone of 70 fill a link of 20 Mbit/s while many
// daemons change their state. A daemon behind it reads neither the store nor its
// peers in time, and goes on sending requests to targets that have left.
func (r *Roster) firstOf(zone string, n int, now time.Time) []string {
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

// mayAggregate reports whether a daemon may be an aggregator. One that is only
// listed in the store may, until it doesn't answer. Callers hold r.mu.
func (r *Roster) mayAggregate(p *peer, now time.Time) bool {
	switch {
	case p.member.State == Leaving || p.dead:
		return false
	case !p.asked.IsZero() && now.Sub(p.asked) > replyTimeout:
		return false
	}
	return !p.known || p.alive(now, r.patience())
}

// heartbeatReceivers returns the daemons that a heartbeat goes to in a large fleet: the
// own zone's aggregators, and without digests some others, which say who they
// are. Callers hold r.mu.
func (r *Roster) heartbeatReceivers(now time.Time) []net.Addr {
	all := r.aggregators(r.self.Zone, now)
	at := slices.Index(all, r.self.PeerAddr)
	on := at >= 0
	r.switchTo(on, now)
	r.agg.at, r.agg.of = max(at, 0), max(len(all), 1)
	blind := !on && now.Sub(r.agg.lastDigest) > replyTimeout
	n := aggregatorsPerZone
	if blind {
		n = fallbackReceivers
		all = r.firstOf(r.self.Zone, n, now)
	}
	var to []net.Addr
	for _, addr := range all {
		p := r.peers[addr]
		if p == nil {
			continue // this daemon
		}
		if p.asked.IsZero() {
			p.asked = now
		}
		to = append(to, p.addr)
	}
	for _, p := range r.peers {
		if !blind || len(to) >= n+randomReceivers {
			break
		}
		to = append(to, p.addr)
	}
	return to
}

// switchTo begins or ends to aggregate. What was received before is part of other
// aggregates from then on. Callers hold r.mu.
func (r *Roster) switchTo(on bool, now time.Time) {
	if r.agg.on == on {
		return
	}
	r.agg.on, r.agg.since = on, now
	r.agg.fleet, r.agg.zone = nil, nil
	for _, p := range r.peers {
		// An earlier aggregator may not have sent the last changes.
		p.repeat = changeRepeats
	}
	r.o.Book.RemovePeers()
	r.o.Demand.Forget()
	log.WithFields(log.Fields{"zone": r.self.Zone, "on": on, "daemons": 1 + len(r.peers)}).Info("roster: aggregates its zone")
}

// unanswered reports whether a daemon that was to aggregate says nothing, and nobody
// says that it lives. Callers hold r.mu.
func (r *Roster) unanswered(p *peer, now time.Time) bool {
	return !p.asked.IsZero() && now.Sub(p.asked) > replyTimeout && now.Sub(p.lastSeen) > replyTimeout
}

// maxUnresponsiveRatio is how many times as many daemons may become unresponsive together as
// still send something.
const maxUnresponsiveRatio = 3

// detectUnresponsive marks the daemons of the zone that sent this one heartbeats and
// send none any more. Callers hold r.mu.
//
// The guards are against a daemon that is cut off, or that the others no longer send
// heartbeats to: it would say that the zone's daemons are dead, also once it is back,
// and other zones, which learn of their last heartbeats later, would believe it. One
// that receives nothing finds nobody unresponsive, since heartbeats stop at slightly
// different times. Where nearly all become unresponsive at once they count as dead
// only once nobody reports them alive.
func (r *Roster) detectUnresponsive(now time.Time) {
	if now.Sub(r.agg.lastContact) > contactWithin {
		return
	}
	telling := 0
	var silent []*peer
	for _, p := range r.peers {
		switch {
		case p.member.Zone != r.self.Zone || !p.known:
		case !p.dead && r.unanswered(p, now):
			p.markUnresponsive("no answer")
		case now.Sub(r.agg.since) < settled || p.heartbeat.Before(r.agg.since):
		case now.Sub(p.heartbeat) < unresponsiveAfter:
			telling++
		case !p.dead && !p.unresponsive:
			silent = append(silent, p)
		}
	}
	if telling*maxUnresponsiveRatio < len(silent) && len(silent) > maxUnresponsiveRatio {
		return
	}
	for _, p := range silent {
		p.unresponsive = true
		p.markUnresponsive("no beat")
	}
}

// observeContact records a datagram of another daemon. After a time without any,
// this one was cut off, and the others' silence meanwhile was its own. Callers
// hold r.mu.
func (r *Roster) observeContact(now time.Time) {
	if now.Sub(r.agg.lastContact) > deadAfter {
		r.agg.since = now
		for _, p := range r.peers {
			p.repeat = changeRepeats
			if !p.asked.IsZero() {
				p.asked = now
			}
		}
	}
	r.agg.lastContact = now
}
