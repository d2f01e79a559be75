package routing

// otherZoneScore is the score of a target in another availability zone. The
// expected finish time already includes the round trip; the score only prefers
// the own zone at equal times.
const otherZoneScore = 0.99

func scoreZone(e *environment, c *candidate) float64 {
	if e.req.Zone == "" || c.target.Zone == e.req.Zone {
		return 1
	}
	return otherZoneScore
}
