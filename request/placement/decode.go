package placement

import (
	"time"

	"github.com/pomelospool/pomelospool/version/route"
)

const (
	// crossZoneFactor is how much longer KV cache takes to another availability
	// zone, and how much more it costs.
	crossZoneFactor = 2
	// occupancyCost is what a full engine costs: its steps take longer, and a prompt
	// that is admitted as its last has no room to be late.
	occupancyCost objectiveShare = 0.16
	// overloadCost is what each engine's worth of requests beyond its places costs.
	overloadCost objectiveShare = 2
	// slowdownCost is what an engine costs for each time that it is slower.
	slowdownCost objectiveShare = 0.08
	// decodeTieCost is the most that the prompt's hash adds, so that engines that are
	// alike share the prompts.
	decodeTieCost objectiveShare = 0.002
	// transferWeight counts the time of a move again, since moves are paid for.
	transferWeight = 3
)

// Decode chooses the engine that makes the answer: few requests, and little
// KV cache to move there. from is the availability zone of the engine that
// keeps the cache, empty when there is none. It returns -1 without candidates.
func Decode(p Prompt, cands []Candidate, e *route.Engine, from string) int {
	best := -1
	var bestCost time.Duration
	for i := range cands {
		c := &cands[i]
		cost := c.decodeCost(&p)
		if from != "" {
			cost += transferWeight * TransferTime(e, max(p.Tokens-c.Load.Cached, 0), from == c.Entry.Zone)
		}
		cost += time.Duration(hashFraction(p.Seed^uint64(i+1)) * float64(decodeTieCost.duration(&p)))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// decodeCost is what it costs to have the answer made there, KV cache aside.
func (c *Candidate) decodeCost(p *Prompt) time.Duration {
	full := float64(c.Load.Streams) / float64(c.StreamLimit())
	cost := time.Duration(full * full * float64(occupancyCost.duration(p)))
	cost += time.Duration(c.FailureRate * float64(failureCost.duration(p)))
	if full >= 1 {
		cost += time.Duration((full - 1) * float64(overloadCost.duration(p)))
	}
	cost += c.adjusted(slowdownCost.duration(p)) - slowdownCost.duration(p)
	return cost + c.connCost(p)
}

// TransferTime is the time to move the KV cache of that many tokens.
func TransferTime(e *route.Engine, tokens int, sameZone bool) time.Duration {
	if e.LinkBytes <= 0 {
		return 0
	}
	s := float64(tokens) * float64(e.KVTokenBytes) / e.LinkBytes
	if !sameZone {
		s *= crossZoneFactor
	}
	return time.Duration(s * float64(time.Second))
}
