package quarantine

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	// targetMark begins the target of news about a claim of a target, whose key
	// is the fingerprint of the news.
	targetMark      = claimMark + claimMark
	maxTargetClaims = 1024
)

// targetClaim is the right to run suspect content at a target.
type targetClaim struct {
	claim
	fp uint64 // the content that runs, if the claim is of this process
}

// targetKey is what a target is called in news of claims.
func targetKey(target string) uint64 { return Fingerprint(claimMark, target, nil) }

// ClaimTarget implements Claimer.
//
// The guard is against an innocent that is convicted with the guilty content:
// both are suspect, two daemons choose the same idle target for them at once,
// and its death is the second of both. It shows as an error on a request that
// harms nothing, and a refusal for 10 minutes. Two that claim at once learn of
// each other as with Claim; claims of targets are told by their owner only, so
// that nobody else's word brings an old one back.
func (b *Book) ClaimTarget(ctx context.Context, fp uint64, target string) (func(finished bool), bool) {
	key := targetKey(target)
	k, ok := b.proposeTarget(key, fp)
	if !ok {
		counts.Add("target_claims_refused", 1)
		return nil, false
	}
	b.send([]*peerpb.Conviction{k.news(key, b.o.Now())})
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

func (b *Book) proposeTarget(key, fp uint64) (targetClaim, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	b.sweepTargets(now)
	old, known := b.claimed[key]
	if now.Before(old.until) || !known && len(b.claimed) >= maxTargetClaims {
		return targetClaim{}, false
	}
	b.claims++
	k := targetClaim{fp: fp, claim: claim{by: b.o.Self, seq: b.claims, own: true, until: now.Add(claimFor)}}
	b.claimed[key] = k
	return k, true
}

func (b *Book) confirmTarget(key uint64, k targetClaim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.claimed[key]
	if !held.own || held.seq != k.seq {
		return false
	}
	held.confirmed = true
	b.claimed[key] = held
	return true
}

// releaseTarget ends a claim, and tells the peers. One that was lost to a peer
// is told too: others may have heard of it before they heard of the better one.
func (b *Book) releaseTarget(key uint64, k targetClaim, hold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	held := b.claimed[key]
	mine := held.own && held.seq == k.seq
	if mine {
		k = held
	}
	k.until = now.Add(hold)
	if mine {
		b.claimed[key] = k
	}
	b.post([]*peerpb.Conviction{k.news(key, now)})
}

// mergeTarget takes a peer's word about its claim of a target.
func (b *Book) mergeTarget(n *peerpb.Conviction, now time.Time) {
	k, ok := readMark(strings.TrimPrefix(n.Target, claimMark))
	if !ok || k.by == b.o.Self {
		return
	}
	k.until = now.Add(min(time.Duration(n.TtlMs)*time.Millisecond, claimFor))
	k.confirmed = n.Crashes > 0
	if len(b.claimed) >= maxTargetClaims {
		b.sweepTargets(now)
	}
	old, known := b.claimed[n.Fingerprint]
	switch {
	case !known && len(b.claimed) >= maxTargetClaims:
		counts.Add("book_full", 1)
		return
	case old.by == k.by:
		old.refresh(k)
	case old.yields(k, now):
		old = targetClaim{claim: k}
	}
	b.claimed[n.Fingerprint] = old
}

// sweepTargets forgets claims that ended. It does so a while later: news that
// is still on its way would bring them back.
func (b *Book) sweepTargets(now time.Time) {
	for key, k := range b.claimed {
		if now.Sub(k.until) > newsLag {
			delete(b.claimed, key)
		}
	}
}

// targetNews tells of the claims of this process, as many as fit.
func (b *Book) targetNews(now time.Time) []*peerpb.Conviction {
	var out []*peerpb.Conviction
	b.sweepTargets(now)
	for key, k := range b.claimed {
		if k.own && len(out) < maxNews {
			out = append(out, k.news(key, now))
		}
	}
	return out
}

func (k targetClaim) news(key uint64, now time.Time) *peerpb.Conviction {
	n := claimNews(&content{fp: key, claim: k.claim}, now)
	n.Target = claimMark + n.Target
	return n
}

// outlived reports whether the content left the target, and other suspect
// content has the claim of it since. The later one explains a death better:
// an innocent that was just answered there isn't convicted by it.
func (b *Book) outlived(fp uint64, d death) bool {
	k := b.claimed[targetKey(d.target)]
	return b.targets[d.target][fp] == 0 && d.at.Before(k.until) && !(k.own && k.fp == fp)
}
