package membership

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// entry is what the table knows of one member.
type entry struct {
	m       *peerpb.Member
	since   time.Duration // when the present state began, on the local clock
	listed  bool          // stands in the VM list
	leaving bool          // the VM list says that it leaves

	confirming bool // a last check before death is under way
}

// known reports whether the member was ever heard of.
func (e *entry) known() bool { return e.m.StartedMs != 0 }

// talks reports whether the member is expected to answer.
func (e *entry) talks() bool { return e.known() && e.m.State != peerpb.Member_DEAD }

// table holds the members by VM id. It is owned by one goroutine; every
// method takes the time, so that tests drive it with a virtual clock. A
// *peerpb.Member in it is never changed in place, since messages that are
// being sent share it; self is, and so is copied wherever it leaves.
type table struct {
	self    *peerpb.Member
	members map[string]*entry // without self
	news    *newsQueue
	limits  limits
}

// limits are the times of failure detection.
type limits struct {
	suspicion time.Duration // from suspect until dead
	tombstone time.Duration // how long a dead member is remembered
}

func newTable(self *peerpb.Member, l limits) *table {
	return &table{self: self, members: make(map[string]*entry), news: newNewsQueue(), limits: l}
}

// supersedes reports whether update a replaces b about the same VM: a later start
// first, then a higher beat, then the worse state.
func supersedes(a, b *peerpb.Member) bool {
	if a.StartedMs != b.StartedMs {
		return a.StartedMs > b.StartedMs
	}
	if a.Beat != b.Beat {
		return a.Beat > b.Beat
	}
	return severity(a.State) > severity(b.State)
}

// severity orders the states that one beat may have.
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

// merge takes one update in and reports whether it was new.
func (t *table) merge(now time.Duration, m *peerpb.Member) bool {
	if m.GetId() == "" {
		return false
	}
	if m.Id == t.self.Id {
		return t.refute(m)
	}
	if !t.take(now, m) {
		return false
	}
	t.news.add(m)
	return true
}

// take replaces what is held of a member if m is newer.
func (t *table) take(now time.Duration, m *peerpb.Member) bool {
	e, ok := t.members[m.Id]
	if !ok {
		t.members[m.Id] = &entry{m: m, since: now}
		return true
	}
	if !supersedes(m, e.m) {
		t.noteApplied(e, m)
		return false
	}
	e.m = m
	e.since = now
	return true
}

// takeFull takes a peer's answer with all members in and reports whether it
// brought anything new. It isn't spread further as news: everyone asks for
// such answers, and hundreds of old news would hold up the few that matter.
func (t *table) takeFull(now time.Duration, all []*peerpb.Member) bool {
	grew := false
	for _, m := range all {
		if m.GetId() == t.self.Id {
			t.refute(m)
			continue
		}
		grew = t.take(now, m) || grew
	}
	return grew
}

// noteApplied keeps the newest offset that the same incarnation reported.
func (t *table) noteApplied(e *entry, m *peerpb.Member) {
	if m.Incarnation != e.m.Incarnation || m.Applied <= e.m.Applied {
		return
	}
	next := cloneMember(e.m)
	next.Applied = m.Applied
	e.m = next
}

// refute answers news that call this process suspect or dead. Without it a
// process that was paused or cut off for a moment would stay dead in the
// others' tables for good; the higher beat overrides every older statement.
func (t *table) refute(m *peerpb.Member) bool {
	if m.Incarnation != t.self.Incarnation || severity(m.State) < severity(peerpb.Member_SUSPECT) {
		return false
	}
	if m.Beat < t.self.Beat {
		return false
	}
	t.self.Beat = m.Beat + 1
	t.news.add(t.self)
	return true
}

// heard notes a direct answer or probe from a member. The member speaks for
// itself, so a suspicion held here ends; what others hold they check themselves
// before they call it dead.
func (t *table) heard(now time.Duration, m *peerpb.Member) {
	t.merge(now, m)
	e := t.members[m.Id]
	if e == nil || e.m.Incarnation != m.Incarnation {
		return
	}
	t.noteApplied(e, m)
	t.acquit(now, e, m.Beat)
}

// acquit ends a suspicion of the given beat, in this table only.
func (t *table) acquit(now time.Duration, e *entry, beat uint64) {
	if e.m.State != peerpb.Member_SUSPECT || e.m.Beat != beat {
		return
	}
	m := cloneMember(e.m)
	m.State = peerpb.Member_LIVE
	e.m = m
	e.since = now
}

// suspect marks a member that answered neither directly nor through others.
func (t *table) suspect(now time.Duration, id string) {
	e := t.members[id]
	if e == nil || severity(e.m.State) >= severity(peerpb.Member_SUSPECT) {
		return
	}
	t.setState(now, e, peerpb.Member_SUSPECT)
}

func (t *table) setState(now time.Duration, e *entry, s peerpb.Member_State) {
	m := cloneMember(e.m)
	m.State = s
	e.m = m
	e.since = now
	t.news.add(m)
}

// tick returns the members whose suspicion is old enough for a last check,
// and forgets old tombstones.
func (t *table) tick(now time.Duration) []*entry {
	var due []*entry
	for id, e := range t.members {
		age := now - e.since
		switch {
		case !e.known():
			if !e.listed {
				delete(t.members, id)
			}
		case e.m.State == peerpb.Member_SUSPECT && age >= t.limits.suspicion:
			if !e.confirming {
				due = append(due, e)
			}
		case e.m.State == peerpb.Member_DEAD && !e.listed && age >= t.limits.tombstone:
			delete(t.members, id)
		}
	}
	return due
}

// digest sums up what is known of all members, self included. Two tables with
// the same digest hold the same, so a full answer would bring nothing.
func (t *table) digest() uint64 {
	sum := memberHash(t.self)
	for _, e := range t.members {
		if e.known() {
			sum ^= memberHash(e.m)
		}
	}
	return sum
}

// memberHash covers what decides which of two statements is newer.
func memberHash(m *peerpb.Member) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d/%d/%d", m.Id, m.StartedMs, m.Beat, m.State))
}

// all returns every member that has been heard of.
func (t *table) all() []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(t.members))
	for _, e := range t.members {
		if e.known() {
			out = append(out, e.m)
		}
	}
	return out
}

// leave marks this process as leaving, with a beat that overrides LIVE.
func (t *table) leave() {
	t.self.State = peerpb.Member_LEAVING
	t.self.Beat++
	t.news.add(t.self)
}

func cloneMember(m *peerpb.Member) *peerpb.Member {
	return &peerpb.Member{
		Id: m.Id, Incarnation: m.Incarnation, StartedMs: m.StartedMs,
		PeerAddr: m.PeerAddr, CallerAddr: m.CallerAddr, Zone: m.Zone,
		Beat: m.Beat, State: m.State, Applied: m.Applied,
	}
}
