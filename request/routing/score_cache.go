package routing

// cacheWeight is small: the time that cached tokens save is in the expected
// finish already. It keeps a prompt where it is cached when times are equal, so
// that the fleet's cache memory isn't spent on copies.
const cacheWeight = 0.05

func scoreCache(e *environment, c *candidate) float64 {
	if e.plain || e.r.PromptTokens <= 0 || c.est.kvFrom != "" {
		return 1 - cacheWeight
	}
	share := float64(c.est.cached) / float64(e.r.PromptTokens)
	return 1 - cacheWeight*(1-share)
}
