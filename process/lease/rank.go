package lease

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a live daemon that can hold leases.
type Candidate struct {
	ID   string // VM id
	Zone string // availability zone
}

// MaxCandidates is the number of daemons that may claim one group. More
// candidates would only make the last one wait longer.
const MaxCandidates = 5

// Rank returns the rank of self among the candidates for a group, starting at
// 0. Daemons of the group's availability zone come first. Within a zone,
// rendezvous hashing spreads the groups evenly and moves few of them when a
// daemon joins or leaves. Rank returns false if self is not in live or its rank
// is MaxCandidates or more.
func Rank(group, zone, self string, live []Candidate) (int, bool) {
	me := slices.IndexFunc(live, func(c Candidate) bool { return c.ID == self })
	if me < 0 {
		return 0, false
	}
	rank := 0
	for _, c := range live {
		if precedes(group, zone, c, live[me]) {
			rank++
		}
	}
	return rank, rank < MaxCandidates
}

// precedes reports whether a ranks before b for the group.
func precedes(group, zone string, a, b Candidate) bool {
	if (a.Zone == zone) != (b.Zone == zone) {
		return a.Zone == zone
	}
	ha, hb := hashScore(group, a.ID), hashScore(group, b.ID)
	if ha != hb {
		return ha < hb
	}
	return a.ID < b.ID
}

func hashScore(group, id string) uint64 { return xxhash.Sum64String(group + "|" + id) }
