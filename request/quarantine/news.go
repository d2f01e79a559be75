package quarantine

import (
	"sort"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	maxContentUpdates = 32              // contents per heartbeat
	maxUpdateDelay    = 5 * time.Second // the delivery delay of an update extends a received TTL by less than this
	// claimPrefix starts the target of an update about a claim. The claimant
	// follows.
	claimPrefix = "@"
)

// updatesOf returns the updates about contents: one message per crash, or one
// for a conviction. A dismissed crash is sent with 0 crashes.
func (t *CrashTracker) updatesOf(cs []*content, now time.Time) []*peerpb.Conviction {
	var out []*peerpb.Conviction
	for _, c := range cs {
		out = append(out, t.contentUpdates(c, now)...)
	}
	return out
}

func (t *CrashTracker) contentUpdates(c *content, now time.Time) []*peerpb.Conviction {
	last := ""
	if n := len(c.crashes); n > 0 {
		last = c.crashes[n-1].target
	}
	if now.Before(c.convictedUntil) {
		return []*peerpb.Conviction{{
			Fingerprint: c.fp,
			Crashes:     uint32(c.convictions + 1),
			TtlMs:       c.convictedUntil.Sub(now).Milliseconds(),
			Target:      last,
		}}
	}
	var out []*peerpb.Conviction
	for _, k := range c.crashes {
		n := &peerpb.Conviction{Fingerprint: c.fp, Suspect: true, Crashes: 1, Target: k.target}
		n.TtlMs = k.at.Add(suspectTTL).Sub(now).Milliseconds()
		if k.dismissed {
			n.Crashes = 0
		}
		out = append(out, n)
	}
	if c.claim.by != "" {
		out = append(out, claimUpdate(c, now))
	}
	return out
}

// claimUpdate returns the update about a claim. Its Crashes field is 1 once the
// claim is confirmed, and its TtlMs field is 0 after the claim was released.
func claimUpdate(c *content, now time.Time) *peerpb.Conviction {
	n := &peerpb.Conviction{Fingerprint: c.fp, Suspect: true, Target: c.claim.encode()}
	n.TtlMs = max(0, c.claim.until.Sub(now).Milliseconds())
	if c.claim.confirmed {
		n.Crashes = 1
	}
	return n
}

// Outgoing implements membership.Convictions. It returns the updates about the
// claims of targets, followed by those about the newest contents, newest first.
func (t *CrashTracker) Outgoing() []*peerpb.Conviction {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	var cs []*content
	for fp, c := range t.contents {
		if c.expiresAt().Before(now) {
			delete(t.contents, fp)
			continue
		}
		cs = append(cs, c)
	}
	sort.Slice(cs, func(i, j int) bool { return cs[i].expiresAt().After(cs[j].expiresAt()) })
	return append(t.targetClaimUpdates(now), t.updatesOf(cs[:min(len(cs), maxContentUpdates)], now)...)
}

// Incoming implements membership.Convictions.
func (t *CrashTracker) Incoming(updates []*peerpb.Conviction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	for _, n := range updates {
		if strings.HasPrefix(n.Target, targetClaimPrefix) {
			t.mergeTarget(n, now)
			continue
		}
		c := t.getOrCreate(n.Fingerprint, now)
		if c == nil {
			continue
		}
		t.merge(c, n, now)
	}
}

func (t *CrashTracker) merge(c *content, n *peerpb.Conviction, now time.Time) {
	ttl := time.Duration(n.TtlMs) * time.Millisecond
	switch {
	case !n.Suspect:
		c.mergeConviction(n, now, min(ttl, maxConviction))
	case strings.HasPrefix(n.Target, claimPrefix):
		k, ok := parseClaim(n.Target)
		k.until = now.Add(min(ttl, claimTTL))
		k.confirmed = n.Crashes > 0
		if ok && !t.counterClaim(c, k, now) {
			c.mergeClaim(k, now)
		}
	case n.Crashes == 0:
		c.mergeDismissed(n.Target, now.Add(ttl-suspectTTL))
	default:
		t.mergeCrash(c, crash{target: n.Target, at: now.Add(min(ttl, suspectTTL) - suspectTTL)}, now)
	}
}

// mergeConviction applies a peer's conviction. The number of convictions is
// included so that the next conviction doubles on whichever daemon makes it.
func (c *content) mergeConviction(n *peerpb.Conviction, now time.Time, ttl time.Duration) {
	c.convictions = max(c.convictions, int(n.Crashes)-1)
	if now.Add(ttl).After(c.convictedUntil.Add(maxUpdateDelay)) {
		c.refuseFor(now, ttl)
	}
	c.addCrash(crash{target: n.Target, at: now})
}

// mergeClaim applies a peer's update about a claim. A released claim is kept
// with its end, so that an older update cannot restore it.
func (c *content) mergeClaim(k claim, now time.Time) {
	if c.claim.by == k.by {
		c.claim.refresh(k)
		return
	}
	if c.claim.replacedBy(k, now) {
		c.claim = k
	}
}

// replacedBy reports whether another process's claim replaces this one.
//
// An ended claim never replaces a claim of this process, not even an ended one.
// Otherwise, if two processes claim at once, the loser's withdrawal can arrive
// just after the winner released its claim, and replace it. The winner would
// then no longer send the end of its claim, and a peer that missed the broadcast
// would refuse the content, or the target, for two minutes.
func (k claim) replacedBy(other claim, now time.Time) bool {
	ended := !now.Before(k.until)
	if !now.Before(other.until) {
		return ended && !k.local
	}
	return ended || other.precedes(k)
}

// refresh applies an update about a claim of the same process. A newer claim
// replaces this one; the same claim can only end sooner.
func (k *claim) refresh(other claim) {
	switch {
	case k.local || other.seq < k.seq:
	case other.seq > k.seq:
		*k = other
	default:
		if other.until.Before(k.until) {
			k.until = other.until
		}
		k.confirmed = k.confirmed || other.confirmed
	}
}

// mergeDismissed applies an update that a crash has been dismissed.
func (c *content) mergeDismissed(target string, at time.Time) {
	c.addCrash(crash{target: target, at: at, dismissed: true})
	for i, k := range c.crashes {
		if k.target == target && k.at.Sub(at).Abs() < sameCrashWindow {
			c.crashes[i].dismissed = true
		}
	}
}

// mergeCrash applies a crash that a peer saw. It leads to a conviction only
// together with a crash that this process saw, because only then does this
// process know whether the content has completed in the meantime.
func (t *CrashTracker) mergeCrash(c *content, k crash, now time.Time) {
	if !c.addCrash(k) || now.Before(c.convictedUntil) {
		return
	}
	if c.crashCount() >= 2 && c.hasLocalCrash() && t.canConvict(c, now) {
		t.convict([]*content{c}, now)
	}
}
