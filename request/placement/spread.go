package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/request/balance"
	"github.com/pomelospool/pomelospool/version/route"
)

// Unreported is the work that other daemons have sent to the engines since
// the reports that this daemon knows. The zero value means that the reports
// are fresh: the cheapest candidate is chosen.
type Unreported struct {
	Prefill time.Duration // prefill time of prompts
	Streams float64       // number of streams
	Share   balance.Share // of all requests that this daemon handles
}

// prefillStale and streamsStale report whether the reports on prompts and on
// streams are outdated.
func (u *Unreported) prefillStale() bool { return u.Prefill > 0 }
func (u *Unreported) streamsStale() bool { return u.Streams > 0 }

// herdFactor is the ratio of unreported streams to the slots of one engine from
// which on the choice of a decoding engine accounts for them. If all of them went
// to the same engine, they would fill it and its queue. Fewer streams don't fill an
// engine, while an even spread needs more transfers between availability zones and
// new connections, and brings all engines at once to the number of streams at which
// the longest answers would be late: calls were rejected although slots were free.
const herdFactor = 2

// fillEngine reports whether the unreported streams would fill one of the engines.
func (u *Unreported) fillEngine(cands []Candidate) bool {
	return u.Streams >= herdFactor*float64(max(cands[0].Entry.Slots, 1))
}

// tieSeed returns the seed that breaks ties between candidates. If all
// daemons broke them by the content while reports are stale, they would send
// a popular prompt to the same engine until they learn of each other's
// prompts.
//
// Prefills where engines can't fetch KV cache are the exception: equal prompts
// that meet at one engine save a prefill there. With 300 contents and owners
// that reply, a random tie-break raised the complete prefills from 11,480 to
// 14,754 of 18,762.
func (p *Prompt) tieSeed(stale bool) uint64 {
	if stale {
		return p.RandomSeed
	}
	return p.Seed
}

func canFetch(e *route.Engine) bool { return e != nil && e.LinkBytesPerSecond > 0 }

// random returns the number in [0,1) by which the request chooses among
// weighted candidates. It doesn't depend on the numbers that break ties.
func (p *Prompt) random() float64 { return hashFraction(^p.RandomSeed) }

// spread returns the choice that accounts for the unreported prompts. The
// cost of an engine rises by a second with each second of work. There is at
// least one candidate.
func (ev *evaluation) spread() Choice {
	choices := make([]Choice, len(ev.cands))
	costs := make([]float64, len(ev.cands))
	for i := range ev.cands {
		choices[i] = ev.choice(i)
		costs[i] = choices[i].Cost.Seconds()
	}
	at := ev.p.chooseStale(ev.cands, costs, ev.p.Unreported.Prefill.Seconds())
	choices[at].NotCheapest = at != cheapest(costs)
	return choices[at]
}

// spreadDecode returns the engine that decodes and whether it is the cheapest
// one. costs are those of decodes at the candidates.
func spreadDecode(p *Prompt, cands []Candidate, costs []time.Duration) (at int, isCheapest bool) {
	loads := make([]float64, len(cands))
	limit := 0
	for i, cost := range costs {
		loads[i] = occupancyOf(cost, p)
		limit += cands[i].StreamLimit()
	}
	work := p.Unreported.Streams * float64(len(cands)) / float64(limit)
	at = p.chooseStale(cands, loads, work)
	return at, at == cheapest(loads)
}

// occupancyOf returns the occupancy at which an engine without other
// disadvantages has the given cost. The cost of a decode isn't proportional
// to the number of streams, but the occupancy is.
func occupancyOf(cost time.Duration, p *Prompt) float64 {
	square, over := float64(occupancyCost.duration(p)), float64(overloadCost.duration(p))
	c := max(float64(cost), 0)
	if c <= square {
		return math.Sqrt(c / square)
	}
	return (math.Sqrt(over*over+4*square*(over+c)) - over) / (2 * square)
}

// chooseStale returns the index of the chosen candidate.
func (p *Prompt) chooseStale(cands []Candidate, costs []float64, work float64) int {
	var c balance.Chooser
	return c.ChoosePreferred(costs, preferred(p.Unreported.Share, cands), work, p.random())
}

// preferred returns the indexes of the candidates that the daemon prefers
// while reports are stale. The candidates are ordered by availability zone,
// as the daemons' shares are, so that most of them are in the daemon's zone. It
// returns none if the candidates are a sample, which differs from daemon to
// daemon.
func preferred(share balance.Share, cands []Candidate) []int {
	type position struct {
		index int
		zone  string
		hash  uint64
	}
	order := make([]position, len(cands))
	for i := range cands {
		if cands[i].LocalOnly {
			return nil
		}
		order[i] = position{index: i, zone: cands[i].Entry.Zone, hash: engines.Hash(cands[i].Entry.ID)}
	}
	slices.SortFunc(order, func(a, b position) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.hash, b.hash))
	})
	out := share.Preferred(len(order))
	for i := range out {
		out[i] = order[out[i]].index
	}
	return out
}

// cheapest returns the index of the lowest cost.
func cheapest(costs []float64) int {
	best := 0
	for i := range costs {
		if costs[i] < costs[best] {
			best = i
		}
	}
	return best
}

// AssumeWaits replaces the unknown waits of a shortlist. An engine whose queue
// owner doesn't reply counts as the longer of its tracked wait and the median
// of the waits in the replies: the tracked wait of an engine is that of the
// last reports, which may lack the prompts that all daemons send because it
// looks idle. It returns false if there are no replies.
func AssumeWaits(list []Choice, cands []Candidate, waits []time.Duration) bool {
	replied := slices.DeleteFunc(slices.Clone(waits), func(w time.Duration) bool { return w < 0 })
	if len(replied) == 0 {
		return false
	}
	slices.Sort(replied)
	median := replied[len(replied)/2]
	for i := range waits {
		if waits[i] < 0 {
			waits[i] = max(cands[list[i].Index].Load.Wait, median)
		}
	}
	return true
}

// ChoosePlain returns the index of the plain target that gets a call. costs
// are in fractions of the targets' slots, unreported is the number of calls
// that other daemons have sent since their reports, and random is in [0,1).
// There is at least one candidate.
func ChoosePlain(cands []Candidate, costs []float64, unreported float64, share balance.Share, random float64) int {
	slots := 0
	for i := range cands {
		slots += max(cands[i].Entry.Slots, 1)
	}
	var c balance.Chooser
	return c.ChoosePreferred(costs, preferred(share, cands), unreported*float64(len(cands))/float64(slots), random)
}
