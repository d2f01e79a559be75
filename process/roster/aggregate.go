package roster

import (
	"cmp"
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
	// summing is the number of daemons of an availability zone that sum up what
	// the zone's daemons tell: with one dead the other goes on. Both tell all.
	summing = 2
	// digestEvery is the time between two digests of one of them.
	digestEvery = 500 * time.Millisecond
	// changeAfter is how long a daemon's change of state waits for others.
	changeAfter = 50 * time.Millisecond
	// answerWithin is the silence after which one that is told beats counts as
	// one that doesn't sum up: three digests.
	answerWithin = 3 * digestEvery
	// silentAfter is the silence after which one that sums up finds a daemon
	// silent: six beats.
	silentAfter = 6 * beatEvery
	// staleAfter is the time after which nothing arrives any more that says a
	// daemon lives that was silent before.
	staleAfter = silentAfter + passedAlive
	// settled is how long a daemon must sum up before it finds others silent:
	// they have to notice that it does.
	settled = answerWithin + 2*beatEvery
	// tellings is the number of digests that tell a change, so that lost
	// datagrams hardly hide it.
	tellings = 3
	// sumsHeard is how long a daemon that sent another zone's digest gets this
	// one's: it sums up, whatever this one believes of its zone.
	sumsHeard = answerWithin
	// widerAsked is the number of the zone's daemons that one without digests
	// tells beats, so that of a herd that died all are found silent at once and
	// not two after two. Those that live say who sums up.
	widerAsked = 16
	// randomAsked is the number of any daemons that it tells beats, too, for
	// what it doesn't know.
	randomAsked = 2
	// passedAlive is the age up to which others' word that a daemon lives is
	// passed on.
	passedAlive = 3 * digestEvery
)

// What fits into one datagram: an entry of work takes 20 bytes, a row 85, a
// read of three parts 50, a token 5.
const (
	workPerDatagram  = 56
	rowsPerDatagram  = 12
	readsPerDatagram = 22
	aliveInHead      = 240
)

// maxPassed bounds the reads that wait to be passed on, those of one digest.
const maxPassed = 2 * readsPerDatagram

// aggregation is the state of summing up, over what Roster.mu guards.
//
// The load that it answers: with all daemons telling all, 295 of them send
// 65,000 datagrams a second and take 220 each, and a daemon's death shows after
// 9 s. Summed up, each takes some 40, of whatever number of daemons.
type aggregation struct {
	on      bool
	since   time.Time         // on, or off, since then
	heard   time.Time         // the last digest of all daemons
	any     time.Time         // the last datagram of any daemon
	rotate  int               // number of digests sent
	fleet   []engines.Read    // reads to be passed on to the zone's daemons
	zone    []engines.Read    // and to those that sum up other zones
	parts   map[string]uint32 // of the last digest, by its zone
	changed chan struct{}
}

// wake has changes told soon.
func (a *aggregation) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// aggregate sends digests while this daemon is one of those that sum up.
func (r *Roster) aggregate() error {
	ctx := r.tomb.Context(context.Background())
	tick := time.NewTimer(digestEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
			r.round(true)
			tick.Reset(digestEvery + rand.N(digestEvery/10))
			continue
		case <-r.agg.changed:
		}
		if pause.For(ctx, changeAfter) != nil {
			return nil
		}
		r.round(false)
	}
}

// summers returns the addresses of the daemons that sum up a zone, as far as
// this one knows: the first ones by name. Callers hold r.mu.
func (r *Roster) summers(zone string, now time.Time) []string {
	return r.firstOf(zone, summing, now)
}

// firstOf returns the first daemons of a zone by name that may sum up. Callers
// hold r.mu.
func (r *Roster) firstOf(zone string, n int, now time.Time) []string {
	var found []*Member
	for _, p := range r.peers {
		if p.member.Zone == zone && r.maySum(p, now) {
			found = append(found, &p.member)
		}
	}
	if zone == r.self.Zone && r.self.State != Leaving {
		found = append(found, &r.self)
	}
	slices.SortFunc(found, func(a, b *Member) int { return cmp.Compare(a.VM, b.VM) })
	var out []string
	for _, m := range found[:min(len(found), n)] {
		out = append(out, m.PeerAddr)
	}
	return out
}

// maySum tells whether a daemon may be one of those that sum up. One that is
// only listed in the store may, until it doesn't answer.
func (r *Roster) maySum(p *peer, now time.Time) bool {
	switch {
	case p.member.State == Leaving || p.gone:
		return false
	case !p.asked.IsZero() && now.Sub(p.asked) > answerWithin:
		return false
	}
	return !p.known || p.alive(now, r.patience(p))
}

// asked returns the daemons that a beat goes to in a large fleet: those that
// sum up the own zone, and without digests some others, which say who does.
// Callers hold r.mu.
func (r *Roster) asked(now time.Time) []net.Addr {
	on := slices.Contains(r.summers(r.self.Zone, now), r.self.PeerAddr)
	r.switchTo(on, now)
	blind := !on && now.Sub(r.agg.heard) > answerWithin
	n := summing
	if blind {
		n = widerAsked
	}
	var to []net.Addr
	for _, addr := range r.firstOf(r.self.Zone, n, now) {
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
		if !blind || len(to) >= n+randomAsked {
			break
		}
		to = append(to, p.addr)
	}
	return to
}

// switchTo begins or ends to sum up. What was heard before is part of other
// sums from then on. Callers hold r.mu.
func (r *Roster) switchTo(on bool, now time.Time) {
	if r.agg.on == on {
		return
	}
	r.agg.on, r.agg.since = on, now
	r.agg.fleet, r.agg.zone = nil, nil
	for _, p := range r.peers {
		// Who summed up before may not have told what changed last.
		p.repeat = tellings
	}
	r.o.Book.Forget()
	r.o.Demand.Forget()
	log.WithFields(log.Fields{"zone": r.self.Zone, "on": on, "daemons": 1 + len(r.peers)}).Info("roster: summing up")
}

// pass notes reads that are news, to be told to the zone's daemons and, if
// they are from here, to other zones.
func (r *Roster) pass(reads []engines.Read, here bool) {
	if len(reads) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.agg.on {
		return
	}
	for _, one := range reads {
		if len(r.agg.fleet) < maxPassed {
			r.agg.fleet = append(r.agg.fleet, one.Shared())
		}
		if here && len(r.agg.zone) < maxPassed {
			r.agg.zone = append(r.agg.zone, one.Shared())
		}
	}
}

// receiver is a daemon that gets a digest, and its newest beat in the sums.
type receiver struct {
	addr net.Addr
	seen uint64
}

// rounds is what one round sends.
type rounds struct {
	members, others []receiver
	toMembers       digest // of all daemons
	toOthers        digest // of the zone
	memberRows      []row
	otherRows       []row
	local           map[string]bool // peer addresses of the zone's daemons
}

// round sends digests if this daemon sums up: all, or only changes of daemons.
func (r *Roster) round(whole bool) {
	now := time.Now()
	r.mu.Lock()
	if !r.agg.on || len(r.peers) <= smallFleet {
		r.mu.Unlock()
		return
	}
	r.findSilent(now)
	s := r.collect(now, whole)
	r.mu.Unlock()
	if whole {
		r.sums(s)
	}
	r.sendTo(s.members, s.toMembers, s.memberRows, whole)
	r.sendTo(s.others, s.toOthers, s.otherRows, whole)
}

// unanswered tells whether a daemon that was to sum up says nothing, and nobody
// says that it lives. Callers hold r.mu.
func (r *Roster) unanswered(p *peer, now time.Time) bool {
	return !p.asked.IsZero() && now.Sub(p.asked) > answerWithin && now.Sub(p.heard) > answerWithin && now.Sub(r.agg.any) < deadAfter
}

// mostSilent is how many times as many daemons may fall silent together as
// still tell something.
const mostSilent = 3

// findSilent notes the daemons of the zone that told this one something and
// tell nothing any more. Callers hold r.mu.
//
// The guard is against a daemon that is cut off, or that the others no longer
// tell: it would say that the whole zone is dead. Where nearly all fall silent
// at once they count as dead only once nobody tells of them.
func (r *Roster) findSilent(now time.Time) {
	telling := 0
	var silent []*peer
	for _, p := range r.peers {
		switch {
		case p.member.Zone != r.self.Zone || !p.known:
		case !p.gone && r.unanswered(p, now):
			p.silent("no answer")
		case now.Sub(r.agg.since) < settled || p.beat.Before(r.agg.since):
		case now.Sub(p.beat) < silentAfter:
			telling++
		case !p.gone && !p.lost:
			silent = append(silent, p)
		}
	}
	if telling*mostSilent < len(silent) && len(silent) > mostSilent {
		return
	}
	for _, p := range silent {
		p.lost = true
		p.silent("no beat")
	}
}

// collect puts together whom this round goes to and what it says of daemons.
// Callers hold r.mu.
func (r *Roster) collect(now time.Time, whole bool) *rounds {
	s := &rounds{
		toMembers: digest{From: r.self.PeerAddr},
		toOthers:  digest{From: r.self.PeerAddr, Zone: r.self.Zone},
		local:     make(map[string]bool),
	}
	if whole {
		r.agg.rotate++
		s.toMembers.Reads, r.agg.fleet = retold(r.agg.fleet, now), nil
		s.toOthers.Reads, r.agg.zone = retold(r.agg.zone, now), nil
	}
	zones := make(map[string]net.Addr) // any daemon of a zone, to find it again after a cut
	own := row{Member: r.self, Seq: r.seq}
	s.memberRows, s.otherRows = append(s.memberRows, own), append(s.otherRows, own)
	for addr, p := range r.peers {
		near := p.member.Zone == r.self.Zone
		r.tellOf(s, p, near, now, whole)
		switch {
		case near:
			s.local[addr] = true
			s.members = append(s.members, receiver{addr: p.addr, seen: p.beatSeq})
		case now.Sub(p.sums) < sumsHeard:
			s.others = append(s.others, receiver{addr: p.addr})
		case p.member.Zone != "":
			zones[p.member.Zone] = p.addr
		}
	}
	for zone, any := range zones {
		summers := r.summers(zone, now)
		if len(summers) == 0 {
			s.others = append(s.others, receiver{addr: any})
		}
		for _, addr := range summers {
			if p := r.peers[addr]; now.Sub(p.sums) >= sumsHeard {
				s.others = append(s.others, receiver{addr: p.addr})
			}
		}
	}
	return s
}

// retold are reads as they are told at that time.
func retold(reads []engines.Read, now time.Time) []engines.Read {
	for i := range reads {
		reads[i] = reads[i].At(now)
	}
	return reads
}

// hears notes that another daemon is heard. After a time in which none was,
// this one was cut off, and the others' silence meanwhile was its own. Callers
// hold r.mu.
func (r *Roster) hears(now time.Time) {
	if now.Sub(r.agg.any) > deadAfter {
		r.agg.since = now
		for _, p := range r.peers {
			p.repeat = tellings
			if !p.asked.IsZero() {
				p.asked = now
			}
		}
	}
	r.agg.any = now
}

// tellOf adds what is to be told of one daemon. Callers hold r.mu.
func (r *Roster) tellOf(s *rounds, p *peer, near bool, now time.Time, whole bool) {
	if !p.known {
		return
	}
	token := p.member.token()
	turn := whole && int(token%rowRounds) == r.agg.rotate%rowRounds
	if p.repeat > 0 || turn && !p.gone {
		one := row{Member: p.member, Seq: p.seq, Gone: p.gone}
		s.memberRows = append(s.memberRows, one)
		if near {
			s.otherRows = append(s.otherRows, one)
		}
		p.repeat = max(p.repeat-1, 0)
	}
	if !whole || p.gone {
		return
	}
	since, limit := p.heard, passedAlive
	if near {
		since, limit = p.beat, silentAfter
	}
	if now.Sub(since) > limit {
		return
	}
	s.toMembers.Alive = append(s.toMembers.Alive, token)
	if near {
		s.toOthers.Alive = append(s.toOthers.Alive, token)
	}
}

// rowRounds is the number of digests over which all rows are told again, for
// those who missed a change: 10 s.
const rowRounds = 20

// sums fills in what engines have to do and what callers ask.
func (r *Roster) sums(s *rounds) {
	local := func(name string) bool { return s.local[name] }
	all := func(string) bool { return true }
	s.toMembers.Work, s.toOthers.Work = r.o.Book.Sum(), r.o.Book.SumOf(local)
	s.toMembers.Demand, s.toOthers.Demand = r.o.Demand.SumOf(all), r.o.Demand.SumOf(local)
	claims, speeds := r.o.Claims.Told(), r.o.Speeds.Best()
	s.toMembers.Claims, s.toOthers.Claims = claims, claims
	s.toMembers.Speeds, s.toOthers.Speeds = speeds, speeds
}

// sendTo sends a digest, cut into datagrams.
func (r *Roster) sendTo(to []receiver, d digest, rows []row, whole bool) {
	if len(to) == 0 {
		return
	}
	for _, one := range cut(d, rows, whole, r.o.Book.Known()) {
		data, err := one.encode()
		if err != nil {
			log.WithError(err).Error("roster: digest can't be encoded")
			return
		}
		for _, t := range to {
			head(data, t.seen)
			r.write(data, t.addr)
		}
	}
}

// cut makes datagrams of a digest. Engines are shared out to a number of parts
// that follows from how many are known, so that each part is told whole.
func cut(d digest, rows []row, whole bool, known int) []digest {
	var out []digest
	one := func() digest { return digest{From: d.From, Zone: d.Zone} }
	for chunk := range slices.Chunk(rows, rowsPerDatagram) {
		c := one()
		c.Rows = chunk
		out = append(out, c)
	}
	if !whole {
		return out
	}
	for chunk := range slices.Chunk(d.Alive, aliveInHead) {
		c := one()
		c.Alive = chunk
		out = append(out, c)
	}
	for chunk := range slices.Chunk(d.Reads, readsPerDatagram) {
		c := one()
		c.Reads = chunk
		out = append(out, c)
	}
	parts := uint32(max((known+workPerDatagram-1)/workPerDatagram, 1))
	for part := range parts {
		c := one()
		c.Sums, c.Part, c.Parts = true, part, parts
		for _, w := range d.Work {
			if uint32(w.Target%uint64(parts)) == part {
				c.Work = append(c.Work, w)
			}
		}
		if part == 0 {
			c.Claims, c.Speeds, c.Asked, c.Demand = d.Claims, d.Speeds, true, d.Demand
		}
		out = append(out, c)
	}
	return out
}

// welcome tells a daemon that has just started of all others.
func (r *Roster) welcome(to net.Addr) {
	r.mu.Lock()
	var rows []row
	now := time.Now()
	for _, p := range r.peers {
		if p.alive(now, r.patience(p)) {
			rows = append(rows, row{Member: p.member, Seq: p.seq})
		}
	}
	d := digest{From: r.self.PeerAddr}
	r.mu.Unlock()
	r.sendTo([]receiver{{addr: to}}, d, rows, false)
}

// redirect tells a daemon who sums up its zone.
func (r *Roster) redirect(zone string, to net.Addr) {
	now := time.Now()
	r.mu.Lock()
	var rows []row
	for _, addr := range r.summers(zone, now) {
		if p := r.peers[addr]; p != nil && p.known {
			rows = append(rows, row{Member: p.member, Seq: p.seq})
		}
	}
	d := digest{From: r.self.PeerAddr, Zone: r.self.Zone}
	r.mu.Unlock()
	r.sendTo([]receiver{{addr: to}}, d, rows, false)
}
