package reconcile

import (
	"time"

	"github.com/pomelospool/pomelospool/process/fold"
)

// LoadMax is how long an open load counts against the weight store. One that
// is older belongs to an engine that doesn't answer and reads nothing.
const LoadMax = 10 * time.Minute

// Loads counts the open loads of the whole fleet.
//
// An order is sent only while fewer loads than there are slots stand open
// before it in the log. Every holder that sees its own order has folded all
// that stands before it, so no two holders can both believe in the last slot,
// and nothing has to be agreed between groups.
type Loads struct {
	first map[string]time.Duration // by order id: when it was seen first
}

// Observe notes the open loads.
func (l *Loads) Observe(now time.Duration, s *fold.State) {
	first := make(map[string]time.Duration)
	for _, e := range s.Engines {
		if e.Open == nil || !e.Open.Load {
			continue
		}
		at, ok := l.first[e.Open.ID]
		if !ok {
			at = now
		}
		first[e.Open.ID] = at
	}
	l.first = first
}

// Ahead returns how many open loads stand before the open order, or all of
// them when open is nil.
func (l *Loads) Ahead(now time.Duration, s *fold.State, open *fold.OpenOrder) int {
	n := 0
	for _, e := range s.Engines {
		o := e.Open
		if o == nil || !o.Load || now >= l.first[o.ID]+LoadMax {
			continue
		}
		if open == nil || o.Offset < open.Offset {
			n++
		}
	}
	return n
}

// Slots returns how many loads may run at once when each draws perLoad bytes a
// second and the store gives rate to all together. One may always run.
func Slots(rate, perLoad float64) int {
	if perLoad <= 0 {
		return 1
	}
	return max(1, int(rate/perLoad))
}
