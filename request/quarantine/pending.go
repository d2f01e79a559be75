package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	// transmissions is the number of messages in which a change is sent, since
	// messages may be lost.
	transmissions = 3
	// maxPending bounds the changes that wait to be sent.
	maxPending = 256
	// maxSingles bounds the crashes in each message of contents that aren't urgent, such
	// as those with a single crash. Hundreds
	// of daemons have many of them when an availability zone fails, and one daemon
	// receives them all.
	maxSingles = 8
	// repeatedContents is the number of contents in each message that are repeated
	// in turn, for processes that have just started or were cut off.
	repeatedContents = 8
)

// publish sends what is known of a content in the next messages, the first one
// soon.
func (t *CrashTracker) publish(c *content) {
	t.markUnsaved(c)
	t.relay(c)
	if t.o.Changed != nil {
		t.o.Changed()
	}
}

// relay sends what is known of a content in the next messages.
func (t *CrashTracker) relay(c *content) {
	if t.tolerates() && (len(t.pending) < maxPending || c.crashCount() > 1) {
		t.pending[c.fp] = transmissions
	}
}

// Pending returns the updates for the next message to peers: those about the
// contents that changed, and those about a few others that are or may soon be
// convicted. It is used with Options.ToleratedCrashes.
func (t *CrashTracker) Pending() []*peerpb.Conviction {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.contents) == 0 {
		return nil
	}
	now := t.tick()
	return t.updatesOf(append(t.nextChanged(), t.nextRepeated(now)...), now)
}

// nextChanged returns the changed contents for the next message: those with the
// most crashes first, of these the ones that share a crash with the fewest others,
// then the newest.
func (t *CrashTracker) nextChanged() []*content {
	var changed []*content
	for fp := range t.pending {
		if c := t.contents[fp]; c != nil {
			changed = append(changed, c)
		} else {
			delete(t.pending, fp)
		}
	}
	suspects := countSuspects(changed)
	slices.SortFunc(changed, func(a, b *content) int {
		return cmp.Or(compareUrgent(a, b), cmp.Compare(b.crashCount(), a.crashCount()), cmp.Compare(suspects[a.fp], suspects[b.fp]), b.lastCrash().Compare(a.lastCrash()))
	})
	changed = limitUpdates(changed)
	changed = changed[:min(len(changed), maxContentUpdates)]
	for _, c := range changed {
		if t.pending[c.fp]--; t.pending[c.fp] <= 0 {
			delete(t.pending, c.fp)
		}
	}
	return changed
}

// isUrgent reports whether all daemons have to learn of a content soon. The parts of
// the prompts of targets that end together may have many crashes and aren't.
func (c *content) isUrgent() bool {
	return c.convictions > 0 || c.crashCount() > 1 && (c.part == 0 || c.isSpread())
}

func compareUrgent(a, b *content) int {
	switch {
	case a.isUrgent() == b.isUrgent():
		return 0
	case a.isUrgent():
		return -1
	}
	return 1
}

// limitUpdates returns the urgent contents, which come first, and so many of the others
// that their updates don't exceed maxSingles.
func limitUpdates(contents []*content) []*content {
	updates := 0
	for n, c := range contents {
		if c.isUrgent() {
			continue
		}
		if updates += len(c.crashes); updates > maxSingles && updates > len(c.crashes) {
			return contents[:n]
		}
	}
	return contents
}

// countSuspects returns the number of contents at the crash of each content that
// the fewest of them share.
func countSuspects(contents []*content) map[Fingerprint]int {
	atTarget := make(map[string]int)
	for _, c := range contents {
		for _, cr := range c.crashes {
			atTarget[cr.target]++
		}
	}
	fewest := make(map[Fingerprint]int, len(contents))
	for _, c := range contents {
		fewest[c.fp] = len(contents)
		for _, cr := range c.crashes {
			fewest[c.fp] = min(fewest[c.fp], atTarget[cr.target])
		}
	}
	return fewest
}

// Repeated returns the updates about all contents that are or may soon be
// convicted, for a process that has just started.
func (t *CrashTracker) Repeated() []*peerpb.Conviction {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.tick()
	var cs []*content
	for _, fp := range t.repeated(now) {
		cs = append(cs, t.contents[fp])
	}
	return t.updatesOf(cs, now)
}

// repeated returns the contents that are or may soon be convicted, and drops those
// that have expired.
func (t *CrashTracker) repeated(now time.Time) (fps []Fingerprint) {
	for fp, c := range t.contents {
		if c.expiresAt().Before(now) {
			delete(t.contents, fp)
		} else if c.crashCount() > 0 && c.isUrgent() {
			fps = append(fps, fp)
		}
	}
	return fps
}

// nextRepeated returns the next contents of the rotation.
func (t *CrashTracker) nextRepeated(now time.Time) (out []*content) {
	if len(t.rotation) == 0 {
		t.rotation = t.repeated(now)
	}
	next := t.rotation[:min(len(t.rotation), repeatedContents)]
	t.rotation = t.rotation[len(next):]
	for _, fp := range next {
		if c := t.contents[fp]; c != nil {
			out = append(out, c)
		}
	}
	return out
}
