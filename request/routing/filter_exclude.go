package routing

import "slices"

// isExcluded holds back targets that an earlier attempt of the request used.
func isExcluded(r *Request, t *Target) bool { return slices.Contains(r.Exclude, t.Name) }
