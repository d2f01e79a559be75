package reconcile

import (
	"time"

	"github.com/pomelospool/pomelospool/process/fold"
)

// MaxLoadAge is how long an open load counts against the weight store. An older
// load belongs to an engine that doesn't respond and reads nothing.
const MaxLoadAge = 10 * time.Minute

// Loads counts the open loads of all daemons.
//
// An order is sent only if fewer loads than there are slots are open before it in
// the log. A holder that has read its own order from the log has also read
// everything before it, so two holders can't take the same last slot, and groups
// need no further coordination.
type Loads struct {
	firstSeen map[string]time.Duration // time of the first observation, by order id
}

// Observe records when each open load was first observed.
func (l *Loads) Observe(now time.Duration, s *fold.State) {
	firstSeen := make(map[string]time.Duration)
	for _, e := range s.Engines {
		if e.Open == nil || !e.Open.Load {
			continue
		}
		at, ok := l.firstSeen[e.Open.ID]
		if !ok {
			at = now
		}
		firstSeen[e.Open.ID] = at
	}
	l.firstSeen = firstSeen
}

// Ahead returns the number of open loads before the open order in the log, or of
// all open loads if open is nil.
func (l *Loads) Ahead(now time.Duration, s *fold.State, open *fold.OpenOrder) int {
	n := 0
	for _, e := range s.Engines {
		o := e.Open
		if o == nil || !o.Load || now >= l.firstSeen[o.ID]+MaxLoadAge {
			continue
		}
		if open == nil || o.Offset < open.Offset {
			n++
		}
	}
	return n
}

// Slots returns how many loads may run at once if each reads perLoad bytes per
// second and the store provides rate bytes per second in total. It is at least
// one.
func Slots(rate, perLoad float64) int {
	if perLoad <= 0 {
		return 1
	}
	return max(1, int(rate/perLoad))
}
