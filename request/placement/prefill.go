package placement

import (
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/port"
)

// Candidate is an engine that may take the request.
type Candidate struct {
	Entry port.TargetEntry
	Load  engines.Load
	Rate  float64 // share of its requests that failed lately
	Pace  float64 // how often longer than foreseen it takes lately, 1: as foreseen
}

// slower gives the time that the candidate is likely to take for one foreseen.
func (c *Candidate) slower(d time.Duration) time.Duration {
	if c.Pace <= slowFrom {
		return d
	}
	return time.Duration(float64(d) * c.Pace)
}

// slowFrom is the pace up to which a target counts as any other: foresight
// alone is off by that much.
const slowFrom = 2.5

// Prompt is what placement knows of a request.
type Prompt struct {
	Tokens int
	Seed   uint64 // of the prompt's first part: equal prompts go to one engine
}

// Choice is where a prompt is read.
type Choice struct {
	At      int // index of the candidate, -1: none
	Missing int // prompt tokens that the engine has to read
	Wait    time.Duration
	Read    time.Duration
}

const (
	// readAgain is the weight of the time to read what another engine keeps
	// already, on top of the time itself: it is taken from later requests.
	readAgain = 0.6
	// failPenalty is the time that a failure rate of one stands for.
	failPenalty = 800 * time.Millisecond
	// tieSpread is the most that the prompt's hash adds to an engine's cost.
	tieSpread = 4 * time.Millisecond
)

// Prefill chooses the engine that reads the prompt: the one that is done first,
// with what it has to read counted again in part.
func Prefill(p Prompt, cands []Candidate, m Model) Choice {
	best := Choice{At: -1}
	var bestCost time.Duration
	for i := range cands {
		c := &cands[i]
		missing := max(p.Tokens-c.Load.Cached, 1)
		ch := Choice{
			At:      i,
			Missing: missing,
			Wait:    c.slower(c.Load.Wait),
			Read:    c.slower(m.Read(p.Tokens, missing)),
		}
		cost := ch.Wait + ch.Read
		cost += time.Duration(readAgain * float64(ch.Read))
		cost += time.Duration(c.Rate * float64(failPenalty))
		cost += time.Duration(unit(p.Seed^engines.Hash(c.Entry.ID)) * float64(tieSpread))
		if best.At < 0 || cost < bestCost {
			best, bestCost = ch, cost
		}
	}
	return best
}

// unit maps a hash to [0,1).
func unit(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
