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
func (b *CrashTracker) ClaimTarget(ctx context.Context, fp uint64, target string) (func(finished bool), bool) {
	key := targetKey(target)
	k, ok := b.proposeTarget(key, fp)
	if !ok {
		counts.Add("target_claims_refused", 1)
		return nil, false
	}
	b.broadcast([]*peerpb.Conviction{k.update(key, b.o.Now())})
	if ctx.Err() != nil || !b.confirmTarget(key, k) {
		b.releaseTarget(key, k, 0)
		counts.Add("target_claims_refused", 1)
		return nil, false
	}
	var once sync.Once
	return func(finished bool) {
		hold := settleTime
		if finished {
			hold = 0
		}
		once.Do(func() { b.releaseTarget(key, k, hold) })
	}, true
}

func (b *CrashTracker) proposeTarget(key, fp uint64) (targetClaim, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	b.sweepTargets(now)
	old, known := b.targetClaims[key]
	if now.Before(old.until) || !known && len(b.targetClaims) >= maxTargetClaims {
		return targetClaim{}, false
	}
	b.claimSeq++
	k := targetClaim{fp: fp, claim: claim{by: b.o.Self, seq: b.claimSeq, local: true, until: now.Add(claimTTL)}}
	b.targetClaims[key] = k
	return k, true
}

func (b *CrashTracker) confirmTarget(key uint64, k targetClaim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.targetClaims[key]
	if !held.local || held.seq != k.seq {
		return false
	}
	held.confirmed = true
	b.targetClaims[key] = held
	return true
}

// releaseTarget ends a claim and informs the peers. It also does so for a claim
// that lost to one of a peer, because other peers may have received it before
// the winning one.
func (b *CrashTracker) releaseTarget(key uint64, k targetClaim, hold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	held := b.targetClaims[key]
	owned := held.local && held.seq == k.seq
	if owned {
		k = held
	}
	k.until = now.Add(hold)
	if owned {
		b.targetClaims[key] = k
	}
	b.enqueue([]*peerpb.Conviction{k.update(key, now)})
}

// mergeTarget applies a peer's update about its claim of a target.
func (b *CrashTracker) mergeTarget(n *peerpb.Conviction, now time.Time) {
	k, ok := parseClaim(strings.TrimPrefix(n.Target, claimPrefix))
	if !ok || k.by == b.o.Self {
		return
	}
	k.until = now.Add(min(time.Duration(n.TtlMs)*time.Millisecond, claimTTL))
	k.confirmed = n.Crashes > 0
	if len(b.targetClaims) >= maxTargetClaims {
		b.sweepTargets(now)
	}
	old, known := b.targetClaims[n.Fingerprint]
	switch {
	case !known && len(b.targetClaims) >= maxTargetClaims:
		counts.Add("book_full", 1)
		return
	case old.by == k.by:
		old.refresh(k)
	case old.replacedBy(k, now):
		old = targetClaim{claim: k}
	}
	b.targetClaims[n.Fingerprint] = old
}

// sweepTargets removes ended claims after maxUpdateDelay, because an update that
// is still in transit could restore them.
func (b *CrashTracker) sweepTargets(now time.Time) {
	for key, k := range b.targetClaims {
		if now.Sub(k.until) > maxUpdateDelay {
			delete(b.targetClaims, key)
		}
	}
}

// targetClaimUpdates returns updates about the claims of this process, at most
// maxContentUpdates.
func (b *CrashTracker) targetClaimUpdates(now time.Time) []*peerpb.Conviction {
	var out []*peerpb.Conviction
	b.sweepTargets(now)
	for key, k := range b.targetClaims {
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
func (b *CrashTracker) explainedByOther(fp uint64, d death) bool {
	k := b.targetClaims[targetKey(d.target)]
	return b.targets[d.target][fp] == 0 && d.at.Before(k.until) && !(k.local && k.fp == fp)
}
