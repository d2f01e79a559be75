// Package targets holds the targets of a service in an order that is the same
// on all daemons, and selects a few of many targets without a scan of all of
// them.
package targets

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/port"
)

// List is a list of targets ordered by the engines.Hash of their IDs. It is
// read-only. A nil List is empty.
type List struct {
	entries []*port.TargetEntry
	hashes  []uint64
}

// Len returns the number of targets.
func (l *List) Len() int {
	if l == nil {
		return 0
	}
	return len(l.entries)
}

// All returns the targets, which must not be modified.
func (l *List) All() []*port.TargetEntry {
	if l == nil {
		return nil
	}
	return l.entries
}

// After returns the first n targets at or after a point on the hash ring. All
// daemons get the same targets for the same point, except for targets that are
// added or removed close to it.
func (l *List) After(point uint64, n int) []*port.TargetEntry {
	n = min(n, l.Len())
	if n <= 0 {
		return nil
	}
	at := sort.Search(len(l.hashes), func(i int) bool { return l.hashes[i] >= point })
	out := make([]*port.TargetEntry, 0, n)
	for i := range n {
		out = append(out, l.entries[(at+i)%len(l.entries)])
	}
	return out
}

// Lookup returns the target whose ID has the given hash, or nil if there is
// none.
func (l *List) Lookup(hash uint64) *port.TargetEntry {
	at, _ := l.find(hash, "")
	if at < l.Len() && l.hashes[at] == hash {
		return l.entries[at]
	}
	return nil
}

// find returns the index of the target with the given ID and hash, or the index
// at which it would be inserted.
func (l *List) find(hash uint64, id string) (at int, found bool) {
	at = sort.Search(l.Len(), func(i int) bool {
		return l.hashes[i] > hash || l.hashes[i] == hash && l.entries[i].ID >= id
	})
	return at, at < l.Len() && l.entries[at].ID == id
}

// apply returns the list after changes, which must be in the order of the list.
func (l *List) apply(changes []change) *List {
	next := &List{
		entries: make([]*port.TargetEntry, 0, l.Len()+len(changes)),
		hashes:  make([]uint64, 0, l.Len()+len(changes)),
	}
	done := 0
	for _, c := range changes {
		at, found := l.find(c.hash, c.id)
		next.appendRange(l, done, at)
		if c.entry != nil {
			next.entries, next.hashes = append(next.entries, c.entry), append(next.hashes, c.hash)
		}
		done = at
		if found {
			done++
		}
	}
	next.appendRange(l, done, l.Len())
	return next
}

// appendRange appends a range of another list.
func (l *List) appendRange(from *List, begin, end int) {
	if begin < end {
		l.entries, l.hashes = append(l.entries, from.entries[begin:end]...), append(l.hashes, from.hashes[begin:end]...)
	}
}

// change is the new entry of a target, or nil if the target is gone.
type change struct {
	id    string
	hash  uint64
	entry *port.TargetEntry
}

// group selects the targets of a role that aren't leaving, in one availability
// zone or, if zone is empty, in all of them.
type group struct {
	role port.Role
	zone string
}

// Set holds the targets of one service. It is read-only. A nil Set is empty.
type Set struct {
	all      *List
	groups   map[group]*List
	software map[string]int // number of targets by software version
}

// NewSet returns a Set of the given targets.
func NewSet(entries []port.TargetEntry) *Set {
	changes := make(map[string]*port.TargetEntry, len(entries))
	for i := range entries {
		changes[entries[i].ID] = &entries[i]
	}
	return (*Set)(nil).With(changes)
}

// All returns all targets, including those that are leaving.
func (s *Set) All() *List {
	if s == nil {
		return nil
	}
	return s.all
}

// ByRole returns the targets of a role that aren't leaving, in one availability
// zone or, if zone is empty, in all of them.
func (s *Set) ByRole(role port.Role, zone string) *List {
	if s == nil {
		return nil
	}
	return s.groups[group{role: role, zone: zone}]
}

// Software returns the software versions of the targets, including those that are
// leaving, in no order.
func (s *Set) Software() []string {
	if s == nil {
		return nil
	}
	return slices.Collect(maps.Keys(s.software))
}

// Mixed reports whether targets have several software versions.
func (s *Set) Mixed() bool { return s != nil && len(s.software) > 1 }

// VersionOf returns the software version of a target as streams may be bound to it.
// A target that states none, among others that do, has one of its own.
func (s *Set) VersionOf(e *port.TargetEntry) string {
	if e.Software == "" && s.Mixed() {
		return "unstated, " + e.ID
	}
	return e.Software
}

// With returns the Set after changes, which are entries by ID, or nil for a
// target that is gone.
func (s *Set) With(changes map[string]*port.TargetEntry) *Set {
	ordered := make([]change, 0, len(changes))
	for id, e := range changes {
		ordered = append(ordered, change{id: id, hash: engines.Hash(id), entry: e})
	}
	slices.SortFunc(ordered, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	old := s.All()
	next := &Set{all: old.apply(ordered), groups: make(map[group]*List), software: make(map[string]int)}
	if s != nil {
		maps.Copy(next.groups, s.groups)
		maps.Copy(next.software, s.software)
	}
	next.countSoftware(old, ordered)
	for key, list := range byGroup(old, ordered) {
		next.groups[key] = s.ByRole(key.role, key.zone).apply(list)
	}
	return next
}

// countSoftware updates the number of targets of each software version.
func (s *Set) countSoftware(old *List, changes []change) {
	for _, c := range changes {
		if at, found := old.find(c.hash, c.id); found {
			was := old.entries[at].Software
			if s.software[was]--; s.software[was] == 0 {
				delete(s.software, was)
			}
		}
		if c.entry != nil {
			s.software[c.entry.Software]++
		}
	}
}

// byGroup returns the changes of each group.
func byGroup(old *List, changes []change) map[group][]change {
	out := make(map[group][]change)
	for _, c := range changes {
		if at, found := old.find(c.hash, c.id); found {
			for _, key := range groupsOf(old.entries[at]) {
				out[key] = append(out[key], change{id: c.id, hash: c.hash})
			}
		}
		if c.entry == nil {
			continue
		}
		for _, key := range groupsOf(c.entry) {
			list := out[key]
			if n := len(list); n > 0 && list[n-1].id == c.id {
				list[n-1].entry = c.entry
				continue
			}
			out[key] = append(list, c)
		}
	}
	return out
}

// groupsOf returns the groups that a target belongs to.
func groupsOf(e *port.TargetEntry) []group {
	switch {
	case e.Leaving:
		return nil
	case e.Zone == "":
		return []group{{role: e.Role}}
	}
	return []group{{role: e.Role}, {role: e.Role, zone: e.Zone}}
}
