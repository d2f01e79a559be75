package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

const (
	// crashBody is the body of a request that crashes each target that runs it.
	crashBody = "crashes its targets"
	// quarantined is in the answer to a request whose content is refused because it
	// crashes targets.
	quarantined = "CONTENT_QUARANTINED"
	// crashesBeforeLimit is the number of targets after whose crash the sends are
	// limited to maxLateSends, from stableWindow on.
	crashesBeforeLimit = 3
	maxLateSends       = 3
	// crashInterval is the time between two requests that crash targets.
	crashInterval = 250 * time.Millisecond
)

// crashPlan returns an event that sends a request of a random class that crashes
// its targets.
func crashPlan(seed uint64, s Size) Event {
	r := rand.New(rand.NewPCG(seed, 4))
	at := randomDuration(r, time.Second)
	return Event{At: at, For: s.Length - quietPeriod - at, Kind: CrashContent, How: r.IntN(len(classNames))}
}

// RecordCrash records that crashBody ended a target.
func (j *Judge) RecordCrash(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashes = append(j.crashes, at)
}

// RecordCrashing records that a target received a request with crashBody.
func (j *Judge) RecordCrashing(a standin.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.crashing = append(j.crashing, a)
}

// checkCrashes returns a violation if daemons in touch sent crashBody to targets
// too often. Callers hold j.mu.
func (j *Judge) checkCrashes() (faults []string) {
	if len(j.crashes) < crashesBeforeLimit {
		return nil
	}
	limit := j.crashes[crashesBeforeLimit-1].Add(stableWindow)
	late := 0
	for _, a := range j.crashing {
		if a.At.After(limit) && !a.Prefill && j.inTouch(a.ID, a.At) {
			late++
		}
	}
	if late > maxLateSends {
		faults = append(faults, fmt.Sprintf("a request that crashes its targets was sent %d times later than %s, %d allowed; %d targets ended", late, limit.Format(timeFormat), maxLateSends, len(j.crashes)))
	}
	return faults
}

// inTouch reports whether the daemon that received the request from its caller had
// no disruption in the stableWindow before. Callers hold j.mu.
func (j *Judge) inTouch(id string, at time.Time) bool {
	for _, o := range j.outcomes {
		if o.ID == id {
			return j.inTouchAt(o.Daemon, at)
		}
	}
	return true
}
