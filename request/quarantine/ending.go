package quarantine

import "time"

const (
	settleTime = time.Second // after an end, until it counts as a good one
	maxEnded   = 4096        // ends that haven't settled
	maxClean   = 8192        // contents known to have ended well
)

// ending is a content that left a target.
type ending struct {
	fp     uint64
	target string
	at     time.Time
}

// endings holds the ends of the last moment, and which contents ended well.
type endings struct {
	fresh []ending // oldest first
	clean map[uint64]struct{}
	order []uint64 // of clean, oldest first
}

func (e *endings) add(x ending) {
	if len(e.fresh) >= maxEnded {
		e.fresh = e.fresh[1:]
	}
	e.fresh = append(e.fresh, x)
}

// settle counts the contents whose targets outlived them by settleTime as
// ended well.
func (e *endings) settle(now time.Time) {
	for len(e.fresh) > 0 && now.Sub(e.fresh[0].at) >= settleTime {
		e.keep(e.fresh[0].fp)
		e.fresh = e.fresh[1:]
	}
}

func (e *endings) keep(fp uint64) {
	if _, ok := e.clean[fp]; ok {
		return
	}
	if len(e.order) >= maxClean {
		delete(e.clean, e.order[0])
		e.order = e.order[1:]
	}
	e.clean[fp] = struct{}{}
	e.order = append(e.order, fp)
}

// takeFrom removes and returns what left a target a moment ago.
func (e *endings) takeFrom(target string) []uint64 {
	var fps []uint64
	kept := make([]ending, 0, len(e.fresh))
	for _, x := range e.fresh {
		if x.target == target {
			fps = append(fps, x.fp)
			continue
		}
		kept = append(kept, x)
	}
	e.fresh = kept
	return fps
}

func (e *endings) endedWell(fp uint64) bool {
	_, ok := e.clean[fp]
	return ok
}
