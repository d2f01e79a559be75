package quarantine

// noteBurst remembers the deaths of the last moment.
func (b *Book) noteBurst(d death) {
	kept := b.burst[:0]
	for _, old := range b.burst {
		if d.at.Sub(old.at) < burstWindow {
			kept = append(kept, old)
		}
	}
	b.burst = append(kept, d)
}

// isOutage reports whether so many targets died at once that no content is the
// cause.
//
// The guard is against an availability zone that fails, or is cut off: all
// that was in flight there would be suspect, and thousands of innocent
// requests would wait for a run alone.
func (b *Book) isOutage() bool {
	names := make(map[string]bool)
	for _, d := range b.burst {
		names[d.target] = true
	}
	return len(names) >= burstTargets
}

// deathsOf counts the deaths of the burst with the content in flight.
func (b *Book) deathsOf(fp uint64) int {
	n := 0
	for _, d := range b.burst {
		for _, f := range d.fps {
			if f == fp {
				n++
			}
		}
	}
	return n
}

// forgiveOutage lets off what was in flight at one target of an outage only.
func (b *Book) forgiveOutage() {
	counts.Add("outages", 1)
	for _, d := range b.burst {
		for _, fp := range d.fps {
			c := b.contents[fp]
			if c == nil || d.at.Before(c.convicted) || b.deathsOf(fp) >= 2 {
				continue
			}
			c.forgive()
		}
	}
}
