package routing

// hasRoom passes targets with a place below their limit. What other processes
// sent is known from the report only. A limit of 0 means none.
func hasRoom(t *Target) bool { return t.Limit <= 0 || requestsAt(t) < t.Limit }

// requestsAt is the number of requests believed at the target. Those sent since the report
// may have ended already, so they count only as far as they are in flight.
func requestsAt(t *Target) int {
	reported := t.Load.Running + t.Load.Waiting + min(t.SentCount, t.InFlight)
	return max(reported, t.InFlight)
}
