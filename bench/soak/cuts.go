package soak

import (
	"fmt"
	"time"
)

const (
	// stableWindow is the time after which callers of a daemon that has lost its
	// links to all targets have to be served.
	stableWindow = 3 * time.Second
	// minServedShare is the least ratio of the share of requests served at cut
	// daemons to that at the others.
	minServedShare = 2.0 / 3
	// maxCutFailures, and maxCutFailureShare of all requests, may fail at cut
	// daemons in any case.
	maxCutFailures     = 10
	maxCutFailureShare = 1.0 / 50
)

// span is a period of time.
type span struct{ from, to time.Time }

func (s span) overlaps(o span) bool { return s.from.Before(o.to) && o.from.Before(s.to) }

// cut is the time during which a daemon has no links to the targets.
type cut struct {
	span
	daemon int
}

// RecordCut records that a daemon had no links to the targets.
func (j *Judge) RecordCut(daemon int, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cuts = append(j.cuts, cut{span: span{from, to}, daemon: daemon})
}

// BeginOutage records that from now on, until the returned function is called, a
// daemon may serve nobody for another reason.
func (j *Judge) BeginOutage(daemon int) (end func()) {
	from := time.Now()
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.outages[daemon] = append(j.outages[daemon], span{from, time.Now()})
	}
}

// served counts requests.
type served struct{ good, all int }

func (s served) share() float64 { return float64(s.good) / float64(max(s.all, 1)) }

// checkCuts checks for each cut that the requests sent later than stableWindow
// after its begin were served at the cut daemons beside the others. Callers hold
// j.mu.
func (j *Judge) checkCuts() (faults []string) {
	for _, c := range j.cuts {
		window := span{c.from.Add(stableWindow), c.to}
		var at, others served
		for _, o := range j.outcomes {
			if o.Canceled || o.Started.Before(window.from) || !o.Started.Before(window.to) || j.isDown(o.Daemon, span{o.Started, o.Ended}) {
				continue
			}
			switch {
			case j.isCut(o.Daemon, o.Started):
				at.add(o)
			case !j.isCutAtAll(o.Daemon, window):
				others.add(o)
			}
		}
		failed, allowed := at.all-at.good, maxCutFailures+maxCutFailureShare*float64(at.all+others.all)
		if others.all > 0 && at.share() < minServedShare*others.share() && float64(failed) > allowed {
			faults = append(faults, fmt.Sprintf("daemons without links to targets served %d of %d requests, the others %d of %d, from %s to %s",
				at.good, at.all, others.good, others.all, window.from.Format(timeFormat), window.to.Format(timeFormat)))
		}
	}
	return faults
}

func (s *served) add(o Outcome) {
	s.all++
	if o.Complete && o.Status == 200 {
		s.good++
	}
}

// isCut reports whether the daemon has been cut for stableWindow at that time.
func (j *Judge) isCut(daemon int, at time.Time) bool {
	for _, c := range j.cuts {
		if c.daemon == daemon && at.After(c.from.Add(stableWindow)) && at.Before(c.to) {
			return true
		}
	}
	return false
}

// isCutAtAll reports whether the daemon is cut at any time of the period.
func (j *Judge) isCutAtAll(daemon int, s span) bool {
	for _, c := range j.cuts {
		if c.daemon == daemon && c.overlaps(s) {
			return true
		}
	}
	return false
}

// isDown reports whether the daemon was killed or had another outage in the
// period, or shortly before it.
func (j *Judge) isDown(daemon int, s span) bool {
	s.from = s.from.Add(-time.Second)
	for _, k := range j.killed[daemon] {
		if (span{k.from, k.to.Add(stableWindow)}).overlaps(s) {
			return true
		}
	}
	for _, o := range j.outages[daemon] {
		if o.overlaps(s) {
			return true
		}
	}
	return false
}
