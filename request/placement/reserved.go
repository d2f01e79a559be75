package placement

import "time"

// reservedCost is the cost of an engine that is reserved for shorter prompts. It is
// longer than any wait with which a prompt is admitted, so that the engine is chosen
// only if there is no other.
const reservedCost objectiveShare = 4

func (c *Candidate) reservedCost(p *Prompt) time.Duration {
	if !c.Reserved {
		return 0
	}
	return reservedCost.duration(p)
}
