package routing

import "github.com/pomelospool/pomelospool/port"

// Shares of the between-tokens objective that a decode step may take before an
// engine counts as full. They leave time for a stream to wait for its KV cache
// and for a slot in the batch. A mixed engine fills its steps with prompts up to
// the objective, so its measured step time doesn't show its load. For such an
// engine the assumed step time of its streams alone is used, and has to leave
// time for prompts.
const (
	objectiveMargin      = 0.95
	mixedObjectiveMargin = 0.97
	urgentFactor         = 1.1
)

// missesObjective reports whether n streams on t would miss the between-tokens
// objective. move is the duration in seconds of the KV cache transfer, which
// delays the second token.
//
// One stream too many slows down all streams of an engine: without this limit
// nearly every answer misses the objective under overload. Refusing that stream
// keeps the others within the objective.
func (e *environment) missesObjective(t *Target, n int, move float64) bool {
	objective := e.opts.BetweenTokens
	if e.req.BetweenTokens > 0 {
		objective = e.req.BetweenTokens
	}
	if objective <= 0 {
		return false
	}
	limit := objective.Seconds() * objectiveMargin
	if e.req.Priority > 0 {
		limit *= urgentFactor
	}
	limit -= move / float64(max(e.req.OutputTokens, 1))
	if role(t) == port.RoleMixed {
		return e.assumedStep(n) > limit*mixedObjectiveMargin
	}
	return e.stepTime(t, n) > limit
}

// meetingObjective filters out the candidates on which one more stream would
// miss the between-tokens objective. For prefill engines, the engines that would
// decode are checked instead.
func (e *environment) meetingObjective(cands []candidate) []candidate {
	if e.plain {
		return cands
	}
	keep := cands[:0]
	for _, c := range cands {
		elsewhere := role(c.target) == port.RolePrefill && e.opts.KVTransferRate > 0 && e.hasDecoder
		if elsewhere && e.decoder == nil {
			continue
		}
		if !elsewhere && e.missesObjective(c.target, requestsAt(c.target)+1, 0) {
			continue
		}
		keep = append(keep, c)
	}
	return keep
}
