package placement

import (
	"time"

	"github.com/pomelospool/pomelospool/version/route"
)

const (
	// crossZoneFactor is the factor by which the transfer of KV cache to
	// another availability zone takes longer and costs more.
	crossZoneFactor = 2
	// occupancyCost is the cost of a full engine: its steps take longer,
	// and the last prompt that it admits has no margin.
	occupancyCost objectiveShare = 0.16
	// overloadCost is the cost of requests beyond the engine's stream
	// limit, for each multiple of that limit.
	overloadCost objectiveShare = 2
	// slowdownCost is the cost of an engine for each multiple of the
	// predicted time that it takes.
	slowdownCost objectiveShare = 0.08
	// decodeTieCost is the largest cost that the prompt's hash adds, so
	// that equally good engines share the prompts.
	decodeTieCost objectiveShare = 0.002
	// transferWeight is the weight of the transfer time, which also counts
	// because transfers are billed.
	transferWeight = 3
)

// Decode chooses the engine that decodes: one with few streams that needs
// little transfer of KV cache. from is the availability zone of the engine
// that holds the KV cache, or empty if there is none. Decode returns -1 if
// there are no candidates.
func Decode(p Prompt, cands []Candidate, e *route.Engine, from string) int {
	at, _ := ChooseDecode(p, cands, e, from)
	return at
}

// ChooseDecode is like Decode, and reports whether the engine is the cheapest
// one. While reports are stale it may not be.
func ChooseDecode(p Prompt, cands []Candidate, e *route.Engine, from string) (at int, isCheapest bool) {
	stale := p.Unreported.streamsStale()
	best := -1
	costs := make([]time.Duration, len(cands))
	for i := range cands {
		c := &cands[i]
		cost := c.decodeCost(&p)
		if from != "" {
			cost += transferWeight * TransferTime(e, max(p.Tokens-c.Load.Cached, 0), from == c.Entry.Zone)
		}
		cost += time.Duration(hashFraction(p.tieSeed(stale)^uint64(i+1)) * float64(decodeTieCost.duration(&p)))
		costs[i] = cost
		if best < 0 || cost < costs[best] {
			best = i
		}
	}
	if stale && best >= 0 && p.Unreported.fillEngine(cands) {
		return spreadDecode(&p, cands, costs)
	}
	return best, true
}

// decodeCost returns the cost of a decode at the candidate, without the
// transfer of KV cache.
func (c *Candidate) decodeCost(p *Prompt) time.Duration {
	occupancy := float64(c.Load.Streams) / float64(c.StreamLimit())
	cost := time.Duration(occupancy * occupancy * float64(occupancyCost.duration(p)))
	cost += time.Duration(c.FailureRate * float64(failureCost.duration(p)))
	if occupancy >= 1 {
		cost += time.Duration((occupancy - 1) * float64(overloadCost.duration(p)))
	}
	cost += c.adjusted(slowdownCost.duration(p)) - slowdownCost.duration(p)
	return cost + c.connCost(p)
}

// TransferTime returns the time to transfer the KV cache of that many
// tokens.
func TransferTime(e *route.Engine, tokens int, sameZone bool) time.Duration {
	if e.LinkBytesPerSecond <= 0 {
		return 0
	}
	s := float64(tokens) * float64(e.KVTokenBytes) / e.LinkBytesPerSecond
	if !sameZone {
		s *= crossZoneFactor
	}
	return time.Duration(s * float64(time.Second))
}
