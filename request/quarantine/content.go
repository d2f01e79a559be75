package quarantine

import (
	"slices"
	"time"
)

const (
	sameCrashWindow = 10 * time.Second // reports about one target within this time are about the same crash
	// maxCrashes is the number of crashes from which on the conviction of a request
	// has no end.
	maxCrashes  = 5
	keptCrashes = 8 // per content
	// maxPartTries is the number of convictions from which on the one of a part has
	// no end. The first crashes may come together, so their number says nothing
	// about the tries that were made.
	maxPartTries  = 3
	suspectTTL    = 30 * time.Minute // after a crash, unless a run finishes
	releasedTTL   = 24 * time.Hour   // after a conviction, unless a run finishes
	exclusiveWait = 5 * time.Second  // how long suspect content waits for an idle target, from its first try
	// endless is the duration of a conviction without an end.
	endless = 10 * 365 * 24 * time.Hour
	// shortConviction applies if several contents may have caused the same
	// crash, because some of them are harmless.
	shortConviction = 2 * time.Minute
)

// crash is a target's crash while the content was in flight there.
type crash struct {
	target    string
	began     time.Time // of the run of the content there
	at        time.Time
	local     bool // seen by this process
	dismissed bool // known to have another cause
	presumed  bool // the target didn't refuse connections afterwards
}

// claim is the exclusive right to run suspect content.
type claim struct {
	by        string // incarnation of the claimant, empty for none
	seq       uint64 // sequence number of the claim at the claimant
	local     bool   // made by this process
	running   bool   // local, and made only because the content was already in flight
	until     time.Time
	confirmed bool // known to every reachable peer
}

// content is the state of one fingerprint.
type content struct {
	fp             Fingerprint
	service        string // of its targets; empty if this process hasn't sent it
	part           int    // position in the prompt, from 1; 0: a whole request
	answered       bool   // by a target, at any time
	adopted        bool   // saved by this process though it saw no crash
	crashes        []crash
	claim          claim
	convictedUntil time.Time
	suspectUntil   time.Time
	convictions    int
	firstTry       time.Time // first try as a suspect, zero for none
	clearAt        time.Time // when the content is cleared, zero for never
	tryUntil       time.Time // until when a try of released content is expected to begin
	undecidedSince time.Time // since when a conviction waits for an answer, zero for never
}

// verdict returns the verdict on the content and the time when it ends.
func (c *content) verdict(now time.Time) (Verdict, time.Time) {
	if now.Before(c.convictedUntil) {
		return Convicted, c.convictedUntil
	}
	if now.Before(c.suspectUntil) && c.crashCount() > 0 {
		if c.firstTry.IsZero() || now.Sub(c.firstTry) < exclusiveWait {
			return Suspect, c.suspectUntil
		}
		return SuspectShared, c.suspectUntil
	}
	return Clear, now
}

// crashCount returns the number of crashes that have not been dismissed.
func (c *content) crashCount() int {
	n := 0
	for _, cr := range c.crashes {
		if !cr.dismissed {
			n++
		}
	}
	return n
}

func (c *content) hasLocalCrash() bool {
	return slices.ContainsFunc(c.crashes, func(cr crash) bool { return cr.local && !cr.dismissed })
}

// addCrash records a crash and reports whether it is new. Several daemons report
// the same crash; counting it twice would convict harmless content after one
// crash.
func (c *content) addCrash(cr crash) bool {
	for i, old := range c.crashes {
		if old.target == cr.target && cr.at.Sub(old.at).Abs() < sameCrashWindow {
			c.crashes[i].local = old.local || cr.local
			return false
		}
	}
	c.appendCrash(cr)
	return true
}

func (c *content) appendCrash(cr crash) {
	if len(c.crashes) >= keptCrashes {
		c.crashes = slices.Delete(c.crashes, 0, 1)
	}
	c.crashes = append(c.crashes, cr)
	c.firstTry = time.Time{}
	if until := cr.at.Add(suspectTTL); until.After(c.suspectUntil) {
		c.suspectUntil = until
	}
}

// runsExclusively reports whether this process has the right to run the content
// alone.
func (c *content) runsExclusively(now time.Time) bool {
	return c.claim.local && !c.claim.running && now.Before(c.claim.until)
}

// addLocalCrash records a crash that this process saw and reports whether it is
// new. A crash during an exclusive run of the content is always new, even if the
// same target crashed with it a moment ago and was restarted.
func (c *content) addLocalCrash(tc targetCrash) bool {
	c.clearAt = time.Time{}
	cr := crash{target: tc.target, began: tc.at, at: tc.at, local: true}
	if !c.runsExclusively(tc.at) {
		return c.addCrash(cr)
	}
	c.appendCrash(cr)
	return true
}

// dismissCrashes dismisses all crashes of the content. They are kept so that
// late updates about them do not count again.
func (c *content) dismissCrashes() {
	for i := range c.crashes {
		c.crashes[i].dismissed = true
	}
	c.claim = claim{}
}

// convict refuses the content for a time that doubles with each conviction.
// Afterwards the content is suspect again and runs alone. Each such run may cost
// a target, so after maxCrashes, or maxPartTries, the content isn't released any
// more.
func (c *content) convict(now time.Time, base time.Duration) {
	d := base << min(c.convictions, maxCrashes)
	if c.part == 0 && c.crashCount() >= maxCrashes || c.part > 0 && c.convictions >= maxPartTries {
		d = endless
	}
	c.convictions++
	c.refuseFor(now, d)
}

func (c *content) refuseFor(now time.Time, d time.Duration) {
	c.convictedUntil = now.Add(d)
	c.suspectUntil = c.convictedUntil.Add(releasedTTL)
	c.firstTry = time.Time{}
	c.undecidedSince = time.Time{}
	c.claim = claim{}
}

// expiresAt returns when the content is neither suspect nor convicted any more.
func (c *content) expiresAt() time.Time {
	if c.suspectUntil.After(c.convictedUntil) {
		return c.suspectUntil
	}
	return c.convictedUntil
}
