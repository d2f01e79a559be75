package routing

// suspectScore is the score of a target whose connections made no progress. It
// is not 0, as the suspicion may be wrong: the target is still used when all
// others are much slower or unavailable.
const suspectScore = 0.1

func scoreSuspect(e *environment, c *candidate) float64 {
	if c.target.Suspect {
		return suspectScore
	}
	return 1
}

// scorers return values in [0,1] each. The score of a candidate is their product.
var scorers = []func(*environment, *candidate) float64{
	scoreFinish,
	scoreCache,
	scoreZone,
	scoreRole,
	scoreSuspect,
}

func (e *environment) score(c *candidate) float64 {
	s := 1.0
	for _, f := range scorers {
		s *= f(e, c)
	}
	return s
}
