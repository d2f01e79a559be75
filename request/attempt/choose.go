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
	d, err := r.opts.Router.Route(q.Route, targets)
	return d, targets, err
}

// choose selects the target of the next attempt. It prefers targets that were
// not tried yet, in another availability zone than the last failure, and falls
// back to a target that failed before. Targets claimed by other suspect content
// are left out; while there are such targets, choose returns an error, so that
// the caller waits for them, rather than fall back to a failed one.
func (u *run) choose() (routing.Target, routing.Decision, error) {
	targets := without(u.opts.Targets.Targets(u.q.Service), u.claimedElsewhere)
	if u.nextDecision != nil && !u.route.Exclusive {
		if t, ok := find(targets, u.nextDecision.Target); ok && t.Live {
			return t, *u.nextDecision, nil
		}
	}
	u.route.Deadline = u.q.Deadline.Sub(u.opts.Now())
	d, err := u.routeElsewhere(targets)
	if err != nil && len(u.route.Exclude) > 0 && len(u.claimedElsewhere) == 0 {
		all := u.route
		all.Exclude = nil
		d, err = u.opts.Router.Route(all, targets)
	}
	if err != nil {
		return routing.Target{}, d, u.exclusiveError(err)
	}
	t, ok := find(targets, d.Target)
	if !ok {
		return t, d, code.New(code.NoTarget, "routing named %q", d.Target)
	}
	return t, d, nil
}

func (u *run) routeElsewhere(targets []routing.Target) (routing.Decision, error) {
	if u.failedZone == "" {
		return u.opts.Router.Route(u.route, targets)
	}
	var otherZones []routing.Target
	for _, t := range targets {
		if t.Zone != u.failedZone {
			otherZones = append(otherZones, t)
		}
	}
	if d, err := u.opts.Router.Route(u.route, otherZones); err == nil {
		return d, nil
	}
	return u.opts.Router.Route(u.route, targets)
}

// exclusiveError replaces code.Overloaded with code.CrashSuspect for content that
// has to run alone.
func (u *run) exclusiveError(err error) error {
	if !u.route.Exclusive {
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
