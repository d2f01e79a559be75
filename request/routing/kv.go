package routing

// kvSource is the live target with the longest cached part of the prompt.
type kvSource struct {
	t      *Target
	cached int
}

// bestSource finds the engine to move the prefix from, were it to be moved. A
// leaving engine may still be read; a changing or suspect one may not.
func (e *environment) bestSource(targets []Target) kvSource {
	var s kvSource
	if e.opts.KVMoveRate <= 0 || len(e.r.Prefix) == 0 {
		return s
	}
	for i := range targets {
		t := &targets[i]
		if !t.Live || t.Changing || t.Suspect || !servesModel(e.r, t) {
			continue
		}
		if n := e.cachedTokens(t); n > s.cached {
			s = kvSource{t, n}
		}
	}
	return s
}

// prefix returns the prompt tokens that t needn't compute and, when moving
// them from another engine is quicker than computing them, that engine.
func (e *environment) prefix(t *Target, rate float64) (tokens int, from string) {
	own := e.cachedTokens(t)
	gain := e.source.cached - own
	if e.source.t == nil || e.source.t == t || gain <= 0 {
		return own, ""
	}
	if e.moveTime(e.source.cached) < float64(gain)/rate {
		return e.source.cached, e.source.t.Name
	}
	return own, ""
}

// cachedTokens leaves at least one token to compute, which gives the first
// output token.
func (e *environment) cachedTokens(t *Target) int {
	if t.CachedTokens == nil || len(e.r.Prefix) == 0 {
		return 0
	}
	n := t.CachedTokens(e.r.Prefix)
	return max(min(n, e.r.PromptTokens-1), 0)
}

// moveTime is the seconds to move the KV cache of n tokens; 0 when KV isn't moved.
func (e *environment) moveTime(n int) float64 {
	if e.opts.KVMoveRate <= 0 {
		return 0
	}
	return e.opts.KVMoveDelay.Seconds() + float64(n)/e.opts.KVMoveRate
}
