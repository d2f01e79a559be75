// Package placement chooses the engines for the prefill and the decode of a
// request and predicts the time of its first event. It is pure: it uses no
// clock and does no I/O.
package placement

import "time"

// assumedObjective is used for routes without an objective.
const assumedObjective = 500 * time.Millisecond

// objectiveShare is a fraction of the time within which the caller wants the
// first event. Costs are stated in it so that they fit engines and callers
// of any speed. With fixed costs, set for objectives of half a second,
// engines five times as fast with objectives less than half as long were
// chosen mostly by their open connections.
type objectiveShare float64

// duration returns the time that the share amounts to for this prompt.
func (s objectiveShare) duration(p *Prompt) time.Duration {
	o := p.Objective
	if o <= 0 {
		o = assumedObjective
	}
	return time.Duration(float64(s) * float64(o))
}
