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

// relays is how many members are asked to probe one that didn't answer.
const relays = 3

// deadEvery is the number of rounds between probes of silent members that the
// VM list still names. Without them the two sides of a healed partition would
// never talk again.
const deadEvery = 6

// schedule picks whom to probe. It goes through a random order of its
// neighbours before it starts anew, so that each one is probed within a
// bounded time.
type schedule struct {
	rnd   *rand.Rand
	order []string
	round int
}

// next returns the member to probe in this round, or nil. Members that were
// never heard of are probed rarely, since the VM list names VMs of all kinds;
// only a process that knows nobody alive asks them in every round.
func (s *schedule) next(t *table) *entry {
	s.round++
	if s.round%deadEvery == 0 {
		if e := s.silent(t); e != nil {
			return e
		}
	}
	for range 2 {
		for len(s.order) > 0 {
			id := s.order[0]
			s.order = s.order[1:]
			if e := t.members[id]; e != nil && e.talks() {
				return e
			}
		}
		s.shuffle(t)
	}
	return s.silent(t)
}

// neighbours is how many members a process probes in turn. With as many rings
// as neighbours each member is probed by that many others too, and no process
// needs connections to the whole fleet.
const neighbours = 8

// shuffle takes the process's neighbours in a new random order. On each of
// several rings, ordered by a hash of ring and id, the neighbour is the next
// member after this process. The rings are random to each other, so news
// crosses the fleet in few steps, and one failure changes few neighbours.
func (s *schedule) shuffle(t *table) {
	s.order = s.order[:0]
	for ring := range neighbours {
		id := t.successor(ring)
		if id != "" && !slices.Contains(s.order, id) {
			s.order = append(s.order, id)
		}
	}
	s.rnd.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
}

// successor returns the member after self on a ring, or "" when alone.
func (t *table) successor(ring int) string {
	self := ringHash(ring, t.self.Id)
	best, found := "", uint64(math.MaxUint64)
	for id, e := range t.members {
		if !e.talks() {
			continue
		}
		// Distance along the ring, which wraps around with the integers.
		if d := ringHash(ring, id) - self; d < found || best == "" {
			best, found = id, d
		}
	}
	return best
}

func ringHash(ring int, id string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "/" + id)
}

// silent returns a listed member that is dead or was never heard of, or nil.
func (s *schedule) silent(t *table) *entry {
	var ids []string
	for id, e := range t.members {
		if e.listed && !e.talks() {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	sort.Strings(ids)
	return t.members[ids[s.rnd.IntN(len(ids))]]
}

// relaysFor returns up to relays live members other than id.
func (s *schedule) relaysFor(t *table, id string) []*peerpb.Member {
	var list []*peerpb.Member
	for other, e := range t.members {
		if other != id && e.m.State == peerpb.Member_LIVE {
			list = append(list, e.m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	s.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if len(list) > relays {
		list = list[:relays]
	}
	return list
}
