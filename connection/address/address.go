// Package address answers callers' question which addresses to use. No
// balancer stands before the daemons: this answer is what spreads callers.
package address

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/internal/fraction"
)

// Member is one daemon as the membership sees it.
type Member struct {
	Addr    string  // host:port for callers
	Zone    string  // availability zone
	Leaving bool    // stops soon: callers must be elsewhere by then
	Weight  float64 // its share of the callers against others'; 0: 1
}

// Entry is one address of an answer.
type Entry struct {
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

// Answer tells a caller which addresses to use, best first, and for how long
// it may keep the answer.
type Answer struct {
	Addresses []Entry `json:"addresses"`
	TTLMs     int64   `json:"ttl_ms"`
}

// Book makes answers. It is safe for concurrent use.
type Book struct {
	members func() []Member
	ttl     time.Duration
}

// NewBook returns a Book over members, which returns the live members and
// must be safe for concurrent use.
func NewBook(members func() []Member, ttl time.Duration) *Book {
	return &Book{members: members, ttl: ttl}
}

// Answer orders the members that stay: the caller's availability zone first,
// and within a zone by a hash of seed and address, the ones of more weight first
// more often. Different seeds give different orders, so that callers spread; the
// same seed keeps its order while members come and go, so that its connections
// stay in use.
func (b *Book) Answer(zone string, seed uint64) Answer {
	var stay []ranked
	for _, m := range b.members() {
		if !m.Leaving {
			stay = append(stay, ranked{Entry: Entry{Addr: m.Addr, Zone: m.Zone}, rank: weighted(Rank(seed, m.Addr), m.Weight)})
		}
	}
	slices.SortFunc(stay, func(x, y ranked) int {
		return cmp.Or(x.away(zone)-y.away(zone), cmp.Compare(x.rank, y.rank))
	})
	a := Answer{Addresses: make([]Entry, 0, len(stay)), TTLMs: b.ttl.Milliseconds()}
	for _, m := range stay {
		a.Addresses = append(a.Addresses, m.Entry)
	}
	return a
}

// Seed is the seed of the caller with that name or address.
func Seed(caller string) uint64 { return xxhash.Sum64String(caller) }

// ranked is an entry with its place in one caller's order.
type ranked struct {
	Entry
	rank float64
}

func (r *ranked) away(zone string) int {
	if r.Zone == zone {
		return 0
	}
	return 1
}

// weighted turns a rank into a draw of an exponential distribution of that rate:
// the least of several is each one's with the chance of its weight.
func weighted(rank uint64, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	return -math.Log1p(-fraction.Of(rank)) / weight
}

// Rank is the place of an address in the order of a seed: it mixes the seed into
// the hash of the address, without a copy of either.
func Rank(seed uint64, addr string) uint64 {
	d := xxhash.NewWithSeed(seed)
	_, _ = d.WriteString(addr) // never fails
	return d.Sum64()
}
