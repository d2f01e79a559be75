package routing

// kvSource is a live target and the number of leading prompt tokens in its cache.
type kvSource struct {
	target *Target
	cached int
}

// bestSource returns the live engine with the longest cached prefix of the
// prompt. Changing and suspect engines are not used as a source.
func (e *environment) bestSource(targets []Target) kvSource {
	var s kvSource
	if e.opts.KVTransferRate <= 0 || len(e.req.Prefix) == 0 {
		return s
	}
	for i := range targets {
		t := &targets[i]
		if !t.Live || t.Changing || t.Suspect || !servesModel(e.req, t) {
			continue
		}
		if n := e.cachedTokens(t); n > s.cached {
			s = kvSource{t, n}
		}
	}
	return s
}

// reusablePrefix returns the number of prompt tokens that t doesn't have to
// compute. If transferring them from another engine is faster than computing
// them, it also returns that engine's name.
func (e *environment) reusablePrefix(t *Target, rate float64) (tokens int, from string) {
	own := e.cachedTokens(t)
	gain := e.source.cached - own
	if e.source.target == nil || e.source.target == t || gain <= 0 {
		return own, ""
	}
	if e.transferTime(e.source.cached) < float64(gain)/rate {
		return e.source.cached, e.source.target.Name
	}
	return own, ""
}

// cachedTokens returns the number of prompt tokens cached on t. It is less than
// the whole prompt: the engine has to compute at least one token to produce the
// first output token.
func (e *environment) cachedTokens(t *Target) int {
	if t.CachedTokens == nil || len(e.req.Prefix) == 0 {
		return 0
	}
	n := t.CachedTokens(e.req.Prefix)
	return max(min(n, e.req.PromptTokens-1), 0)
}

// transferTime returns the seconds needed to transfer the KV cache of n tokens,
// or 0 if transfers are not possible.
func (e *environment) transferTime(n int) float64 {
	if e.opts.KVTransferRate <= 0 {
		return 0
	}
	return e.opts.KVTransferDelay.Seconds() + float64(n)/e.opts.KVTransferRate
}
