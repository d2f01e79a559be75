package roster

import (
	"cmp"
	"math"
	"slices"

	"github.com/pomelospool/pomelospool/connection/address"
)

const (
	// requestCost is what a request takes of a processor, in seconds of a core: some
	// decisions, two or three calls to targets and an answer that is passed on.
	requestCost = 0.005
	// headroom is how many times the processor that requests take on the mean the
	// daemons that get them have: requests come in bursts of a few times their mean,
	// and each waits for those before it.
	headroom = 5
	// leastActive is the least number of daemons of an availability zone that get
	// requests.
	leastActive = 4
	// idleShare is the least share of a zone's processors that they have: the first
	// requests come before their rate is known.
	idleShare = 0.25
	// namedShare is the part of these that one caller is named, no fewer than
	// leastActive: those that the caller's order and their weights put first.
	namedShare = 3
	// unknownProcessor is assumed where a processor isn't stated, in thousandths of
	// a core.
	unknownProcessor = 1000
)

// rateLevel is a rate of requests as daemons report it, so that only changes that
// matter are reported: 0 for none, else the least n for which 2^(n-1) a second are
// no fewer.
func rateLevel(perSecond float64) uint8 {
	switch {
	case perSecond <= 0:
		return 0
	case perSecond <= 1:
		return 1
	}
	return 1 + uint8(math.Ceil(math.Log2(perSecond)))
}

// rate is what a reported level stands for at most, in requests a second. Who gets
// none may get one.
func (m *Member) rate() float64 { return math.Exp2(float64(max(m.RateLevel, 1) - 1)) }

// idle reports whether a daemon gets no requests.
func (m *Member) idle() bool { return m.RateLevel == 0 }

func (m *Member) millicores() float64 {
	if m.Millicores == 0 {
		return unknownProcessor
	}
	return float64(m.Millicores)
}

// candidate is a daemon that callers may be sent to.
type candidate struct {
	address.Member
	rate float64
}

// active returns the daemons that callers of an availability zone are sent to, and
// how many of them one caller is named: in a large fleet the zone's fastest ones,
// as many as its requests take with some headroom. Without enough in the zone it
// returns all.
//
// The load that it answers: a thousand daemons get less than a request a second
// each, most of them on a fifth of a core. Nearly each request finds no connection
// to its target, and waits for a slow processor, while fast ones are idle.
func active(all []candidate, zone string) (list []address.Member, named int) {
	near := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.Zone != zone })
	if len(all) <= smallFleet+1 || len(near) < leastActive {
		return members(all), len(all)
	}
	slices.SortFunc(near, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Addr, b.Addr))
	})
	total, needed := 0.0, 0.0
	for _, c := range near {
		total += c.Weight
		needed += c.rate * requestCost * headroom
	}
	needed = max(needed, idleShare*total)
	n, there := 0, 0.0
	for n < len(near) && (n < leastActive || there < needed) {
		there += near[n].Weight
		n++
	}
	return members(near[:n]), max(n/namedShare, leastActive)
}

func members(list []candidate) []address.Member {
	out := make([]address.Member, 0, len(list))
	for _, c := range list {
		out = append(out, c.Member)
	}
	return out
}
