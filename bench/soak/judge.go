package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// Class is the kind of a request. It determines how the request is answered and
// whether it may be repeated.
type Class int

// The classes.
const (
	Unsafe Class = iota // not idempotent: runs at most once
	Safe                // idempotent: may run more than once
	Stream              // answered by a stream of events that may not be resumed: runs at most once
)

var classNames = [...]string{"unsafe", "safe", "stream"}

// String returns the name of the class.
func (c Class) String() string { return classNames[c] }

// Outcome is what a caller observed of one request.
type Outcome struct {
	ID         string
	Class      Class
	Daemon     int
	ConnOpened time.Time     // when the connect of the connection began
	Timeout    time.Duration // until the deadline
	Started    time.Time
	Ended      time.Time
	Status     int  // 0 if no header was received
	Complete   bool // the answer was received up to its end
	NotRun     bool // the answer states that nothing ran
	Body       string
	WantBody   string // expected body of a complete success
	Err        error  // why the answer is incomplete
	Canceled   bool   // the caller canceled the request
	Crashing   bool   // the request crashes the targets that run it
	Head       string // first part of the prompt
}

// Judge checks what callers observed against what targets recorded. It is
// safe for concurrent use.
type Judge struct {
	mu          sync.Mutex
	outcomes    []Outcome
	killed      map[int][]killSpan // by index of the daemon
	paused      map[int][]span     // by index of the daemon
	stops       map[int][]span     // by index of the daemon
	passedOn    map[string]bool    // ids of requests that targets received
	disruptions []span             // that aren't planned work
	outages     map[int][]span     // by index of the daemon, the times at which it may serve nobody
	cuts        []cut
	crashes     []time.Time       // of targets, by crashBody
	crashing    []standin.Arrival // of requests with that body
	parts       partRecords
	streams     []streamOutcome
	faults      []string
}

// killSpan is the time from a kill signal to the exit of the process.
type killSpan struct{ from, to time.Time }

// NewJudge returns an empty Judge.
func NewJudge() *Judge {
	return &Judge{
		killed: make(map[int][]killSpan), paused: make(map[int][]span), outages: make(map[int][]span),
		stops: make(map[int][]span), passedOn: make(map[string]bool),
	}
}

// Record records the outcome of a request.
func (j *Judge) Record(o Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes = append(j.outcomes, o)
}

// SentTimes returns when callers sent the requests of the selected classes.
func (j *Judge) SentTimes(of func(Class) bool) (out []time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, o := range j.outcomes {
		if of(o.Class) {
			out = append(out, o.Started)
		}
	}
	for _, o := range j.streams {
		for _, try := range o.Tries {
			if of(Stream) {
				out = append(out, try.At)
			}
		}
	}
	return out
}

// RecordKill records that a daemon was killed at from and had exited at to.
// The requests that were open on it are lost.
func (j *Judge) RecordKill(daemon int, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.killed[daemon] = append(j.killed[daemon], killSpan{from: from, to: to})
}

// ReportFault records a violation that was found outside of Judge.
func (j *Judge) ReportFault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// Totals counts the requests by how they ended. An answer counts as Broken if it
// is incomplete, and as Left if its caller canceled the request.
type Totals struct {
	Attempts, Good, Refused, Failed, Broken, Left int
	// Streams of the resumable route, those that callers received whole, the requests
	// that took one up and those of them that brought more of it.
	Streams, Whole, TakenUp, WentOn int
	// Connections that targets accepted, and answers that they sent once more.
	Connections, Copies int
	Excused             map[Excuse]int // incomplete answers that are no fault
}

// Verdict returns the violations and the totals. ran is the number of runs of
// each request over all targets. A run counts also if its answer was never
// sent.
func (j *Judge) Verdict(ran map[string]int) (faults []string, totals Totals) {
	j.mu.Lock()
	defer j.mu.Unlock()
	faults = append(faults, j.faults...)
	faults = append(faults, j.checkCuts()...)
	faults = append(faults, j.checkCrashes()...)
	faults = append(faults, j.checkParts(ran)...)
	faults = append(faults, j.checkStreams()...)
	totals.Excused = make(map[Excuse]int)
	for _, o := range j.streams {
		totals.addStream(o)
	}
	for _, o := range j.outcomes {
		totals.add(o)
		if e := j.excuse(o, ran[o.ID]); !o.Complete && !o.Canceled && e != None {
			totals.Excused[e]++
		}
		for _, f := range j.check(o, ran[o.ID]) {
			faults = append(faults, fmt.Sprintf("%s %s at daemon %d after %d ms, status %d, %d runs, %v: %s",
				o.Class, o.ID, o.Daemon, o.Ended.Sub(o.Started).Milliseconds(), o.Status, ran[o.ID], o.Err, f))
		}
	}
	return faults, totals
}

func (t *Totals) add(o Outcome) {
	t.Attempts++
	switch {
	case o.Canceled:
		t.Left++
	case !o.Complete:
		t.Broken++
	case o.NotRun:
		t.Refused++
	case o.Status == 200:
		t.Good++
	default:
		t.Failed++
	}
}

// check returns the violations that the outcome of one request shows.
func (j *Judge) check(o Outcome, runs int) (faults []string) {
	if o.Class != Safe && runs > 1 {
		faults = append(faults, "ran twice")
	}
	if o.Complete && o.NotRun && runs > 0 {
		faults = append(faults, "reported as not run, but it ran")
	}
	if o.Complete && o.Status == 200 && o.Body != o.WantBody {
		faults = append(faults, fmt.Sprintf("answer is incomplete or another request's: %.80q", o.Body))
	}
	if o.Complete && o.Status == 200 && runs == 0 {
		faults = append(faults, "answered, but no target ran it")
	}
	if o.Complete && !o.Crashing && strings.Contains(o.Body, quarantined) {
		faults = append(faults, "harmless content is in quarantine")
	}
	if !o.Complete && !o.Canceled && j.excuse(o, runs) == None {
		faults = append(faults, "cut, though its daemon wasn't killed; "+j.connectionTimes(o))
	}
	return faults
}

// timeFormat has the precision at which kills and connections are compared.
const timeFormat = "15:04:05.000000"

// connectionTimes describes the lifetime of the connection of a request and
// when its daemon was killed.
func (j *Judge) connectionTimes(o Outcome) string {
	var b strings.Builder
	fmt.Fprintf(&b, "connected %s, sent %s, ended %s, kills", o.ConnOpened.Format(timeFormat), o.Started.Format(timeFormat), o.Ended.Format(timeFormat))
	for _, k := range j.killed[o.Daemon] {
		fmt.Fprintf(&b, " %s to %s", k.from.Format(timeFormat), k.to.Format(timeFormat))
	}
	for _, s := range j.stops[o.Daemon] {
		if s.overlaps(span{o.ConnOpened, o.Ended}) {
			fmt.Fprintf(&b, ", stop %s to %s", s.from.Format(timeFormat), s.to.Format(timeFormat))
		}
	}
	if j.passedOn[o.ID] {
		b.WriteString(", passed on")
	}
	return b.String()
}

// killedWhileOpen reports whether the daemon was killed while the connection
// was open. The whole lifetime of the connection counts, because a caller
// notices the loss of an idle connection only at its next request.
func (j *Judge) killedWhileOpen(o Outcome) bool {
	for _, k := range j.killed[o.Daemon] {
		if !k.to.Before(o.ConnOpened) && !k.from.After(o.Ended) {
			return true
		}
	}
	return false
}
