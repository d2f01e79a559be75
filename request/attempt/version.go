package attempt

import (
	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/routing"
)

// resumedVersion returns the model version of the answer that a request goes on with.
// If the request doesn't state it, it is known only if all engines of the model have
// the same one.
func resumedVersion(q *Request, targets []routing.Target) (version string, err error) {
	if q.ResumedVersion != nil {
		return statedVersion(q, targets)
	}
	first := true
	for i := range targets {
		t := &targets[i]
		if t.Model != q.Route.Model || t.Adapter != q.Route.Adapter {
			continue
		}
		if !first && t.Version != version {
			return "", code.New(code.OriginUnknown, "versions %q and %q of model %q are served", version, t.Version, q.Route.Model).WithRetryAfter(retryAfter)
		}
		version, first = t.Version, false
	}
	return version, nil
}

// statedVersion returns the version that the request states, if an engine of the model
// has it.
func statedVersion(q *Request, targets []routing.Target) (string, error) {
	stated := *q.ResumedVersion
	for i := range targets {
		t := &targets[i]
		if t.Model == q.Route.Model && t.Adapter == q.Route.Adapter && t.Version == stated {
			return stated, nil
		}
	}
	return "", code.New(code.OriginGone, "version %q of model %q isn't served", stated, q.Route.Model).WithRetryAfter(retryAfter)
}

// bindVersion binds the rest of the request to the model version of the target that
// made the tokens the caller has.
func (r *run) bindVersion(version string) {
	if r.version == nil {
		r.version = &version
	}
}

// ofVersion returns the targets with the model version, or all if it is nil.
func ofVersion(targets []routing.Target, version *string) []routing.Target {
	if version == nil {
		return targets
	}
	var out []routing.Target
	for i := range targets {
		if targets[i].Version == *version {
			out = append(out, targets[i])
		}
	}
	return out
}
