package routing

// servesModel passes targets that hold the request's model and adapter. An
// engine holds one adapter at a time, and none serves the bare model too.
func servesModel(r *Request, t *Target) bool {
	return t.Model == r.Model && t.Adapter == r.Adapter
}
