package routing

// isLive reports whether the target takes new requests: it is reachable and
// neither leaving, drained nor reconfiguring.
func isLive(t *Target) bool { return t.Live && !t.Changing }
