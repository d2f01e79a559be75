package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
)

// tryTime is the time within which a try of released content begins, and the
// delay after which a caller is asked to come back meanwhile.
const tryTime = 2 * time.Second

const (
	// answerDelay is how long a conviction waits for an answer if other content may
	// have been in flight at the same crashes, or if the content was answered before
	// its crashes. Harmless content that is sent often is answered meanwhile, and the
	// crashes of the cause are reported.
	answerDelay = 300 * time.Millisecond
	// twinConviction is the duration of a conviction after that. A try of each
	// content then shows which one is the cause.
	twinConviction = 5 * time.Second
)

// tolerates reports whether suspect content runs like any other until it is
// convicted. No process then has to hear of a suspicion before the content runs
// again, so the number of messages doesn't grow with the suspicions times the
// processes.
func (t *CrashTracker) tolerates() bool { return t.o.ToleratedCrashes > 0 }

// tolerantVerdict returns the verdict on content that isn't claimed. Released
// content runs at one process at a time.
func (t *CrashTracker) tolerantVerdict(c *content, now time.Time) (Verdict, time.Duration) {
	if !c.undecidedSince.IsZero() {
		t.evaluate(c, now)
	}
	switch {
	case c.convictions == 0 || c.crashCount() == 0 || !now.Before(c.expiresAt()):
		return Clear, 0
	case now.Before(c.convictedUntil):
		return Convicted, c.convictedUntil.Sub(now)
	case t.o.Tries != nil && !t.o.Tries(c.fp), now.Before(c.tryUntil), t.isRunning(c.fp):
		return Convicted, tryTime
	}
	c.tryUntil = now.Add(tryTime)
	return Clear, 0
}

// Hold returns a function that records the crash of a target with the contents
// that are in flight there now, or nil if there are none. It is called once the
// crash is certain.
func (t *CrashTracker) Hold(target string) (confirm func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tc := targetCrash{target: target, at: t.tick(), fps: t.inFlight(target)}
	if len(tc.fps) == 0 {
		return nil
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.recordTolerated(tc)
		counts.Add("crashes", 1)
		log.WithFields(log.Fields{"target": target, "contents": len(tc.fps)}).Warn("quarantine: target crashed")
	}
}

// recordTolerated adds a crash to the contents that were in flight.
func (t *CrashTracker) recordTolerated(tc targetCrash) {
	t.recordCrashTime(tc.target, tc.at)
	var changed []*content
	for _, fp := range tc.fps {
		c := t.getOrCreate(fp, tc.at)
		if t.addCrash(c, crash{target: tc.target, at: tc.at, local: true}) {
			changed = append(changed, c)
			t.publish(c)
		}
	}
	for _, c := range changed {
		t.evaluate(c, tc.at)
	}
}

// recordCrashTime records when a target was noticed to have crashed, by any process
// and for any content. A run at the target may break later, or be found by a later
// search, and still have ended with it.
func (t *CrashTracker) recordCrashTime(target string, at time.Time) {
	if known, ok := t.crashTimes.get(target); !ok || at.Before(known) {
		t.crashTimes.set(target, at)
	}
}

// crashTime returns when the target of a crash was first noticed to have crashed.
func (t *CrashTracker) crashTime(cr crash) time.Time {
	if at, ok := t.crashTimes.get(cr.target); ok && at.Before(cr.at) {
		return at
	}
	return cr.at
}

// addCrash records a crash and reports whether it is new. With tolerated crashes,
// targets are incarnations, which crash once.
func (t *CrashTracker) addCrash(c *content, cr crash) bool {
	if !t.tolerates() {
		return c.addCrash(cr)
	}
	known := slices.ContainsFunc(c.crashes, func(old crash) bool { return old.target == cr.target })
	if known || !c.makeRoom(cr) {
		return false
	}
	c.appendCrash(cr)
	return true
}

// makeRoom removes a dismissed crash if there are as many as are kept. It reports
// false if the new one is dismissed too, which would replace one that counts.
func (c *content) makeRoom(cr crash) bool {
	if len(c.crashes) < maxCrashes {
		return true
	}
	if cr.dismissed {
		return false
	}
	if i := slices.IndexFunc(c.crashes, func(old crash) bool { return old.dismissed }); i >= 0 {
		c.crashes = slices.Delete(c.crashes, i, i+1)
	}
	return true
}

// evaluate convicts content with more crashes than are tolerated since its last
// answer, and released content with another crash, unless other content explains
// its crashes.
func (t *CrashTracker) evaluate(c *content, now time.Time) {
	t.dismissAnswered(c)
	defer t.clearExplained(c, now)
	if now.Before(c.convictedUntil) || c.convictions == 0 && c.crashCount() <= t.o.ToleratedCrashes {
		return
	}
	explained, twin, similar := t.otherCauses(c, now)
	if explained {
		return
	}
	few := c.crashCount() < maxCrashes
	twin = twin && few
	if few && (similar || t.mayBeAnswered(c)) && c.undecidedSince.IsZero() {
		c.undecidedSince = now
	}
	switch {
	case now.Sub(c.undecidedSince) < answerDelay:
		return
	case twin:
		c.convictions++
		c.refuseFor(now, twinConviction)
	default:
		c.convict(now, t.o.Conviction)
	}
	counts.Add("convicted", 1)
	logConviction(c, now)
	t.publish(c)
}

// mayBeAnswered reports whether the content was answered before it was suspected.
func (t *CrashTracker) mayBeAnswered(c *content) bool {
	return c.convictions == 0 && t.ended.hasCompleted(c.fp)
}

// otherCauses reports whether some other content was in flight at all crashes of
// this one and at more, whether some was at just these, and whether some was at
// these as far as reports have arrived.
func (t *CrashTracker) otherCauses(c *content, now time.Time) (explained, twin, similar bool) {
	n := c.crashCount()
	for _, other := range t.contents {
		if other == c {
			continue
		}
		shared, missed := other.compare(c)
		switch {
		case shared == 0:
		case missed.IsZero():
			explained = explained || other.crashCount() > n
			twin, similar = true, true
		case now.Sub(missed) <= answerDelay:
			similar = true // reports of newer crashes may not have arrived
		}
	}
	return explained, twin, similar
}

// clearExplained clears the contents that were convicted for crashes which c, with
// more of them, explains.
func (t *CrashTracker) clearExplained(c *content, now time.Time) {
	n := c.crashCount()
	if n <= t.o.ToleratedCrashes {
		return
	}
	for _, other := range t.contents {
		if other.convictions > 0 && now.Before(other.convictedUntil) && other.crashCount() < n && c.covers(other) {
			t.clear(other)
		}
	}
}

// clearCompleted dismisses the crashes of content before a run that began at that
// time and was answered. Content that crashes its targets isn't answered; a run
// that began before may be older than the cause, such as a change of the targets.
func (t *CrashTracker) clearCompleted(fp Fingerprint, began time.Time) {
	c := t.contents[fp]
	if c == nil || !t.tolerates() {
		return
	}
	changed := false
	for i := range c.crashes {
		if cr := &c.crashes[i]; !cr.dismissed && !t.crashTime(*cr).After(began) {
			cr.dismissed, changed = true, true
		}
	}
	if changed {
		t.crashesDismissed(c)
	}
}

// dismissAnswered dismisses the crashes of content before the last run that this
// process has had answered. It may learn of them afterwards.
func (t *CrashTracker) dismissAnswered(c *content) {
	if at, ok := t.ended.completed.get(c.fp); ok {
		t.clearCompleted(c.fp, at)
	}
}

func (t *CrashTracker) clear(c *content) {
	c.dismissCrashes()
	t.crashesDismissed(c)
}

// crashesDismissed updates the verdict on content of which crashes were dismissed.
func (t *CrashTracker) crashesDismissed(c *content) {
	c.undecidedSince = time.Time{}
	t.liftIfCleared(c)
	t.publish(c)
}

// liftIfCleared ends a first conviction if no more crashes than are tolerated are
// left, and another one if none are.
func (t *CrashTracker) liftIfCleared(c *content) {
	allowed := 0
	if c.convictions == 1 {
		allowed = t.o.ToleratedCrashes
	}
	if c.convictions == 0 || c.crashCount() > allowed {
		return
	}
	c.convictions, c.convictedUntil = 0, time.Time{}
	counts.Add("cleared", 1)
	log.WithField("fingerprint", c.fp.String()).Info("quarantine: content cleared")
}

// covers reports whether the content was in flight at all crashes of other.
func (c *content) covers(other *content) bool {
	shared, missed := c.compare(other)
	return shared > 0 && missed.IsZero()
}

// compare returns the number of crashes of other at which the content was in flight
// too, and the time of the oldest one at which it wasn't, zero for none. Only crashes
// that haven't been dismissed count.
func (c *content) compare(other *content) (shared int, missed time.Time) {
	for _, cr := range other.crashes {
		switch {
		case cr.dismissed:
		case slices.ContainsFunc(c.crashes, func(own crash) bool { return own.target == cr.target && !own.dismissed }):
			shared++
		case missed.IsZero() || cr.at.Before(missed):
			missed = cr.at
		}
	}
	return shared, missed
}

// contradicts reports whether this process knows that a crash behind a peer's
// first conviction was dismissed, and of too few others. If it learns of more, it
// convicts the content by itself. The target is that of the last crash.
func (t *CrashTracker) contradicts(c *content, target string) bool {
	dismissed, known := false, false
	for _, cr := range c.crashes {
		if cr.dismissed && cr.target == target {
			return true
		}
		dismissed = dismissed || cr.dismissed
		known = known || cr.target == target
	}
	others := c.crashCount()
	if !known {
		others++
	}
	return dismissed && c.convictions == 0 && others <= t.o.ToleratedCrashes
}

func (c *content) lastCrash() (last time.Time) {
	for _, cr := range c.crashes {
		if cr.at.After(last) {
			last = cr.at
		}
	}
	return last
}

func logConviction(c *content, now time.Time) {
	var crashed []string
	for _, cr := range c.crashes {
		if !cr.dismissed {
			crashed = append(crashed, cr.target)
		}
	}
	log.WithFields(log.Fields{
		"fingerprint": c.fp.String(), "targets": strings.Join(crashed, " "), "for_ms": c.convictedUntil.Sub(now).Milliseconds(),
	}).Warn("quarantine: content convicted")
}
