package routing

// mayRunAlone keeps a request that is suspected of crashing targets away from
// every other request, so that a crash takes nothing else with it.
func mayRunAlone(r *Request, t *Target) bool { return !r.Alone || requestsAt(t) == 0 }
