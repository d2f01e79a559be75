package routing

// isLive passes targets that take new work: reachable, neither leaving nor
// drained, and not carrying out an order.
func isLive(t *Target) bool { return t.Live && !t.Changing }
