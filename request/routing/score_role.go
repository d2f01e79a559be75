package routing

// spillFactor weighs the delay that a spilled prompt causes to the streams of
// the engine against the request's own time.
const spillFactor = 0.5

// scoreRole is 1 on an engine made for the request's work. Where the prompt
// would hold up the streams of a decode or mixed engine, it falls with that delay, so that a
// prompt spills only when it costs less than waiting.
func scoreRole(e *environment, c *candidate) float64 {
	if e.plain || c.est.harm <= 0 {
		return 1
	}
	own := finishScale + c.est.finish
	return own / (own + c.est.harm)
}

// harm is the delay, in seconds, that the prompt on t means for the streams there.
func (e *environment) harm(est *estimate, t *Target) float64 {
	h := 0.0
	if n := t.Load.Running; n > 0 && est.decode == "" {
		h = est.work * spillFactor * min(float64(n)/fullBatch, 1)
	}
	if est.spill {
		h += est.work * spillFactor
	}
	return h
}

// fullBatch is the number of streams from which the delay counts in full.
const fullBatch = 32
