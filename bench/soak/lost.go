package soak

import "time"

const (
	// graceTime is the time from SIGTERM to SIGKILL in the daemons' settings.
	graceTime = 8 * time.Second
	// graceMargin is the time before SIGKILL at which daemons end what is open.
	graceMargin = time.Second
	// lossSlack is the time after which a daemon that stops has read a request.
	lossSlack = 200 * time.Millisecond
	// earlySend is the time after SIGTERM until which callers may send requests that
	// outlast the stop. Those that a target still works on in the last sixth of the grace
	// time may be cut.
	earlySend = 3 * time.Second
	lastSixth = graceTime * 5 / 6
)

// RecordStop records a planned stop, from SIGTERM to the exit of the process.
func (j *Judge) RecordStop(daemon int, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stops[daemon] = append(j.stops[daemon], span{from, to})
}

// RecordPassedOn records that a target received a request, even if it rejected it.
func (j *Judge) RecordPassedOn(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.passedOn[id] = true
}

// BeginDisruption records that from now on, until the returned function is called,
// something happens that isn't planned work.
func (j *Judge) BeginDisruption() (end func()) {
	from := time.Now()
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.disruptions = append(j.disruptions, span{from, time.Now()})
	}
}

// Excuse is why the connection of a request may end without a complete answer.
type Excuse string

// The excuses.
const (
	None       Excuse = ""
	Killed     Excuse = "killed"
	Disrupted  Excuse = "disrupted"   // targets break streams off, and so do links to them
	OutOfTime  Excuse = "out of time" // of a stream
	Crossed    Excuse = "crossed"     // the close of its connection, and no target received it
	Outlasting Excuse = "outlasting"  // sent early in a stop that ended before it
	StoodStill Excuse = "stood still" // the daemon's process, until the end of the grace time
)

// excuse returns why the connection of a request may end without a complete answer.
// Callers hold j.mu.
func (j *Judge) excuse(o Outcome, runs int) Excuse {
	if j.killedWhileOpen(o) {
		return Killed
	}
	if o.Class == Stream && j.disrupted(o) {
		return Disrupted
	}
	if o.Class == Stream && o.Ended.Sub(o.Started) >= o.Timeout {
		return OutOfTime
	}
	passedOn := runs > 0 || j.passedOn[o.ID]
	for _, stop := range j.stops[o.Daemon] {
		if !stop.overlaps(span{o.Started, o.Ended}) {
			continue
		}
		open := o.Ended.Sub(stop.from)
		switch {
		case !passedOn && (o.Ended.Sub(o.Started) <= lossSlack || j.pausedDuring(o)):
			return Crossed
		case !o.Started.After(stop.from.Add(earlySend)) && open >= lastSixth:
			return Outlasting
		case open >= graceTime-graceMargin && j.pausedDuring(o):
			return StoodStill
		}
	}
	return None
}

// disrupted reports whether something that isn't planned work happened from
// stableWindow before a request to its end. Callers hold j.mu.
func (j *Judge) disrupted(o Outcome) bool {
	for _, d := range j.disruptions {
		if d.overlaps(span{o.Started.Add(-stableWindow), o.Ended}) {
			return true
		}
	}
	return false
}

// BeginPause records that a daemon's process is stopped until the returned function
// is called.
func (j *Judge) BeginPause(daemon int) (end func()) {
	from := time.Now()
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.paused[daemon] = append(j.paused[daemon], span{from, time.Now()})
	}
}

// pausedDuring reports whether the daemon's process stood still during the request.
// Callers hold j.mu.
func (j *Judge) pausedDuring(o Outcome) bool {
	for _, s := range j.paused[o.Daemon] {
		if s.overlaps(span{o.Started, o.Ended}) {
			return true
		}
	}
	return false
}
