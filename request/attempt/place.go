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
func (r *run) place(ctx context.Context) (placement, error) {
	r.claimedElsewhere = nil
	for {
		t, d, err := r.choose()
		if err != nil && len(r.claimedElsewhere) > 0 {
			err = code.Wrap(code.CrashSuspect, err, "other suspect content runs at %d targets", len(r.claimedElsewhere)).WithRetryAfter(retryAfter)
		}
		if err != nil {
			return placement{}, err
		}
		if release, ok := r.claimTarget(ctx, t.Name); ok {
			return placement{target: t, decision: d, release: release}, nil
		}
		r.claimedElsewhere = append(r.claimedElsewhere, t.Name)
	}
}

func (r *run) claimTarget(ctx context.Context, target string) (func(bool), bool) {
	claimer, ok := r.opts.Quarantine.(quarantine.Claimer)
	if !ok || !r.suspect {
		return func(bool) {}, true
	}
	return claimer.ClaimTarget(ctx, r.q.Fingerprint, target)
}

// attemptAndRelease makes one attempt and releases the target when it ends.
func (r *run) attemptAndRelease(ctx context.Context, p placement) *failure.Failure {
	finished := false
	defer func() { p.release(finished) }()
	f := r.attempt(ctx, p.target, p.decision)
	finished = f == nil
	return f
}
