package quarantine

// addRecentCrash adds a crash to the recent ones and drops those older than
// burstWindow.
func (t *CrashTracker) addRecentCrash(tc targetCrash) {
	kept := t.recentCrashes[:0]
	for _, old := range t.recentCrashes {
		if tc.at.Sub(old.at) < burstWindow {
			kept = append(kept, old)
		}
	}
	t.recentCrashes = append(kept, tc)
}

// isOutage reports whether so many targets crashed at once that no content is the
// cause.
//
// It guards against the failure or disconnection of an availability zone:
// everything in flight there would become suspect, and thousands of harmless
// requests would wait to run alone.
func (t *CrashTracker) isOutage() bool {
	names := make(map[string]bool)
	for _, tc := range t.recentCrashes {
		names[tc.target] = true
	}
	return len(names) >= burstTargets
}

// recentCrashesOf returns the number of recent crashes with the content in flight.
func (t *CrashTracker) recentCrashesOf(fp Fingerprint) int {
	n := 0
	for _, tc := range t.recentCrashes {
		for _, s := range tc.suspects {
			if s.fp == fp {
				n++
			}
		}
	}
	return n
}

// dismissOutageCrashes dismisses the crashes of contents that were in flight at
// only one of the targets of an outage.
func (t *CrashTracker) dismissOutageCrashes() {
	counts.Add("outages", 1)
	for _, tc := range t.recentCrashes {
		for _, s := range tc.suspects {
			c := t.contents[s.fp]
			if c == nil || tc.at.Before(c.convictedUntil) || t.recentCrashesOf(s.fp) >= 2 {
				continue
			}
			c.dismissCrashes()
			t.markUnsaved(c)
		}
	}
}
