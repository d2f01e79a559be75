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
	// maxCrashAge is the age up to which the last crash of content leads to its first
	// conviction. A process that has just started learns of older ones, and the content
	// may have been answered since.
	maxCrashAge = 30 * time.Second
)

// tolerates reports whether suspect content runs like any other until it is
// convicted. No process then has to hear of a suspicion before the content runs
// again, so the number of messages doesn't grow with the suspicions times the
// processes.
func (t *CrashTracker) tolerates() bool { return t.o.ToleratedCrashes > 0 }

// refusal returns how long content is refused, 0 if it isn't. Released content runs
// at one process at a time; released reports that this run is such a try.
func (t *CrashTracker) refusal(c *content, now time.Time) (left time.Duration, released bool) {
	if !c.undecidedSince.IsZero() {
		t.evaluate(c, now)
	}
	switch {
	case c.convictions == 0 || c.crashCount() == 0 || !now.Before(c.expiresAt()):
		return 0, false
	case now.Before(c.convictedUntil):
		return c.convictedUntil.Sub(now), false
	case t.o.Tries != nil && !t.o.Tries(c.fp), now.Before(c.tryUntil), t.isRunning(c.fp):
		return tryTime, false
	}
	return 0, true
}

// Hold returns a function that records the crash of a target with the contents
// that are in flight there now, or nil if there are none. It is called once the
// evidence is known, and may be called again with a better one.
func (t *CrashTracker) Hold(target string) (confirm func(Evidence)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tc := targetCrash{target: target, at: t.tick(), suspects: t.inFlight(target)}
	if len(tc.suspects) == 0 {
		return nil
	}
	recorded := false
	return func(e Evidence) {
		t.mu.Lock()
		defer t.mu.Unlock()
		tc.evidence = e
		t.recordTolerated(tc)
		fields := log.Fields{"target": target, "contents": len(tc.suspects), "parts": Join(tc.parts()), "evidence": e.String()}
		if recorded {
			log.WithFields(fields).Info("quarantine: better evidence of a crash")
			return
		}
		recorded = true
		counts.Add("crashes", 1)
		log.WithFields(fields).Warn("quarantine: target crashed")
	}
}

// parts returns the parts of prompts that may have crashed the target.
func (tc *targetCrash) parts() (out []Fingerprint) {
	for _, s := range tc.suspects {
		if s.part > 0 && len(out) < maxLoggedParts {
			out = append(out, s.fp)
		}
	}
	return out
}

// maxLoggedParts bounds the parts in the log line of a crash.
const maxLoggedParts = 16

// recordTolerated adds a crash to the contents that were in flight.
func (t *CrashTracker) recordTolerated(tc targetCrash) {
	known, isKnown := t.crashTimes.get(tc.target)
	t.recordCrashTime(tc.target, tc.at)
	var changed []*content
	for _, s := range tc.suspects {
		if !s.mayHaveCrashed(tc.evidence) || s.part > 0 && isKnown && s.began.After(known) {
			continue
		}
		c := t.getOrCreate(s.fp, tc.at)
		c.part, c.service = max(c.part, s.part), s.service
		if t.addCrash(c, crash{target: tc.target, began: s.began, at: tc.at, local: true, presumed: tc.evidence != Certain}) {
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

// fullTime is the time for which a part that has as many crashes as are kept gets no
// others. Many daemons would report the end of many targets again and again.
const fullTime = 30 * time.Second

// makeRoom removes a dismissed crash if there are as many as are kept. It reports
// false if the new one is dismissed too, which would replace one that counts, or if
// it adds nothing.
func (c *content) makeRoom(cr crash) bool {
	if len(c.crashes) < keptCrashes {
		return true
	}
	if cr.dismissed {
		return false
	}
	if i := slices.IndexFunc(c.crashes, func(old crash) bool { return old.dismissed }); i >= 0 {
		c.crashes = slices.Delete(c.crashes, i, i+1)
		return true
	}
	return c.part == 0 || cr.at.Sub(c.crashes[0].at) >= fullTime
}

// evaluate convicts content with enough crashes since its last answer, and released
// content with another crash, unless other content explains its crashes.
func (t *CrashTracker) evaluate(c *content, now time.Time) {
	t.dismissAnswered(c)
	defer t.clearExplained(c, now)
	if now.Before(c.convictedUntil) || c.convictions == 0 && (now.Sub(c.lastCrash()) > maxCrashAge || !t.isSuspicious(c, now)) {
		return
	}
	explained, twin, similar := t.otherCauses(c, now)
	if explained {
		return
	}
	few := c.crashCount() < maxCrashes
	twin = twin && few
	if (few || c.part > 0) && (similar || t.mayBeAnswered(c)) && c.undecidedSince.IsZero() {
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

// mayBeAnswered reports whether an answer to the content may still arrive: it was
// answered before it was suspected, or it is a part that many requests may share.
func (t *CrashTracker) mayBeAnswered(c *content) bool {
	return c.convictions == 0 && (c.part > 0 || t.ended.hasCompleted(c.fp))
}

// clearCompleted dismisses the crashes of content before a run that began at that
// time and was answered. Content that crashes its targets isn't answered; a run
// that began before may be older than the cause, such as a change of the targets.
func (t *CrashTracker) clearCompleted(fp Fingerprint, began time.Time) {
	c := t.contents[fp]
	if c == nil || !t.tolerates() {
		return
	}
	c.answered = true
	changed := false
	for i := range c.crashes {
		if cr := &c.crashes[i]; !cr.dismissed && !t.crashTime(*cr).After(began) {
			cr.dismissed, changed = true, true
		}
	}
	if changed {
		t.crashesDismissed(c)
		t.reconsider(c, t.o.Now())
	}
}

// reconsider evaluates the contents that were in flight at crashes of c. They were
// explained by c until it was known that c was answered.
func (t *CrashTracker) reconsider(c *content, now time.Time) {
	for _, other := range t.contents {
		if other != c && other.undecidedSince.IsZero() && c.sharesTarget(other) {
			t.evaluate(other, now)
		}
	}
}

// sharesTarget reports whether the content was in flight at a crash of other that
// wasn't dismissed.
func (c *content) sharesTarget(other *content) bool {
	return slices.ContainsFunc(other.crashes, func(cr crash) bool {
		return !cr.dismissed && slices.ContainsFunc(c.crashes, func(own crash) bool { return own.target == cr.target })
	})
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
		"fingerprint": c.fp.String(), "part": c.part, "targets": strings.Join(crashed, " "), "for_ms": c.convictedUntil.Sub(now).Milliseconds(),
	}).Warn("quarantine: content convicted")
}
