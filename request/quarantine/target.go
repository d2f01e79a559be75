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
	fp uint64 // content that runs, if the claim was made by this process
}

// targetKey returns the key that identifies a target in updates about claims.
func targetKey(target string) uint64 { return Fingerprint(claimPrefix, target, nil) }

// ClaimTarget implements Claimer.
//
// It guards against harmless content that is convicted together with the content
// that crashes targets: both are suspect, two daemons choose the same idle
// target for them at once, and its death counts as the second crash of both. The
// symptom is an error on a harmless request, which is then refused for 10
// minutes. Two processes that claim at once learn of each other as described at
// Claim. Only the owner sends updates about a claim of a target, so that no
// other process can restore an old one.
func (t *CrashTracker) ClaimTarget(ctx context.Context, fp uint64, target string) (func(finished bool), bool) {
	key := targetKey(target)
	k, ok := t.proposeTarget(key, fp)
	if !ok {
		counts.Add("target_claims_refused", 1)
		return nil, false
	}
	t.broadcast([]*peerpb.Conviction{k.update(key, t.o.Now())})
	if ctx.Err() != nil || !t.confirmTarget(key, k) {
		t.releaseTarget(key, k, 0)
		counts.Add("target_claims_refused", 1)
		return nil, false
	}
	var once sync.Once
	return func(finished bool) {
		hold := settleTime
		if finished {
			hold = 0
		}
		once.Do(func() { t.releaseTarget(key, k, hold) })
	}, true
}

func (t *CrashTracker) proposeTarget(key, fp uint64) (targetClaim, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	t.sweepTargets(now)
	old, known := t.targetClaims[key]
	if now.Before(old.until) || !known && len(t.targetClaims) >= maxTargetClaims {
		return targetClaim{}, false
	}
	t.claimSeq++
	k := targetClaim{fp: fp, claim: claim{by: t.o.Self, seq: t.claimSeq, local: true, until: now.Add(claimTTL)}}
	t.targetClaims[key] = k
	return k, true
}

func (t *CrashTracker) confirmTarget(key uint64, k targetClaim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.targetClaims[key]
	if !held.local || held.seq != k.seq {
		return false
	}
	held.confirmed = true
	t.targetClaims[key] = held
	return true
}

// releaseTarget ends a claim and informs the peers. It also does so for a claim
// that lost to one of a peer, because other peers may have received it before
// the winning one.
func (t *CrashTracker) releaseTarget(key uint64, k targetClaim, hold time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	held := t.targetClaims[key]
	owned := held.local && held.seq == k.seq
	if owned {
		k = held
	}
	k.until = now.Add(hold)
	if owned {
		t.targetClaims[key] = k
	}
	t.enqueue([]*peerpb.Conviction{k.update(key, now)})
}

// mergeTarget applies a peer's update about its claim of a target.
func (t *CrashTracker) mergeTarget(n *peerpb.Conviction, now time.Time) {
	k, ok := parseClaim(strings.TrimPrefix(n.Target, claimPrefix))
	if !ok || k.by == t.o.Self {
		return
	}
	k.until = now.Add(min(time.Duration(n.TtlMs)*time.Millisecond, claimTTL))
	k.confirmed = n.Crashes > 0
	if len(t.targetClaims) >= maxTargetClaims {
		t.sweepTargets(now)
	}
	old, known := t.targetClaims[n.Fingerprint]
	switch {
	case !known && len(t.targetClaims) >= maxTargetClaims:
		counts.Add("book_full", 1)
		return
	case old.by == k.by:
		old.refresh(k)
	case old.replacedBy(k, now):
		old = targetClaim{claim: k}
	}
	t.targetClaims[n.Fingerprint] = old
}

// sweepTargets removes ended claims after maxUpdateDelay, because an update that
// is still in transit could restore them.
func (t *CrashTracker) sweepTargets(now time.Time) {
	for key, k := range t.targetClaims {
		if now.Sub(k.until) > maxUpdateDelay {
			delete(t.targetClaims, key)
		}
	}
}

// targetClaimUpdates returns updates about the claims of this process, at most
// maxContentUpdates.
func (t *CrashTracker) targetClaimUpdates(now time.Time) []*peerpb.Conviction {
	var out []*peerpb.Conviction
	t.sweepTargets(now)
	for key, k := range t.targetClaims {
		if k.local && len(out) < maxContentUpdates {
			out = append(out, k.update(key, now))
		}
	}
	return out
}

func (k targetClaim) update(key uint64, now time.Time) *peerpb.Conviction {
	n := claimUpdate(&content{fp: key, claim: k.claim}, now)
	n.Target = claimPrefix + n.Target
	return n
}

// explainedByOther reports whether the content has left the target and other
// suspect content has claimed the target since. The later content explains a
// death better, so harmless content that was just answered there is not
// convicted.
func (t *CrashTracker) explainedByOther(fp uint64, d death) bool {
	k := t.targetClaims[targetKey(d.target)]
	return t.targets[d.target][fp] == 0 && d.at.Before(k.until) && !(k.local && k.fp == fp)
}
