package quarantine

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	// targetClaimPrefix starts the target of an update about a claim of a
	// target. The Fingerprint field of such an update holds the key of the
	// target.
	targetClaimPrefix = claimPrefix + claimPrefix
	maxTargetClaims   = 1024
)

// targetClaim is the right to run suspect content on a target.
type targetClaim struct {
	claim
	fp Fingerprint // content that runs, if the claim was made by this process
}

// targetKey returns the key that identifies a target in updates about claims.
func targetKey(target string) Fingerprint {
	r := Request{Scope: claimPrefix, Path: target}
	return r.Fingerprint()
}

// ClaimTarget implements Claimer.
//
// It guards against harmless content that is convicted together with the content
// that crashes targets: both are suspect, two daemons choose the same idle
// target for them at once, and its crash counts as the second crash of both. The
// symptom is an error on a harmless request, which is then refused for 10
// minutes. Two processes that claim at once learn of each other as described at
// Claim. Only the owner sends updates about a claim of a target, so that no
// other process can restore an old one.
func (t *CrashTracker) ClaimTarget(ctx context.Context, fp Fingerprint, target string) (func(finished bool), bool) {
	key := targetKey(target)
	cl, ok := t.proposeTarget(key, fp)
	if !ok {
		counts.Add("target_claims_refused", 1)
		return nil, false
	}
	t.broadcast([]*peerpb.Conviction{cl.update(key, t.o.Now())})
	if ctx.Err() != nil || !t.confirmTarget(key, cl) {
		t.releaseTarget(key, cl, 0)
		counts.Add("target_claims_refused", 1)
		return nil, false
	}
	var once sync.Once
	return func(finished bool) {
		hold := settleTime
		if finished {
			hold = 0
		}
		once.Do(func() { t.releaseTarget(key, cl, hold) })
	}, true
}

func (t *CrashTracker) proposeTarget(key, fp Fingerprint) (targetClaim, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	t.sweepTargets(now)
	old, known := t.targetClaims[key]
	if now.Before(old.until) || !known && len(t.targetClaims) >= maxTargetClaims {
		return targetClaim{}, false
	}
	t.claimSeq++
	cl := targetClaim{fp: fp, claim: claim{by: t.o.Self, seq: t.claimSeq, local: true, until: now.Add(claimTTL)}}
	t.targetClaims[key] = cl
	return cl, true
}

func (t *CrashTracker) confirmTarget(key Fingerprint, cl targetClaim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.targetClaims[key]
	if !held.local || held.seq != cl.seq {
		return false
	}
	held.confirmed = true
	t.targetClaims[key] = held
	return true
}

// releaseTarget ends a claim and informs the peers. It also does so for a claim
// that lost to one of a peer, because other peers may have received it before
// the winning one.
func (t *CrashTracker) releaseTarget(key Fingerprint, cl targetClaim, hold time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	held := t.targetClaims[key]
	owned := held.local && held.seq == cl.seq
	if owned {
		cl = held
	}
	cl.until = now.Add(hold)
	if owned {
		t.targetClaims[key] = cl
	}
	t.enqueue([]*peerpb.Conviction{cl.update(key, now)})
}

// mergeTarget applies a peer's update about its claim of a target.
func (t *CrashTracker) mergeTarget(u *peerpb.Conviction, now time.Time) {
	cl, ok := parseClaim(strings.TrimPrefix(u.Target, claimPrefix))
	if !ok || cl.by == t.o.Self {
		return
	}
	cl.until = now.Add(min(time.Duration(u.TtlMs)*time.Millisecond, claimTTL))
	cl.confirmed = u.Crashes > 0
	if len(t.targetClaims) >= maxTargetClaims {
		t.sweepTargets(now)
	}
	key := parseFingerprint(u.Fingerprint)
	old, known := t.targetClaims[key]
	switch {
	case !known && len(t.targetClaims) >= maxTargetClaims:
		counts.Add("book_full", 1)
		return
	case old.by == cl.by:
		old.refresh(cl)
	case old.replacedBy(cl, now):
		old = targetClaim{claim: cl}
	}
	t.targetClaims[key] = old
}

// sweepTargets removes ended claims after maxUpdateDelay, because an update that
// is still in transit could restore them.
func (t *CrashTracker) sweepTargets(now time.Time) {
	for key, cl := range t.targetClaims {
		if now.Sub(cl.until) > maxUpdateDelay {
			delete(t.targetClaims, key)
		}
	}
}

// targetClaimUpdates returns updates about the claims of this process, at most
// maxContentUpdates.
func (t *CrashTracker) targetClaimUpdates(now time.Time) []*peerpb.Conviction {
	var out []*peerpb.Conviction
	t.sweepTargets(now)
	for key, cl := range t.targetClaims {
		if cl.local && len(out) < maxContentUpdates {
			out = append(out, cl.update(key, now))
		}
	}
	return out
}

func (cl targetClaim) update(key Fingerprint, now time.Time) *peerpb.Conviction {
	u := claimUpdate(&content{fp: key, claim: cl.claim}, now)
	u.Target = claimPrefix + u.Target
	return u
}

// explainedByOther reports whether the content has left the target and other
// suspect content has claimed the target since. The later content explains a
// crash better, so harmless content that was just answered there is not
// convicted.
func (t *CrashTracker) explainedByOther(fp Fingerprint, tc targetCrash) bool {
	cl := t.targetClaims[targetKey(tc.target)]
	return len(t.targets[tc.target][fp]) == 0 && tc.at.Before(cl.until) && !(cl.local && cl.fp == fp)
}
