package routing

// cacheWeight is small because the expected finish time already includes the
// time that cached tokens save. At equal times it prefers the target that has
// the prompt cached, to avoid duplicates in the cache memory of the fleet.
const cacheWeight = 0.05

func scoreCache(e *environment, c *candidate) float64 {
	if e.plain || e.req.PromptTokens <= 0 || c.est.kvFrom != "" {
		return 1 - cacheWeight
	}
	share := float64(c.est.cached) / float64(e.req.PromptTokens)
	return 1 - cacheWeight*(1-share)
}
