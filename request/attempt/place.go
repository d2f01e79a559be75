package attempt

import (
	"context"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
)

// placement is the target of an attempt.
type placement struct {
	target   routing.Target
	decision routing.Decision
	release  func(finished bool) // releases the claim on the target
}

// place selects the target of the next attempt. For suspect content it also
// claims the target, and selects another one if other suspect content has
// claimed it: if two of them shared a target that crashes, the one that didn't
// cause the crash would be blamed as well.
func (u *run) place(ctx context.Context) (placement, error) {
	u.claimedElsewhere = nil
	for {
		t, d, err := u.choose()
		if err != nil && len(u.claimedElsewhere) > 0 {
			err = code.Wrap(code.CrashSuspect, err, "other suspect content runs at %d targets", len(u.claimedElsewhere)).WithRetryAfter(retryAfter)
		}
		if err != nil {
			return placement{}, err
		}
		if release, ok := u.claimTarget(ctx, t.Name); ok {
			return placement{target: t, decision: d, release: release}, nil
		}
		u.claimedElsewhere = append(u.claimedElsewhere, t.Name)
	}
}

func (u *run) claimTarget(ctx context.Context, target string) (func(bool), bool) {
	claimer, ok := u.opts.Quarantine.(quarantine.Claimer)
	if !ok || !u.suspect {
		return func(bool) {}, true
	}
	return claimer.ClaimTarget(ctx, u.q.Fingerprint, target)
}

// attemptAndRelease makes one attempt and releases the target when it ends.
func (u *run) attemptAndRelease(ctx context.Context, p placement) *failure.Failure {
	finished := false
	defer func() { p.release(finished) }()
	f := u.attempt(ctx, p.target, p.decision)
	finished = f == nil
	return f
}
