package routing

import "slices"

// isExcluded reports whether an earlier attempt of the request used the target.
func isExcluded(r *Request, t *Target) bool { return slices.Contains(r.Exclude, t.Name) }
