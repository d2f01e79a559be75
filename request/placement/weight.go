// Package placement chooses the engines that read a request's prompt and that
// make its answer, and says when the first event can be expected. It is pure:
// no clock and no I/O.
package placement

import "time"

// assumedObjective stands in for the objective of a route that has none.
const assumedObjective = 500 * time.Millisecond

// objectiveShare is a part of the time within which the caller wants the first event.
// What speaks for or against an engine is weighed in it, so that engines and
// callers of any speed are weighed alike: with times fixed for objectives of
// half a second, engines five times as fast with callers more than twice as
// demanding were chosen mostly by their open connections.
type objectiveShare float64

// duration is the time that the share stands for with this prompt.
func (s objectiveShare) duration(p *Prompt) time.Duration {
	o := p.Objective
	if o <= 0 {
		o = assumedObjective
	}
	return time.Duration(float64(s) * float64(o))
}
