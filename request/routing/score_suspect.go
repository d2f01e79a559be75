package routing

// suspectScore is what a target with silent connections keeps: it is used when
// all others are much slower or gone, since the suspicion may be wrong.
const suspectScore = 0.1

func scoreSuspect(e *environment, c *candidate) float64 {
	if c.t.Suspect {
		return suspectScore
	}
	return 1
}

// scorers each give a value in [0,1]; their product is the score.
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
