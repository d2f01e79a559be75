package routing

// hasCapacity reports whether the target has fewer requests than its limit. The
// requests of other processes are known only from its load report. A limit of 0
// means no limit.
func hasCapacity(t *Target) bool { return t.Limit <= 0 || requestsAt(t) < t.Limit }

// requestsAt estimates the number of requests at the target. Requests sent since
// the report may have ended already, so at most the number in flight is added.
func requestsAt(t *Target) int {
	reported := t.Load.Running + t.Load.Waiting + min(t.SentCount, t.InFlight)
	return max(reported, t.InFlight)
}
