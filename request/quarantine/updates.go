package quarantine

import (
	"sort"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	maxContentUpdates = 32              // contents per heartbeat
	maxUpdateDelay    = 5 * time.Second // the delivery delay of an update extends a received TTL by less than this
	// claimPrefix starts the target of an update about a claim. The claimant
	// follows.
	claimPrefix = "@"
)

// updatesOf returns the updates about contents: one message for a conviction, or
// one per crash. With tolerated crashes, both are sent. A dismissed crash is sent
// with 0 crashes.
func (t *CrashTracker) updatesOf(cs []*content, now time.Time) []*peerpb.Conviction {
	var out []*peerpb.Conviction
	for _, c := range cs {
		out = append(out, t.contentUpdates(c, now)...)
	}
	return out
}

func (t *CrashTracker) contentUpdates(c *content, now time.Time) []*peerpb.Conviction {
	var out []*peerpb.Conviction
	if now.Before(c.convictedUntil) {
		out = append(out, c.convictionUpdate(now))
		if !t.tolerates() {
			return out
		}
	}
	out = append(out, c.crashUpdates(now)...)
	if c.claim.by != "" {
		out = append(out, claimUpdate(c, now))
	}
	return out
}

func (c *content) convictionUpdate(now time.Time) *peerpb.Conviction {
	last := ""
	if n := len(c.crashes); n > 0 {
		last = c.crashes[n-1].target
	}
	return &peerpb.Conviction{
		Fingerprint: c.fp[:],
		Crashes:     uint32(c.convictions + 1),
		TtlMs:       c.convictedUntil.Sub(now).Milliseconds(),
		Target:      last,
		Part:        uint32(c.part),
		Answered:    c.answered,
	}
}

// crashUpdates returns the updates about the crashes of a content. The dismissed ones come
// last: a process that knows nothing of the content would otherwise take it for cleared
// before it has read the other crashes.
func (c *content) crashUpdates(now time.Time) []*peerpb.Conviction {
	var out, dismissed []*peerpb.Conviction
	for _, cr := range c.crashes {
		u := &peerpb.Conviction{
			Fingerprint: c.fp[:], Suspect: true, Crashes: 1, Target: cr.target,
			Part: uint32(c.part), RunMs: cr.at.Sub(cr.began).Milliseconds(), Presumed: cr.presumed, Answered: c.answered,
		}
		u.TtlMs = cr.at.Add(suspectTTL).Sub(now).Milliseconds()
		if cr.dismissed {
			u.Crashes = 0
			dismissed = append(dismissed, u)
			continue
		}
		out = append(out, u)
	}
	return append(out, dismissed...)
}

// claimUpdate returns the update about a claim. Its Crashes field is 1 once the
// claim is confirmed, and its TtlMs field is 0 after the claim was released.
func claimUpdate(c *content, now time.Time) *peerpb.Conviction {
	u := &peerpb.Conviction{Fingerprint: c.fp[:], Suspect: true, Target: c.claim.encode()}
	u.TtlMs = max(0, c.claim.until.Sub(now).Milliseconds())
	if c.claim.confirmed {
		u.Crashes = 1
	}
	return u
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
	for _, u := range updates {
		if strings.HasPrefix(u.Target, targetClaimPrefix) {
			t.mergeTarget(u, now)
			continue
		}
		fp := parseFingerprint(u.Fingerprint)
		if fp == (Fingerprint{}) {
			continue // of an earlier build
		}
		c := t.getOrCreate(fp, now)
		c.part = max(c.part, int(min(u.Part, maxPart)))
		firstAnswer := u.Answered && !c.answered
		c.answered = c.answered || u.Answered
		t.merge(c, u, now)
		if firstAnswer && t.tolerates() {
			t.reconsider(c, now)
		}
	}
}

// maxPart bounds the position of a part that a peer states.
const maxPart = 1 << 16

func (t *CrashTracker) merge(c *content, u *peerpb.Conviction, now time.Time) {
	ttl := time.Duration(u.TtlMs) * time.Millisecond
	switch {
	case !u.Suspect:
		t.mergeConviction(c, u, now, min(ttl, endless))
	case strings.HasPrefix(u.Target, claimPrefix):
		cl, ok := parseClaim(u.Target)
		cl.until = now.Add(min(ttl, claimTTL))
		cl.confirmed = u.Crashes > 0
		if ok && !t.counterClaim(c, cl, now) {
			c.mergeClaim(cl, now)
		}
	case u.Crashes == 0:
		t.mergeDismissed(c, u.Target, now.Add(ttl-suspectTTL))
	default:
		at := now.Add(min(ttl, suspectTTL) - suspectTTL)
		run := time.Duration(u.RunMs) * time.Millisecond
		t.mergeCrash(c, crash{target: u.Target, began: at.Add(-max(run, 0)), at: at, presumed: u.Presumed}, now)
	}
}

// mergeConviction applies a peer's conviction. The number of convictions is
// included so that the next conviction doubles on whichever daemon makes it.
func (t *CrashTracker) mergeConviction(c *content, u *peerpb.Conviction, now time.Time, ttl time.Duration) {
	if t.tolerates() && t.contradicts(c, u.Target) {
		t.relay(c)
		return
	}
	changed := false
	if n := int(u.Crashes) - 1; n > c.convictions {
		c.convictions, changed = n, true
	}
	if now.Add(ttl).After(c.convictedUntil.Add(maxUpdateDelay)) {
		c.refuseFor(now, ttl)
		changed = true
		log.WithFields(log.Fields{
			"fingerprint": c.fp.String(), "part": c.part, "target": u.Target, "for_ms": ttl.Milliseconds(),
		}).Info("quarantine: conviction received")
	}
	if t.addCrash(c, crash{target: u.Target, began: now, at: now}) || changed {
		t.relay(c)
	}
}

// mergeClaim applies a peer's update about a claim. A released claim is kept
// with its end, so that an older update cannot restore it.
func (c *content) mergeClaim(cl claim, now time.Time) {
	if c.claim.by == cl.by {
		c.claim.refresh(cl)
		return
	}
	if c.claim.replacedBy(cl, now) {
		c.claim = cl
	}
}

// replacedBy reports whether another process's claim replaces this one.
//
// An ended claim never replaces a claim of this process, not even an ended one.
// Otherwise, if two processes claim at once, the loser's withdrawal can arrive
// just after the winner released its claim, and replace it. The winner would
// then no longer send the end of its claim, and a peer that missed the broadcast
// would refuse the content, or the target, for two minutes.
func (cl claim) replacedBy(other claim, now time.Time) bool {
	ended := !now.Before(cl.until)
	if !now.Before(other.until) {
		return ended && !cl.local
	}
	return ended || other.precedes(cl)
}

// refresh applies an update about a claim of the same process. A newer claim
// replaces this one; the same claim can only end sooner.
func (cl *claim) refresh(other claim) {
	switch {
	case cl.local || other.seq < cl.seq:
	case other.seq > cl.seq:
		*cl = other
	default:
		if other.until.Before(cl.until) {
			cl.until = other.until
		}
		cl.confirmed = cl.confirmed || other.confirmed
	}
}

// mergeDismissed applies an update that a crash has been dismissed.
func (t *CrashTracker) mergeDismissed(c *content, target string, at time.Time) {
	changed := t.addCrash(c, crash{target: target, began: at, at: at, dismissed: true})
	for i, cr := range c.crashes {
		same := t.tolerates() || cr.at.Sub(at).Abs() < sameCrashWindow
		if cr.target == target && same && !cr.dismissed {
			c.crashes[i].dismissed = true
			changed = true
		}
	}
	if changed {
		t.markUnsaved(c)
	}
	if changed && t.tolerates() {
		t.liftIfCleared(c)
		t.relay(c)
		t.reconsider(c, t.o.Now())
	}
}

// mergeCrash applies a crash that a peer saw. It leads to a conviction only
// together with a crash that this process saw, because only then does this
// process know whether the content has completed in the meantime.
func (t *CrashTracker) mergeCrash(c *content, cr crash, now time.Time) {
	if t.tolerates() {
		t.recordCrashTime(cr.target, cr.at)
		if !t.addCrash(c, cr) {
			t.dismissAnswered(c)
			return
		}
		t.relay(c)
		t.evaluate(c, now)
		return
	}
	if !c.addCrash(cr) || now.Before(c.convictedUntil) {
		return
	}
	if c.crashCount() >= 2 && c.hasLocalCrash() && t.canConvict(c, now) {
		t.convict([]*content{c}, now)
	}
}
