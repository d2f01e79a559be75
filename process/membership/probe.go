package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// relaysPerProbe is the number of members that are asked to probe one that didn't respond.
const relaysPerProbe = 3

// roundsPerDeadProbe is the number of rounds between probes of unresponsive members that
// the VM list still contains. Without these probes the two sides of a healed partition
// would never exchange messages again.
const roundsPerDeadProbe = 6

// probeSchedule selects the members to probe. It visits all neighbours in a random order
// before it starts again, so that each one is probed within a bounded time.
type probeSchedule struct {
	rnd   *rand.Rand
	order []string
	round int
}

// next returns the member to probe in this round, or nil. Members that have never
// responded are probed rarely, since the VM list contains VMs of all kinds. Only a process
// that knows no live member probes them in every round.
func (s *probeSchedule) next(t *table) *tableEntry {
	s.round++
	if s.round%roundsPerDeadProbe == 0 {
		if e := s.randomDead(t); e != nil {
			return e
		}
	}
	for range 2 {
		for len(s.order) > 0 {
			id := s.order[0]
			s.order = s.order[1:]
			if e := t.members[id]; e != nil && e.isResponsive() {
				return e
			}
		}
		s.shuffle(t)
	}
	return s.randomDead(t)
}

// ringCount is the number of rings and thus of neighbours that a process probes in turn.
// Each member is probed by about as many others, and no process needs connections to the
// whole fleet.
const ringCount = 8

// shuffle puts the process's neighbours into a new random order. On each ring, which is
// ordered by a hash of ring and id, the neighbour is the next member after this process.
// The rings are independent of each other, so updates reach the fleet in few hops, and one
// failure changes few neighbours.
func (s *probeSchedule) shuffle(t *table) {
	s.order = s.order[:0]
	for ring := range ringCount {
		id := t.successor(ring)
		if id != "" && !slices.Contains(s.order, id) {
			s.order = append(s.order, id)
		}
	}
	s.rnd.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
}

// successor returns the member that follows this process on a ring, or "" if there is
// none.
func (t *table) successor(ring int) string {
	self := ringHash(ring, t.self.Id)
	best, found := "", uint64(math.MaxUint64)
	for id, e := range t.members {
		if !e.isResponsive() {
			continue
		}
		// Unsigned subtraction gives the distance along the ring, with wrap-around.
		if d := ringHash(ring, id) - self; d < found || best == "" {
			best, found = id, d
		}
	}
	return best
}

// ringHash returns the position of a member on a ring.
func ringHash(ring int, id string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "/" + id)
}

// randomDead returns a random listed member that is dead or has never responded, or nil.
func (s *probeSchedule) randomDead(t *table) *tableEntry {
	var ids []string
	for id, e := range t.members {
		if e.listed && !e.isResponsive() {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	sort.Strings(ids)
	return t.members[ids[s.rnd.IntN(len(ids))]]
}

// chooseRelays returns up to relaysPerProbe random live members other than id.
func (s *probeSchedule) chooseRelays(t *table, id string) []*peerpb.Member {
	var list []*peerpb.Member
	for other, e := range t.members {
		if other != id && e.member.State == peerpb.Member_LIVE {
			list = append(list, e.member)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	s.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) > relaysPerProbe {
		list = list[:relaysPerProbe]
	}
	return list
}
