package routing

// servesModel reports whether the target serves the request's model and adapter.
// An engine has at most one adapter loaded, and with an adapter loaded it
// doesn't serve the base model.
func servesModel(r *Request, t *Target) bool {
	return t.Model == r.Model && t.Adapter == r.Adapter
}
