package routing

// idleIfExclusive reports whether t is idle, if r must run alone. A request
// suspected of crashing targets runs alone so that a crash fails no other
// request.
func idleIfExclusive(r *Request, t *Target) bool { return !r.Exclusive || requestsAt(t) == 0 }
