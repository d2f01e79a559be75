package quarantine

import "time"

const (
	settleTime    = time.Second // after a run has ended, until it counts as completed
	maxRecentEnds = 4096        // ended runs that have not settled
	maxCompleted  = 8192        // contents known to have completed
)

// endedRun is a run of a content that left its target.
type endedRun struct {
	suspect
	target   string
	at       time.Time
	answered bool // it wasn't broken off
}

// endedRuns holds the runs that ended less than settleTime ago, and the contents
// that have completed a run.
type endedRuns struct {
	recent    []endedRun         // oldest first
	completed times[Fingerprint] // end of the last run; its begin with tolerated crashes
}

func (e *endedRuns) add(x endedRun) {
	if len(e.recent) >= maxRecentEnds {
		e.recent = e.recent[1:]
	}
	e.recent = append(e.recent, x)
}

// settle marks a content as completed if its target has survived the end of the
// run by settleTime.
func (e *endedRuns) settle(now time.Time) {
	for len(e.recent) > 0 && now.Sub(e.recent[0].at) >= settleTime {
		if x := e.recent[0]; x.answered {
			e.markCompleted(x.fp, x.at)
		}
		e.recent = e.recent[1:]
	}
}

func (e *endedRuns) markCompleted(fp Fingerprint, at time.Time) {
	if known, ok := e.completed.get(fp); !ok || at.After(known) {
		e.completed.set(fp, at)
	}
}

// removeRecent removes the recently ended runs on a target and returns their
// contents.
func (e *endedRuns) removeRecent(target string) (out []suspect) {
	kept := make([]endedRun, 0, len(e.recent))
	for _, x := range e.recent {
		if x.target == target {
			out = append(out, x.suspect)
			continue
		}
		kept = append(kept, x)
	}
	e.recent = kept
	return out
}

func (e *endedRuns) hasCompleted(fp Fingerprint) bool {
	_, ok := e.completed.get(fp)
	return ok
}
