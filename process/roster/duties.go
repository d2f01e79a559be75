package roster

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/apex/log"
)

// MayLead reports whether this daemon performs the duties of which one daemon of the fleet
// is in charge, that is, whether it is the first of Leaders. Two daemons may be leaders
// for a while; claims prevent that they conflict.
func (r *Roster) MayLead() bool {
	if !r.Ready() || r.o.StoreUnavailable() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader(time.Now()) == r.self.PeerAddr
}

// leader returns the peer address of the leader, or an empty string if no daemon may lead.
// Callers hold r.mu.
func (r *Roster) leader(now time.Time) string {
	self := r.reportedSelf()
	var first *Member
	if canLead(&self) {
		first = &self
	}
	for _, p := range r.peers {
		if canLead(&p.member) && (first == nil || leadsBefore(&p.member, first) < 0) && r.isAlive(p, now) {
			first = &p.member
		}
	}
	if first == nil {
		return ""
	}
	return first.PeerAddr
}

// canLead reports whether a daemon takes requests and can read the store.
func canLead(m *Member) bool { return m.serving() && !m.StoreFails }

// leadsBefore orders daemons that can lead: those without links come last, since their
// orders wouldn't arrive.
func leadsBefore(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.State, b.State), widestFirst(a, b))
}

// widestFirst orders daemons by descending link bandwidth, then by VM name. The first ones
// of a zone aggregate, and the first one of the fleet leads.
func widestFirst(a, b *Member) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.VM, b.VM))
}

// Leaders returns the first n daemons that may lead, starting with the leader. Daemons
// that take requests and can read the store may lead, in the order of descending link
// bandwidth, then of VM names.
func (r *Roster) Leaders(n int) []Member {
	fit := slices.DeleteFunc(r.Members(), func(m Member) bool { return !canLead(&m) })
	slices.SortFunc(fit, func(a, b Member) int { return leadsBefore(&a, &b) })
	return fit[:min(len(fit), n)]
}

// SendUsage sends a usage report to a daemon's peer address. Delivery isn't guaranteed.
func (r *Roster) SendUsage(data []byte, to string) {
	addr, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		log.WithError(err).WithField("addr", to).Warn("roster: can't resolve peer address")
		return
	}
	r.write(append([]byte{kindUsage}, data...), addr)
}

// FleetClock estimates the time of day from the clocks of all daemons.
type FleetClock interface {
	Wall() time.Time // clock of this VM
	Now() time.Time  // estimate
	Observe(sender string, wall time.Time)
}

// observeClock records a sender's clock reading in microseconds since 1970; 0 means that
// none was sent.
func (r *Roster) observeClock(sender string, micros int64) {
	if r.o.Clock != nil && micros != 0 {
		r.o.Clock.Observe(sender, time.UnixMicro(micros))
	}
}

// ownClock returns this VM's clock reading in microseconds since 1970, or 0 without a
// FleetClock.
func (r *Roster) ownClock() int64 {
	if r.o.Clock == nil {
		return 0
	}
	return r.o.Clock.Wall().UnixMicro()
}

// fleetClock returns the estimated time in microseconds since 1970, or 0 without a
// FleetClock.
func (r *Roster) fleetClock() int64 {
	if r.o.Clock == nil {
		return 0
	}
	return r.o.Clock.Now().UnixMicro()
}
