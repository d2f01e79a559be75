package attempt

import (
	"context"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
)

// place is where an attempt goes.
type place struct {
	t       routing.Target
	d       routing.Decision
	release func(finished bool) // of the claim of the target
}

// place chooses the target of the next attempt. Suspect content also claims
// it, and goes elsewhere when other suspect content is there: at a death the
// innocent one of two would be taken for guilty.
func (u *run) place(ctx context.Context) (place, error) {
	u.held = nil
	for {
		t, d, err := u.choose()
		if err != nil && len(u.held) > 0 {
			err = code.Wrap(code.CrashSuspect, err, "other suspect content runs at %d targets", len(u.held)).After(retryAfter)
		}
		if err != nil {
			return place{}, err
		}
		if release, ok := u.claimTarget(ctx, t.Name); ok {
			return place{t: t, d: d, release: release}, nil
		}
		u.held = append(u.held, t.Name)
	}
}

func (u *run) claimTarget(ctx context.Context, target string) (func(bool), bool) {
	claimer, ok := u.opts.Quarantine.(quarantine.Claimer)
	if !ok || !u.suspect {
		return func(bool) {}, true
	}
	return claimer.ClaimTarget(ctx, u.q.Fingerprint, target)
}

// attemptAt makes one try, and gives the target back however it ends.
func (u *run) attemptAt(ctx context.Context, p place) *failure.Failure {
	finished := false
	defer func() { p.release(finished) }()
	f := u.attempt(ctx, p.t, p.d)
	finished = f == nil
	return f
}
