package routing

// otherZone is the score of a target in another availability zone. The round
// trip is in the expected finish; this adds a preference when times are equal.
const otherZone = 0.99

func scoreZone(e *environment, c *candidate) float64 {
	if e.r.Zone == "" || c.t.Zone == e.r.Zone {
		return 1
	}
	return otherZone
}
