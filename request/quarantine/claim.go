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

// precedes reports whether cl takes precedence over other. A confirmed claim
// does, otherwise the one of the lower incarnation.
func (cl claim) precedes(other claim) bool {
	if cl.confirmed != other.confirmed {
		return cl.confirmed
	}
	return cl.by < other.by
}

// Claim implements Claimer.
//
// It guards against a caller that sends suspect content to all daemons at once:
// each daemon would run it alone, and each would lose a target. A claim is
// granted once all reachable peers know it and none has a claim that takes
// precedence. Two processes that claim at the same time learn of each other
// before either runs the content, by the broadcast or by the replies to it, and
// the higher incarnation withdraws.
func (t *CrashTracker) Claim(ctx context.Context, fp Fingerprint) (func(finished bool), bool) {
	updates, shared, ok := t.propose(fp)
	if !ok {
		counts.Add("claims_refused", 1)
		return nil, false
	}
	if updates == nil {
		return func(bool) {}, true
	}
	t.broadcast(updates)
	if ctx.Err() != nil || !t.confirm(fp) {
		t.release(fp, shared, false)
		counts.Add("claims_refused", 1)
		return nil, false
	}
	var once sync.Once
	return func(finished bool) { once.Do(func() { t.release(fp, shared, finished) }) }, true
}

// counterClaim answers a peer's claim with a claim of this process if the
// content is already in flight here, sent before any crash was known.
//
// It guards against the loss of a third target: the content runs on two targets,
// one crashes, and the daemon of that target would run the content again alone
// while the other target is still about to crash.
func (t *CrashTracker) counterClaim(c *content, cl claim, now time.Time) bool {
	if cl.by == t.o.Self || !now.Before(cl.until) || c.claim.local && now.Before(c.claim.until) || !t.isRunning(c.fp) {
		return false
	}
	t.claimSeq++
	c.claim = claim{by: t.o.Self, seq: t.claimSeq, local: true, running: true, confirmed: true, until: now.Add(claimTTL)}
	return true
}

func (t *CrashTracker) isRunning(fp Fingerprint) bool {
	for _, m := range t.targets {
		if len(m[fp]) > 0 {
			return true
		}
	}
	return false
}

// endRunningClaim ends the claim of a content that was in flight and no longer
// is.
func (t *CrashTracker) endRunningClaim(fp Fingerprint, now time.Time) {
	c := t.contents[fp]
	if c == nil || !c.claim.running || t.isRunning(fp) {
		return
	}
	until := now.Add(settleTime)
	if !until.Before(c.claim.until) {
		return
	}
	c.claim.until = until
	t.enqueue([]*peerpb.Conviction{claimUpdate(c, now)})
}

// encode returns the claim in the form used as the target of an update.
// parseClaim is the inverse.
func (cl claim) encode() string { return claimPrefix + cl.by + "#" + strconv.FormatUint(cl.seq, 10) }

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
func (t *CrashTracker) propose(fp Fingerprint) (updates []*peerpb.Conviction, shared, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	c := t.contents[fp]
	if c == nil {
		return nil, false, true
	}
	verdict, _ := c.verdict(now)
	switch {
	case verdict == Clear:
		return nil, false, true
	case verdict == Convicted || now.Before(c.claim.until):
		return nil, false, false
	case verdict == SuspectShared && t.sharedRuns >= maxSharedRuns:
		return nil, false, false
	}
	if verdict == SuspectShared {
		t.sharedRuns++
	}
	t.claimSeq++
	c.claim = claim{
		by:    t.o.Self,
		seq:   t.claimSeq,
		local: true,
		until: now.Add(claimTTL),
	}
	return []*peerpb.Conviction{claimUpdate(c, now)}, verdict == SuspectShared, true
}

func (t *CrashTracker) confirm(fp Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	c := t.contents[fp]
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
func (t *CrashTracker) release(fp Fingerprint, shared, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	if shared {
		t.sharedRuns--
	}
	c := t.contents[fp]
	if c == nil || !c.claim.local {
		return
	}
	c.claim.until = now.Add(settleTime)
	if finished {
		c.clearAt = c.claim.until
		t.pendingClears = append(t.pendingClears, fp)
	}
	t.enqueue([]*peerpb.Conviction{claimUpdate(c, now)})
}

// clearFinished clears the contents that ran exclusively and finished.
func (t *CrashTracker) clearFinished(now time.Time) {
	kept := t.pendingClears[:0]
	for _, fp := range t.pendingClears {
		c := t.contents[fp]
		if c == nil || c.clearAt.IsZero() {
			continue
		}
		if now.Before(c.clearAt) {
			kept = append(kept, fp)
			continue
		}
		c.clearAt = time.Time{}
		c.dismissCrashes()
		t.markUnsaved(c)
		t.enqueue(t.contentUpdates(c, now))
		counts.Add("cleared", 1)
	}
	t.pendingClears = kept
}
