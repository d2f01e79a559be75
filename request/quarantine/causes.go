package quarantine

import (
	"slices"
	"time"
)

const (
	// answeredPartCrashes is the number of crashes from which on a part is convicted
	// that was answered before. Sound parts of many requests are in flight at most
	// crashes.
	answeredPartCrashes = 5
	// uncontrolledCrashes is the number of crashes from which on a part is convicted
	// that was never answered, if too little other content is answered meanwhile. It
	// may be the beginning of all prompts.
	uncontrolledCrashes = 5
	// minControls is the number of answers to other content since the first crash that
	// show that its targets would answer.
	minControls = 2
	// maxControls bounds the answered runs that are remembered.
	maxControls = 128
	// unexplainedCrashes is the number of crashes from which on a part is convicted if
	// other content explains the rest.
	unexplainedCrashes = 2
	// minSpread is the time from the first crash of a content to the begin of a later
	// run that crashed its target. Targets that end together are an outage: all runs
	// there began before it. Daemons notice an end at times that differ by less.
	minSpread = 200 * time.Millisecond
)

// isSuspicious reports whether the crashes of a content that wasn't convicted yet
// suffice for a conviction.
func (t *CrashTracker) isSuspicious(c *content, now time.Time) bool {
	if c.crashCount() <= t.o.ToleratedCrashes {
		return false
	}
	explained := 0
	if c.part > 0 || c.answered {
		explained = t.explainedCrashes(c, now)
	}
	left := c.crashCount() - explained
	if c.part == 0 && c.answered && !c.isSpread() {
		// The targets that ran it ended together: it didn't crash them before.
		return false
	}
	if c.part == 0 {
		return c.certainCrashes()-explained > t.o.ToleratedCrashes || left > t.o.ToleratedCrashes && c.isSpread()
	}
	if !c.isSpread() {
		return false
	}
	controlled := t.isControlled(c)
	switch {
	case c.answered:
		return controlled && left >= answeredPartCrashes
	case explained > 0:
		return left >= unexplainedCrashes
	}
	return controlled || left >= uncontrolledCrashes
}

// answeredRun is a run that was answered.
type answeredRun struct {
	began   time.Time
	content Content
}

func (t *CrashTracker) addControl(r *Run) {
	if len(t.controls) >= maxControls {
		t.controls = slices.Delete(t.controls, 0, maxControls/2)
	}
	t.controls = append(t.controls, answeredRun{began: r.began, content: r.content})
}

// isControlled reports whether other prompts were answered at this process in runs
// that began after the first crash of the content. If none are, the targets may end
// for a reason that lies in none of them.
func (t *CrashTracker) isControlled(c *content) bool {
	n, first := 0, c.firstCrash()
	for _, run := range t.controls {
		if run.began.After(first) && !slices.Contains(run.content.Parts, c.fp) && (c.service == "" || run.content.Service == c.service) {
			n++
		}
	}
	return n >= minControls
}

// certainCrashes returns the number of crashes that weren't dismissed and are more
// than presumed.
func (c *content) certainCrashes() (n int) {
	for _, cr := range c.crashes {
		if !cr.dismissed && !cr.presumed {
			n++
		}
	}
	return n
}

// isSpread reports whether some run began minSpread after the first crash and
// crashed its target, too.
func (c *content) isSpread() bool {
	var began time.Time
	for _, cr := range c.crashes {
		if !cr.dismissed && cr.began.After(began) {
			began = cr.began
		}
	}
	return began.Sub(c.firstCrash()) > minSpread
}

// firstCrash returns the time of the first crash that wasn't dismissed; zero for none.
func (c *content) firstCrash() (first time.Time) {
	for _, cr := range c.crashes {
		if !cr.dismissed && (first.IsZero() || cr.at.Before(first)) {
			first = cr.at
		}
	}
	return first
}

// explainedCrashes returns the number of crashes of a content at which other content
// was in flight that is convicted, or that was never answered and waits for it.
func (t *CrashTracker) explainedCrashes(c *content, now time.Time) int {
	at := make(map[string]bool)
	for _, other := range t.contents {
		suspected := now.Before(other.convictedUntil) || !other.answered && !other.undecidedSince.IsZero()
		if other == c || !suspected || other.answered && !c.answered {
			continue
		}
		for _, cr := range other.crashes {
			at[cr.target] = at[cr.target] || !cr.dismissed
		}
	}
	n := 0
	for _, cr := range c.crashes {
		if !cr.dismissed && at[cr.target] {
			n++
		}
	}
	return n
}

// otherCauses reports whether some other content explains all crashes of this one,
// whether some explains them as well as this one, and whether some may do so once
// reports of the latest crashes have arrived.
func (t *CrashTracker) otherCauses(c *content, now time.Time) (explained, twin, similar bool) {
	for _, other := range t.contents {
		if other == c || c.isLikelierThan(other) {
			continue
		}
		shared, missed := other.compare(c)
		switch {
		case shared == 0:
		case other.explains(c):
			explained, similar = true, true
		case missed.IsZero() && !c.explains(other):
			twin, similar = true, true
		case !missed.IsZero() && now.Sub(missed) <= answerDelay:
			similar = true
		}
	}
	return explained, twin, similar
}

// explains reports whether the content was in flight at all crashes of other and is
// the more probable cause of them.
//
// Content that was never answered is more probable than other content. Of those that
// were in flight at the same crashes, the one that fewer requests share is.
func (c *content) explains(other *content) bool {
	if !c.covers(other) || other.isLikelierThan(c) {
		return false
	}
	more := c.crashCount() - other.crashCount()
	switch {
	case c.isLikelierThan(other):
		return true
	case other.part > 0 && c.isBroader(other):
		return more >= unexplainedCrashes
	case more > 0:
		return true
	}
	return other.isBroader(c)
}

// isLikelierThan reports whether other was answered before and this content never
// was. It compares parts of prompts, which many requests share; a request that
// was answered may still begin to crash its targets.
func (c *content) isLikelierThan(other *content) bool {
	return other.answered && !c.answered && (c.part > 0 || other.part > 0)
}

// isBroader reports whether the content is a part that is shared by more requests
// than other: by its place in their prompts, since prompts share their beginnings.
func (c *content) isBroader(other *content) bool {
	return c.part > 0 && (other.part == 0 || c.part < other.part)
}

// clearExplained clears the contents that were convicted for crashes which c
// explains.
func (t *CrashTracker) clearExplained(c *content, now time.Time) {
	if c.crashCount() <= t.o.ToleratedCrashes {
		return
	}
	for _, other := range t.contents {
		if other != c && other.convictions > 0 && now.Before(other.convictedUntil) && c.explains(other) {
			t.clear(other)
		}
	}
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
