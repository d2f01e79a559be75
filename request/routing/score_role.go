package routing

// spillFactor weights the delay that a prompt causes to the streams of the
// engine, relative to the request's own finish time.
const spillFactor = 0.5

// scoreRole returns 1 for an engine whose streams the prompt doesn't delay. On
// other engines the score falls with that delay, so that a prompt spills only
// when this costs less than waiting.
func scoreRole(e *environment, c *candidate) float64 {
	if e.plain || c.est.interference <= 0 {
		return 1
	}
	own := finishScale + c.est.finish
	return own / (own + c.est.interference)
}

// interference returns the weighted delay, in seconds, that the prompt causes to
// the streams on t.
func (e *environment) interference(est *estimate, t *Target) float64 {
	h := 0.0
	if n := t.Load.Running; n > 0 && est.decode == "" {
		h = est.work * spillFactor * min(float64(n)/fullInterferenceStreams, 1)
	}
	if est.spilled {
		h += est.work * spillFactor
	}
	return h
}

// fullInterferenceStreams is the number of streams from which on the delay has
// its full weight.
const fullInterferenceStreams = 32
