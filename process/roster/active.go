package roster

import (
	"cmp"
	"math"
	"slices"

	"github.com/pomelospool/pomelospool/connection/address"
)

const (
	// requestCoreSeconds is the CPU time of a request in core seconds. It covers routing
	// decisions, two or three calls to targets and forwarding the answer.
	requestCoreSeconds = 0.005
	// processorHeadroom is the ratio of the CPU capacity of the active daemons to the mean
	// CPU use of their requests. Bursts reach a few times the mean rate, and each request
	// of a burst queues behind the earlier ones.
	processorHeadroom = 5
	// minActive is the minimum number of daemons of an availability zone that get
	// requests.
	minActive = 4
	// minActiveShare is the minimum share of a zone's CPU capacity that the active daemons
	// have. The first requests arrive before their rate is known.
	minActiveShare = 0.25
	// namedDivisor is the ratio of the active daemons to those named to one caller. At
	// least minActive are named; the caller's order and the daemons' weights decide which.
	namedDivisor = 3
	// defaultMillicores is assumed for VMs with unknown CPU capacity, in thousandths of a
	// core.
	defaultMillicores = 1000
)

// rateLevel returns the logarithmic level in which daemons report a request rate, so that
// only significant changes are reported: 0 for no requests, else the smallest n >= 1 with
// perSecond <= 2^(n-1).
func rateLevel(perSecond float64) uint8 {
	switch {
	case perSecond <= 0:
		return 0
	case perSecond <= 1:
		return 1
	}
	return 1 + uint8(math.Ceil(math.Log2(perSecond)))
}

// rate returns the upper bound of the reported rate level in requests per second. A daemon
// without requests counts as level 1, because it may get one.
func (m *Member) rate() float64 { return math.Exp2(float64(max(m.RateLevel, 1) - 1)) }

// idle reports whether a daemon gets no requests.
func (m *Member) idle() bool { return m.RateLevel == 0 }

func (m *Member) millicores() float64 {
	if m.Millicores == 0 {
		return defaultMillicores
	}
	return float64(m.Millicores)
}

// candidate is a daemon that callers may be sent to.
type candidate struct {
	address.Member
	rate float64
}

// activeDaemons returns the daemons that callers of an availability zone are sent to, and
// how many of them are named to one caller. In a large fleet these are the zone's fastest
// daemons, as many as its request rate needs plus headroom. If the zone has too few
// daemons, all daemons of the fleet are returned.
//
// Without this selection a thousand daemons get less than one request per second each,
// most of them on a fifth of a core. Almost every request then has to open a connection to
// its target and waits for a slow CPU while fast VMs are idle.
func activeDaemons(all []candidate, zone string) (list []address.Member, named int) {
	near := slices.DeleteFunc(slices.Clone(all), func(c candidate) bool { return c.Zone != zone })
	if len(all) <= maxFullMeshPeers+1 || len(near) < minActive {
		return addressMembers(all), len(all)
	}
	slices.SortFunc(near, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Addr, b.Addr))
	})
	total, needed := 0.0, 0.0
	for _, c := range near {
		total += c.Weight
		needed += c.rate * requestCoreSeconds * processorHeadroom
	}
	needed = max(needed, minActiveShare*total)
	n, capacity := 0, 0.0
	for n < len(near) && (n < minActive || capacity < needed) {
		capacity += near[n].Weight
		n++
	}
	return addressMembers(near[:n]), max(n/namedDivisor, minActive)
}

func addressMembers(list []candidate) []address.Member {
	out := make([]address.Member, 0, len(list))
	for _, c := range list {
		out = append(out, c.Member)
	}
	return out
}
