package quarantine

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	// claimTTL limits a claim that its process does not release.
	claimTTL = 2 * time.Minute
	// maxSharedRuns limits the SuspectShared contents that one process runs at the
	// same time, so that few of them run on the same target and are convicted
	// together.
	maxSharedRuns = 1
)

// precedes reports whether k takes precedence over other. A confirmed claim
// does, otherwise the one of the lower incarnation.
func (k claim) precedes(other claim) bool {
	if k.confirmed != other.confirmed {
		return k.confirmed
	}
	return k.by < other.by
}

// Claim implements Claimer.
//
// It guards against a caller that sends suspect content to all daemons at once:
// each daemon would run it alone, and each would lose a target. A claim is
// granted once all reachable peers know it and none has a claim that takes
// precedence. Two processes that claim at the same time learn of each other
// before either runs the content, by the broadcast or by the replies to it, and
// the higher incarnation withdraws.
func (b *CrashTracker) Claim(ctx context.Context, fp uint64) (func(finished bool), bool) {
	updates, shared, ok := b.propose(fp)
	if !ok {
		counts.Add("claims_refused", 1)
		return nil, false
	}
	if updates == nil {
		return func(bool) {}, true
	}
	b.broadcast(updates)
	if ctx.Err() != nil || !b.confirm(fp) {
		b.release(fp, shared, false)
		counts.Add("claims_refused", 1)
		return nil, false
	}
	var once sync.Once
	return func(finished bool) { once.Do(func() { b.release(fp, shared, finished) }) }, true
}

// counterClaim answers a peer's claim with a claim of this process if the
// content is already in flight here, sent before any crash was known.
//
// It guards against the loss of a third target: the content runs on two targets,
// one dies, and the daemon of that target would run the content again alone
// while the other target is still about to die.
func (b *CrashTracker) counterClaim(c *content, k claim, now time.Time) bool {
	if k.by == b.o.Self || !now.Before(k.until) || c.claim.local && now.Before(c.claim.until) || !b.isRunning(c.fp) {
		return false
	}
	b.claimSeq++
	c.claim = claim{by: b.o.Self, seq: b.claimSeq, local: true, running: true, confirmed: true, until: now.Add(claimTTL)}
	return true
}

func (b *CrashTracker) isRunning(fp uint64) bool {
	for _, m := range b.targets {
		if m[fp] > 0 {
			return true
		}
	}
	return false
}

// endRunningClaim ends the claim of a content that was in flight and no longer
// is.
func (b *CrashTracker) endRunningClaim(fp uint64, now time.Time) {
	c := b.contents[fp]
	if c == nil || !c.claim.running || b.isRunning(fp) {
		return
	}
	until := now.Add(settleTime)
	if !until.Before(c.claim.until) {
		return
	}
	c.claim.until = until
	b.enqueue([]*peerpb.Conviction{claimUpdate(c, now)})
}

// encode returns the claim in the form used as the target of an update.
// parseClaim is the inverse.
func (k claim) encode() string { return claimPrefix + k.by + "#" + strconv.FormatUint(k.seq, 10) }

func parseClaim(target string) (claim, bool) {
	name, ok := strings.CutPrefix(target, claimPrefix)
	i := strings.LastIndexByte(name, '#')
	if !ok || i < 0 {
		return claim{}, false
	}
	seq, err := strconv.ParseUint(name[i+1:], 10, 64)
	return claim{by: name[:i], seq: seq}, err == nil
}

// propose adds a claim and returns the update about it. It returns no update and
// true if the content needs no claim. shared is true if the content runs beside
// other requests.
func (b *CrashTracker) propose(fp uint64) (updates []*peerpb.Conviction, shared, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	c := b.contents[fp]
	if c == nil {
		return nil, false, true
	}
	standing, _ := c.status(now)
	switch {
	case standing == Clear:
		return nil, false, true
	case standing == Convicted || now.Before(c.claim.until):
		return nil, false, false
	case standing == SuspectShared && b.sharedRuns >= maxSharedRuns:
		return nil, false, false
	}
	if standing == SuspectShared {
		b.sharedRuns++
	}
	b.claimSeq++
	c.claim = claim{
		by:    b.o.Self,
		seq:   b.claimSeq,
		local: true,
		until: now.Add(claimTTL),
	}
	return []*peerpb.Conviction{claimUpdate(c, now)}, standing == SuspectShared, true
}

func (b *CrashTracker) confirm(fp uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	c := b.contents[fp]
	if c == nil {
		return true
	}
	if now.Before(c.convictedUntil) || !c.claim.local {
		return false
	}
	c.claim.confirmed = true
	return true
}

// release ends a claim after settleTime, in which a crash may still be noticed,
// and informs the peers.
func (b *CrashTracker) release(fp uint64, shared, finished bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	if shared {
		b.sharedRuns--
	}
	c := b.contents[fp]
	if c == nil || !c.claim.local {
		return
	}
	c.claim.until = now.Add(settleTime)
	if finished {
		c.clearAt = c.claim.until
		b.pendingClears = append(b.pendingClears, fp)
	}
	b.enqueue([]*peerpb.Conviction{claimUpdate(c, now)})
}

// clearFinished clears the contents that ran exclusively and finished.
func (b *CrashTracker) clearFinished(now time.Time) {
	kept := b.pendingClears[:0]
	for _, fp := range b.pendingClears {
		c := b.contents[fp]
		if c == nil || c.clearAt.IsZero() {
			continue
		}
		if now.Before(c.clearAt) {
			kept = append(kept, fp)
			continue
		}
		c.clearAt = time.Time{}
		c.dismissCrashes()
		b.enqueue(b.contentUpdates(c, now))
		counts.Add("cleared", 1)
	}
	b.pendingClears = kept
}
