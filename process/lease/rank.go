package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a live daemon that may hold leases.
type Candidate struct {
	ID   string // VM id
	Zone string // availability zone
}

// MaxCandidates is how many daemons stand ready to claim one group. More would
// only lengthen the wait of the last.
const MaxCandidates = 5

// Rank returns the place of self among the candidates for a group: daemons of
// the group's availability zone first, then by a hash, so that groups spread
// evenly and few move when a daemon comes or goes. It gives false beyond
// MaxCandidates.
func Rank(group, zone, self string, live []Candidate) (int, bool) {
	me := slices.IndexFunc(live, func(c Candidate) bool { return c.ID == self })
	if me < 0 {
		return 0, false
	}
	rank := 0
	for _, c := range live {
		if before(group, zone, c, live[me]) {
			rank++
		}
	}
	return rank, rank < MaxCandidates
}

// before reports whether a precedes b among the candidates for the group.
func before(group, zone string, a, b Candidate) bool {
	if (a.Zone == zone) != (b.Zone == zone) {
		return a.Zone == zone
	}
	ha, hb := weight(group, a.ID), weight(group, b.ID)
	if ha != hb {
		return ha < hb
	}
	return a.ID < b.ID
}

func weight(group, id string) uint64 { return xxhash.Sum64String(group + "|" + id) }
