package placement

import (
	"time"

	"github.com/pomelospool/pomelospool/connection/speed"
)

const (
	// slowSpeed is the factor from which on an engine is no home of prompts.
	slowSpeed = speed.Margin
	// lateCost is the cost of an engine at which the prompt would miss its
	// objective.
	lateCost objectiveShare = 0.5
)

// prefillTime predicts how long the engine takes for the missing tokens of the
// prompt. Speed is the engine's lasting factor, and Slowdown is measured against
// predictions with that factor, so that neither includes the other.
func (c *Candidate) prefillTime(p *Prompt, missing int, est speed.Estimates) time.Duration {
	t := est.PrefillTime(p.Tokens, missing)
	if c.Speed > 0 {
		t = time.Duration(c.Speed * float64(t))
	}
	return c.adjusted(t)
}

// lateness is the cost of a choice with which the first event misses the objective.
type lateness struct {
	cost    time.Duration // 0: none
	maxWait time.Duration // the longest wait with which the first event is on time
}

// addLateness adds the cost of a late first event. In exchange, a fast engine counts as
// no better than a usual one for a prompt that is on time at both: large prompts thereby
// go to engines that are fast enough for them even if these have a queue, and smaller
// ones leave these free.
func (ch *Choice) addLateness(p *Prompt, c *Candidate, est speed.Estimates) {
	if !p.AvoidLate || p.Objective <= 0 || !est.Known() {
		return
	}
	if c.Speed > 0 && c.Speed < 1 {
		saved := float64(ch.PrefillTime-ch.FetchTime) * (1/c.Speed - 1)
		ch.Cost += time.Duration((1 + recomputeWeight) * saved)
	}
	ch.lateness = lateness{lateCost.duration(p), p.Objective - est.PromptOverhead - ch.PrefillTime - est.FirstEvent}
	ch.Cost += ch.lateness.after(ch.PredictedWait)
}

// after returns the cost after a wait.
func (l lateness) after(wait time.Duration) time.Duration {
	if wait <= l.maxWait {
		return 0
	}
	return l.cost
}

// setWait replaces the predicted wait.
func (ch *Choice) setWait(wait time.Duration) {
	ch.Cost += wait - ch.PredictedWait + ch.lateness.after(wait) - ch.lateness.after(ch.PredictedWait)
	ch.PredictedWait = wait
}
