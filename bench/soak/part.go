package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

const (
	// crashPart is a part that crashes each engine that writes on it.
	crashPart = "badbad00"
	// partHead is the first part of the prompts with it. Sound requests share it.
	partHead = "0"
	// crashesBeforePartLimit is the number of crashes by a part after which its sends
	// are limited to maxLateParts, from stableWindow on.
	crashesBeforePartLimit = 5
	maxLateParts           = 3
	// partInterval is the time between two requests with that part.
	partInterval = 150 * time.Millisecond
	// minPartRequests is the number of sound requests, before the crashes and after
	// them, that a comparison of both needs.
	minPartRequests = 20
	// minFirstAttempts is the share of the earlier rate of first attempts that sound
	// requests keep.
	minFirstAttempts = 0.5
)

// partPlan returns an event that sends requests with crashPart, whose targets fall in a
// random way. Beside other faults the sound requests aren't compared.
func partPlan(seed uint64, s Size) Event {
	r := rand.New(rand.NewPCG(seed, 5))
	at := randomDuration(r, time.Second)
	mode := [...]Mode{Pass, Reset, Blackhole}[r.IntN(3)]
	return Event{At: at, For: s.Length - quietPeriod - at, Kind: CrashPart, Mode: mode, How: partOnly}
}

// partOnly is the variant of CrashPart in which only the sends are checked.
const partOnly = 1

// partRecords are the records of requests with crashPart.
type partRecords struct {
	begin, end time.Time   // of the requests
	crashes    []time.Time // of targets
	arrivals   []standin.Arrival
}

// RecordPartSpan records when requests with crashPart were sent.
func (j *Judge) RecordPartSpan(begin, end time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.parts.begin, j.parts.end = begin, end
}

// RecordPartCrash records that crashPart ended a target.
func (j *Judge) RecordPartCrash(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.parts.crashes = append(j.parts.crashes, at)
}

// RecordPart records that a target received a request with crashPart.
func (j *Judge) RecordPart(a standin.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.parts.arrivals = append(j.parts.arrivals, a)
}

// PartSummary returns the number of targets that crashPart ended.
func (j *Judge) PartSummary() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return fmt.Sprintf("%d targets ended, %d requests with the part arrived", len(j.parts.crashes), len(j.parts.arrivals))
}

// checkParts returns a violation if daemons in touch sent requests with crashPart to
// targets too often, and one if sound requests with the same first part begin at
// their first attempt too rarely. Callers hold j.mu.
func (j *Judge) checkParts(ran map[string]int) (faults []string) {
	p := &j.parts
	if len(p.crashes) == 0 {
		return nil
	}
	last := p.crashes[min(len(p.crashes), crashesBeforePartLimit)-1]
	late := 0
	for _, a := range p.arrivals {
		if len(p.crashes) >= crashesBeforePartLimit && a.At.After(last.Add(stableWindow)) && !a.Prefill && j.inTouch(a.ID, a.At) {
			late++
		}
	}
	if late > maxLateParts {
		faults = append(faults, fmt.Sprintf("requests with a part that crashes its targets were sent %d times later than %v after %s, %d allowed; %d targets ended", late, stableWindow, last.Format(timeFormat), maxLateParts, len(p.crashes)))
	}
	before, sentBefore := j.firstAttempts(ran, time.Time{}, p.begin)
	after, sentAfter := j.firstAttempts(ran, last.Add(2*stableWindow), p.end)
	if sentBefore >= minPartRequests && sentAfter >= minPartRequests && after < minFirstAttempts*before {
		faults = append(faults, fmt.Sprintf("%.2f of %d sound requests began at their first attempt, %.2f of %d before", after, sentAfter, before, sentBefore))
	}
	return faults
}

// firstAttempts returns the share of the sound requests with partHead, sent between
// two times to daemons in touch, that one target ran, and their number.
func (j *Judge) firstAttempts(ran map[string]int, from, to time.Time) (share float64, sent int) {
	first := 0
	for _, o := range j.outcomes {
		if o.Crashing || o.Canceled || o.Head != partHead || o.Started.Before(from) || !o.Started.Before(to) || !j.inTouchAt(o.Daemon, o.Started) {
			continue
		}
		sent++
		if ran[o.ID] == 1 && o.Status == 200 {
			first++
		}
	}
	return float64(first) / float64(max(sent, 1)), sent
}
