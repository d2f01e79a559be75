// Package address tells callers which daemon addresses to use. There is no load
// balancer in front of the daemons, so this answer distributes the callers over
// them.
package address

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/internal/fraction"
)

// Member is one daemon as known from the membership.
type Member struct {
	Addr    string  // host:port for callers
	Zone    string  // availability zone
	Leaving bool    // it stops soon, and callers must use other daemons by then
	Weight  float64 // relative share of the callers; 0 means 1
}

// Entry is one address in an Answer.
type Entry struct {
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

// Answer lists the addresses for a caller in order of preference, and how long
// the caller may cache them.
type Answer struct {
	Addresses []Entry `json:"addresses"`
	TTLMs     int64   `json:"ttl_ms"`
}

// Selector answers requests for addresses. It is safe for concurrent use.
type Selector struct {
	members func() []Member
	ttl     time.Duration
}

// NewSelector returns a Selector for the members returned by members, which
// must return the live members and be safe for concurrent use.
func NewSelector(members func() []Member, ttl time.Duration) *Selector {
	return &Selector{members: members, ttl: ttl}
}

// Answer returns the addresses of the members that aren't leaving. Those in the
// caller's availability zone come first. Within a zone the order follows a hash
// of seed and address, in which members with more weight come first more often.
// Different seeds give different orders, which spreads the callers. The same
// seed keeps its order while members come and go, so that the caller's
// connections stay in use.
func (s *Selector) Answer(zone string, seed uint64) Answer {
	var available []ranked
	for _, m := range s.members() {
		if !m.Leaving {
			available = append(available, ranked{Entry: Entry{Addr: m.Addr, Zone: m.Zone}, rank: weightedRank(Rank(seed, m.Addr), m.Weight)})
		}
	}
	slices.SortFunc(available, func(x, y ranked) int {
		return cmp.Or(x.zoneDistance(zone)-y.zoneDistance(zone), cmp.Compare(x.rank, y.rank))
	})
	a := Answer{Addresses: make([]Entry, 0, len(available)), TTLMs: s.ttl.Milliseconds()}
	for _, m := range available {
		a.Addresses = append(a.Addresses, m.Entry)
	}
	return a
}

// Seed returns the seed for a caller's name or address.
func Seed(caller string) uint64 { return xxhash.Sum64String(caller) }

// ranked is an entry with its rank for one caller.
type ranked struct {
	Entry
	rank float64
}

// zoneDistance returns 0 for an entry in the given zone and 1 for all others.
func (r *ranked) zoneDistance(zone string) int {
	if r.Zone == zone {
		return 0
	}
	return 1
}

// weightedRank maps a rank to an exponentially distributed value with the given
// rate. The probability that a member has the smallest of several values is
// proportional to its weight.
func weightedRank(rank uint64, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	return -math.Log1p(-fraction.Of(rank)) / weight
}

// Rank returns the position of an address in the order of a seed. It mixes the
// seed into the hash of the address without copying either.
func Rank(seed uint64, addr string) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(addr) // never fails
	return d.Sum64()
}
