package quarantine

// addRecentDeath adds a death to the recent ones and drops those older than
// burstWindow.
func (t *CrashTracker) addRecentDeath(d death) {
	kept := t.recentDeaths[:0]
	for _, old := range t.recentDeaths {
		if d.at.Sub(old.at) < burstWindow {
			kept = append(kept, old)
		}
	}
	t.recentDeaths = append(kept, d)
}

// isOutage reports whether so many targets died at once that no content is the
// cause.
//
// It guards against the failure or disconnection of an availability zone:
// everything in flight there would become suspect, and thousands of harmless
// requests would wait to run alone.
func (t *CrashTracker) isOutage() bool {
	names := make(map[string]bool)
	for _, d := range t.recentDeaths {
		names[d.target] = true
	}
	return len(names) >= burstTargets
}

// deathsOf returns the number of recent deaths with the content in flight.
func (t *CrashTracker) deathsOf(fp uint64) int {
	n := 0
	for _, d := range t.recentDeaths {
		for _, f := range d.fps {
			if f == fp {
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
	for _, d := range t.recentDeaths {
		for _, fp := range d.fps {
			c := t.contents[fp]
			if c == nil || d.at.Before(c.convictedUntil) || t.deathsOf(fp) >= 2 {
				continue
			}
			c.dismissCrashes()
		}
	}
}
