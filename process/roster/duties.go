package roster

import (
	"cmp"
	"net"
	"slices"
	"time"

	"github.com/apex/log"
)

// MayLead reports whether this daemon takes the duties that one of them has:
// whether it is the first of Leaders. Two may think so for a while; claims keep
// them apart.
func (r *Roster) MayLead() bool {
	if !r.Ready() || r.o.StoreAway() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader(time.Now()) == r.self.PeerAddr
}

// leader returns the peer address of the daemon that is the first of those that may
// lead, empty if none may. Callers hold r.mu.
func (r *Roster) leader(now time.Time) string {
	var first *Member
	if mayLead(&r.self) {
		first = &r.self
	}
	for _, p := range r.peers {
		if mayLead(&p.member) && (first == nil || widestFirst(&p.member, first) < 0) && r.isAlive(p, now) {
			first = &p.member
		}
	}
	if first == nil {
		return ""
	}
	return first.PeerAddr
}

func mayLead(m *Member) bool { return m.State == Ready && !m.StoreAway }

// widestFirst orders daemons by their links, then by name: the first ones aggregate
// their zone, and the first one leads.
func widestFirst(a, b *Member) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.VM, b.VM))
}

// Leaders returns the first n daemons that may lead, the one that does first:
// of those that take requests and can read the store the ones with the widest
// links, then by name.
func (r *Roster) Leaders(n int) []Member {
	fit := slices.DeleteFunc(r.Members(), func(m Member) bool { return !mayLead(&m) })
	slices.SortFunc(fit, func(a, b Member) int { return widestFirst(&a, &b) })
	return fit[:min(len(fit), n)]
}

// SendUsage sends a report of usage to a daemon's peer address. It may be lost.
func (r *Roster) SendUsage(data []byte, to string) {
	addr, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		log.WithError(err).WithField("addr", to).Warn("roster: address can't be read")
		return
	}
	r.write(append([]byte{kindUsage}, data...), addr)
}

// FleetClock estimates the time of day from the clocks of all daemons.
type FleetClock interface {
	Wall() time.Time // of this VM
	Now() time.Time  // the estimate
	Observe(sender string, wall time.Time)
}

// observeClock takes a sender's time of day in microseconds; 0: not stated.
func (r *Roster) observeClock(sender string, micros int64) {
	if r.o.Clock != nil && micros != 0 {
		r.o.Clock.Observe(sender, time.UnixMicro(micros))
	}
}

// ownClock is this VM's time of day in microseconds, 0 if it isn't observed.
func (r *Roster) ownClock() int64 {
	if r.o.Clock == nil {
		return 0
	}
	return r.o.Clock.Wall().UnixMicro()
}

// fleetClock is the same for the estimate.
func (r *Roster) fleetClock() int64 {
	if r.o.Clock == nil {
		return 0
	}
	return r.o.Clock.Now().UnixMicro()
}
