package relay

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// maxReadGap is the longest time between two successful reads of the store for it
// to count as available in between. An entry lapses after three heartbeat intervals of
// 1.2 s without a heartbeat, the first of which may have passed before the gap.
const maxReadGap = 2400 * time.Millisecond

// period is a time in which the store is known to have been available: a daemon
// read it without a gap over maxReadGap. Times are by CLOCK_BOOTTIME of this
// daemon.
type period struct {
	since, until time.Duration
}

// join returns the union of two periods if they touch, and else the later one.
func (p period) join(o period) period {
	if p == (period{}) {
		return o
	}
	if o.since > p.until+maxReadGap || p.since > o.until+maxReadGap {
		if o.until > p.until {
			return o
		}
		return p
	}
	return period{since: min(p.since, o.since), until: max(p.until, o.until)}
}

// AvailableSince returns the time, by CLOCK_BOOTTIME, since which the store is known
// to have been available, up to AsOf. Each daemon's reads are evidence for all: a
// daemon that has changed its reader thus knows whether the store was unavailable
// or only its reader.
func (s *Store) AvailableSince(t port.Topic) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available[t].since
}
