package membership

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// tableEntry is the state of one member.
type tableEntry struct {
	member  *peerpb.Member
	since   time.Duration // start of the current state, on the local clock
	listed  bool          // contained in the VM list
	leaving bool          // marked as leaving in the VM list

	confirming bool // whether the last check before it is marked dead is running
}

// known reports whether anything was ever received about the member.
func (e *tableEntry) known() bool { return e.member.StartedMs != 0 }

// isResponsive reports whether the member is expected to respond.
func (e *tableEntry) isResponsive() bool { return e.known() && e.member.State != peerpb.Member_DEAD }

// table holds the members by VM id. It is owned by one goroutine. Its methods take the
// time as a parameter, so that tests can use a virtual clock. A *peerpb.Member in members
// is never modified, because messages in transmission share it. self is modified and
// therefore copied wherever it is passed on.
type table struct {
	self     *peerpb.Member
	members  map[string]*tableEntry // excludes self
	updates  *updateQueue
	timeouts timeouts
}

// timeouts are the timeouts of failure detection.
type timeouts struct {
	suspicion time.Duration // from suspect to dead
	tombstone time.Duration // how long a dead member is kept
}

func newTable(self *peerpb.Member, l timeouts) *table {
	return &table{self: self, members: make(map[string]*tableEntry), updates: newUpdateQueue(), timeouts: l}
}

// supersedes reports whether update a replaces b about the same VM. A later start wins,
// then a higher beat, then the more severe state.
func supersedes(a, b *peerpb.Member) bool {
	if a.StartedMs != b.StartedMs {
		return a.StartedMs > b.StartedMs
	}
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return severity(a.State) > severity(b.State)
}

// severity orders the states that a member may have at the same beat.
func severity(s peerpb.Member_State) int {
	switch s {
	case peerpb.Member_LIVE:
		return 0
	case peerpb.Member_LEAVING:
		return 1
	case peerpb.Member_SUSPECT:
		return 2
	default:
		return 3
	}
}

// merge merges one update and reports whether it was new.
func (t *table) merge(now time.Duration, m *peerpb.Member) bool {
	if m.GetId() == "" {
		return false
	}
	if m.Id == t.self.Id {
		return t.refute(m)
	}
	if !t.replaceIfNewer(now, m) {
		return false
	}
	t.updates.add(m)
	return true
}

// replaceIfNewer replaces the state of a member if m is newer.
func (t *table) replaceIfNewer(now time.Duration, m *peerpb.Member) bool {
	e, ok := t.members[m.Id]
	if !ok {
		t.members[m.Id] = &tableEntry{member: m, since: now}
		return true
	}
	if !supersedes(m, e.member) {
		t.updateApplied(e, m)
		return false
	}
	e.member = m
	e.since = now
	return true
}

// mergeFull merges a peer's answer with all members and reports whether it contained
// anything new. The members are not queued as updates: all processes request such answers,
// and hundreds of old updates would delay the few that matter.
func (t *table) mergeFull(now time.Duration, all []*peerpb.Member) bool {
	changed := false
	for _, m := range all {
		if m.GetId() == t.self.Id {
			t.refute(m)
			continue
		}
		changed = t.replaceIfNewer(now, m) || changed
	}
	return changed
}

// updateApplied keeps the highest offset that the same incarnation has reported.
func (t *table) updateApplied(e *tableEntry, m *peerpb.Member) {
	if m.Incarnation != e.member.Incarnation || m.Applied <= e.member.Applied {
		return
	}
	next := cloneMember(e.member)
	next.Applied = m.Applied
	e.member = next
}

// refute overrides updates that report this process as suspect or dead by raising its
// beat. Otherwise a process that was briefly paused or isolated would stay dead in the
// others' tables forever.
func (t *table) refute(m *peerpb.Member) bool {
	if m.Incarnation != t.self.Incarnation || severity(m.State) < severity(peerpb.Member_SUSPECT) {
		return false
	}
	if m.Beat < t.self.Beat {
		return false
	}
	t.self.Beat = m.Beat + 1
	t.updates.add(t.self)
	return true
}

// recordContact merges what a member reports directly about itself. Direct contact ends a
// suspicion in this table. Other processes check the member themselves before they mark it
// dead.
func (t *table) recordContact(now time.Duration, m *peerpb.Member) {
	t.merge(now, m)
	e := t.members[m.Id]
	if e == nil || e.member.Incarnation != m.Incarnation {
		return
	}
	t.updateApplied(e, m)
	t.clearSuspicion(now, e, m.Beat)
}

// clearSuspicion ends a suspicion of the given beat, in this table only.
func (t *table) clearSuspicion(now time.Duration, e *tableEntry, beat uint64) {
	if e.member.State != peerpb.Member_SUSPECT || e.member.Beat != beat {
		return
	}
	m := cloneMember(e.member)
	m.State = peerpb.Member_LIVE
	e.member = m
	e.since = now
}

// markSuspect marks a member that could be reached neither directly nor through relays.
func (t *table) markSuspect(now time.Duration, id string) {
	e := t.members[id]
	if e == nil || severity(e.member.State) >= severity(peerpb.Member_SUSPECT) {
		return
	}
	t.setState(now, e, peerpb.Member_SUSPECT)
}

// setState sets the state of a member and queues the update.
func (t *table) setState(now time.Duration, e *tableEntry, s peerpb.Member_State) {
	m := cloneMember(e.member)
	m.State = s
	e.member = m
	e.since = now
	t.updates.add(m)
}

// tick returns the members whose suspicion has timed out and needs a last check, and
// removes expired tombstones.
func (t *table) tick(now time.Duration) []*tableEntry {
	var due []*tableEntry
	for id, e := range t.members {
		age := now - e.since
		switch {
		case !e.known():
			if !e.listed {
				delete(t.members, id)
			}
		case e.member.State == peerpb.Member_SUSPECT && age >= t.timeouts.suspicion:
			if !e.confirming {
				due = append(due, e)
			}
		case e.member.State == peerpb.Member_DEAD && !e.listed && age >= t.timeouts.tombstone:
			delete(t.members, id)
		}
	}
	return due
}

// digest returns a hash over the known state of all members, self included. Tables with
// the same digest have the same content, so a full answer would add nothing.
func (t *table) digest() uint64 {
	sum := memberHash(t.self)
	for _, e := range t.members {
		if e.known() {
			sum ^= memberHash(e.member)
		}
	}
	return sum
}

// memberHash covers the fields that decide which of two updates is newer.
func memberHash(m *peerpb.Member) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%d/%d", m.Id, m.StartedMs, m.Beat, m.State))
}

// all returns every other known member.
func (t *table) all() []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(t.members))
	for _, e := range t.members {
		if e.known() {
			out = append(out, e.member)
		}
	}
	return out
}

// leave marks this process as leaving, with a beat that overrides LIVE.
func (t *table) leave() {
	t.self.State = peerpb.Member_LEAVING
	t.self.Beat++
	t.updates.add(t.self)
}

func cloneMember(m *peerpb.Member) *peerpb.Member {
	return &peerpb.Member{
		Id: m.Id, Incarnation: m.Incarnation, StartedMs: m.StartedMs,
		PeerAddr: m.PeerAddr, CallerAddr: m.CallerAddr, Zone: m.Zone,
		Beat: m.Beat, State: m.State, Applied: m.Applied,
	}
}
