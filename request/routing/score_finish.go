package routing

// finishScale is the expected time, in seconds, that scores one half.
const finishScale = 1.0

// scoreFinish is 1 for an answer at once and falls with the expected finish.
// All candidates share the output's length, so the time to the first token
// decides between them unless their decode steps differ.
func scoreFinish(e *environment, c *candidate) float64 {
	return finishScale / (finishScale + c.est.finish)
}

// costOf is the finish time, in seconds, that alone would give the score.
func costOf(score float64) float64 { return finishScale * (1/max(score, minScore) - 1) }

const minScore = 1e-6
