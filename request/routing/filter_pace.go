package routing

import "github.com/pomelospool/pomelospool/port"

// How much of the between-tokens objective a step may take before an engine
// counts as full. A stream also waits for its KV cache and for a place in the
// batch. A mixed engine fills its steps with prompts up to the objective, so its measured step
// says little; what its streams alone would take must leave room for prompts.
const (
	paceMargin  = 0.95
	mixedMargin = 0.97
	urgentExtra = 1.1
)

// breaksPace reports whether n streams on t would miss the between-tokens
// objective, with the seconds that moving the KV cache adds to the first gap.
//
// The failure it stops: one stream too many makes all the streams beside it
// late, so under overload nearly every answer misses its objective while the engines
// are busy all the time. Refusing that one keeps the others on time.
func (e *environment) breaksPace(t *Target, n int, move float64) bool {
	objective := e.opts.BetweenTokens
	if e.r.BetweenTokens > 0 {
		objective = e.r.BetweenTokens
	}
	if objective <= 0 {
		return false
	}
	limit := objective.Seconds() * paceMargin
	if e.r.Priority > 0 {
		limit *= urgentExtra
	}
	limit -= move / float64(max(e.r.OutputTokens, 1))
	if role(t) == port.RoleMixed {
		return e.assumedStep(n) > limit*mixedMargin
	}
	return e.stepTime(t, n) > limit
}

// withPace drops the candidates whose streams would have no room, on
// themselves or, after a prefill engine, on any engine that decodes.
func (e *environment) withPace(cands []candidate) []candidate {
	if e.plain {
		return cands
	}
	keep := cands[:0]
	for _, c := range cands {
		elsewhere := role(c.t) == port.RolePrefill && e.opts.KVMoveRate > 0 && e.decodes
		if elsewhere && e.decoder == nil {
			continue
		}
		if !elsewhere && e.breaksPace(c.t, requestsAt(c.t)+1, 0) {
			continue
		}
		keep = append(keep, c)
	}
	return keep
}
