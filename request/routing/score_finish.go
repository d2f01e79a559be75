package routing

// finishScale is the expected finish time, in seconds, whose score is 0.5.
const finishScale = 1.0

// scoreFinish returns a score that falls with the expected finish time and is 1
// for a time of 0. The output length is the same for all candidates, so the time
// to the first token decides unless their decode steps differ.
func scoreFinish(e *environment, c *candidate) float64 {
	return finishScale / (finishScale + c.est.finish)
}

// costOf returns the finish time, in seconds, for which scoreFinish returns score.
func costOf(score float64) float64 { return finishScale * (1/max(score, minScore) - 1) }

const minScore = 1e-6
