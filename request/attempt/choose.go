package attempt

import (
	"errors"
	"slices"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/routing"
)

// Choose returns the routing decision for q and the targets that it is based on.
func (r *Runner) Choose(q *Request) (routing.Decision, []routing.Target, error) {
	targets := r.opts.Targets.Targets(q.Service)
	if q.Resumes {
		if _, err := resumedVersion(q, targets); err != nil {
			return routing.Decision{}, targets, err
		}
	}
	d, err := r.opts.Router.Route(q.Route, targets)
	return d, targets, err
}

// choose selects the target of the next attempt. It prefers targets that were
// not tried yet, in another availability zone than the last failure, and falls
// back to a target that failed before. Targets claimed by other suspect content
// are left out; while there are such targets, choose returns an error, so that
// the caller waits for them, rather than fall back to a failed one.
func (r *run) choose() (routing.Target, routing.Decision, error) {
	targets := ofVersion(without(r.opts.Targets.Targets(r.q.Service), r.claimedElsewhere), r.version)
	if r.nextDecision != nil && !r.route.Exclusive {
		if t, ok := find(targets, r.nextDecision.Target); ok && t.Live {
			return t, *r.nextDecision, nil
		}
	}
	r.route.Deadline = r.q.Deadline.Sub(r.opts.Now())
	d, err := r.routeElsewhere(targets)
	if err != nil && len(r.route.Exclude) > 0 && len(r.claimedElsewhere) == 0 {
		all := r.route
		all.Exclude = nil
		d, err = r.opts.Router.Route(all, targets)
	}
	if err != nil {
		return routing.Target{}, d, r.exclusiveError(err)
	}
	t, ok := find(targets, d.Target)
	if !ok {
		return t, d, code.New(code.NoTarget, "routing named %q", d.Target)
	}
	return t, d, nil
}

func (r *run) routeElsewhere(targets []routing.Target) (routing.Decision, error) {
	if r.failedZone == "" {
		return r.opts.Router.Route(r.route, targets)
	}
	var otherZones []routing.Target
	for _, t := range targets {
		if t.Zone != r.failedZone {
			otherZones = append(otherZones, t)
		}
	}
	if d, err := r.opts.Router.Route(r.route, otherZones); err == nil {
		return d, nil
	}
	return r.opts.Router.Route(r.route, targets)
}

// exclusiveError replaces code.Overloaded with code.CrashSuspect for content that
// has to run alone.
func (r *run) exclusiveError(err error) error {
	if !r.route.Exclusive {
		return err
	}
	var ce *code.Error
	if errors.As(err, &ce) && ce.Code == code.Overloaded {
		return code.Wrap(code.CrashSuspect, err, "").WithRetryAfter(retryAfter)
	}
	return err
}

// without returns the targets whose names are not in names.
func without(targets []routing.Target, names []string) []routing.Target {
	if len(names) == 0 {
		return targets
	}
	var out []routing.Target
	for _, t := range targets {
		if !slices.Contains(names, t.Name) {
			out = append(out, t)
		}
	}
	return out
}

func find(targets []routing.Target, name string) (routing.Target, bool) {
	for _, t := range targets {
		if t.Name == name {
			return t, true
		}
	}
	return routing.Target{}, false
}
