package soak

import (
	"fmt"
	"sync"
	"time"
)

// Class is how a caller may repeat a request.
type Class int

// The classes.
const (
	Unsafe Class = iota // runs once at most
	Safe                // may run again
	Stream              // answered by events, may run again
)

var classNames = [...]string{"unsafe", "safe", "stream"}

// String names the class.
func (c Class) String() string { return classNames[c] }

// Outcome is what a caller saw of one attempt.
type Outcome struct {
	ID     string
	Class  Class
	Daemon int
	Opened time.Time // when its connection was opened
	Begun  time.Time
	Ended  time.Time
	Status int  // 0: no header came
	Whole  bool // the answer came to its marked end
	NotRun bool // the answer says that nothing ran
	Body   string
	Want   string // the body of a good whole answer
	Err    error  // why the answer isn't whole
	Left   bool   // the caller gave up by itself
}

// Judge holds what callers saw against what targets did. It is safe for
// concurrent use.
type Judge struct {
	mu       sync.Mutex
	outcomes []Outcome
	killed   map[int][]span // by daemon
	faults   []string
}

// span is the time from a kill to the end of the process.
type span struct{ from, to time.Time }

// NewJudge returns an empty Judge.
func NewJudge() *Judge { return &Judge{killed: make(map[int][]span)} }

// Saw notes the end of an attempt.
func (j *Judge) Saw(o Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes = append(j.outcomes, o)
}

// Killed notes that a daemon was killed, with the requests on it, and had ended
// by then.
func (j *Judge) Killed(daemon int, from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.killed[daemon] = append(j.killed[daemon], span{from: from, to: to})
}

// Fault notes a broken promise that was seen elsewhere.
func (j *Judge) Fault(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, fmt.Sprintf(format, args...))
}

// Sums counts the attempts by how they ended.
type Sums struct {
	Attempts, Good, Refused, Failed, Broken, Left int
}

// Verdict lists the broken promises. ran has how often each attempt ran, over
// all targets; a run is one that made an answer, or would have.
func (j *Judge) Verdict(ran map[string]int) (faults []string, sums Sums) {
	j.mu.Lock()
	defer j.mu.Unlock()
	faults = append(faults, j.faults...)
	for _, o := range j.outcomes {
		sums.add(o)
		for _, f := range j.one(o, ran[o.ID]) {
			faults = append(faults, fmt.Sprintf("%s %s at daemon %d after %d ms, status %d, %d runs, %v: %s",
				o.Class, o.ID, o.Daemon, o.Ended.Sub(o.Begun).Milliseconds(), o.Status, ran[o.ID], o.Err, f))
		}
	}
	return faults, sums
}

func (s *Sums) add(o Outcome) {
	s.Attempts++
	switch {
	case o.Left:
		s.Left++
	case !o.Whole:
		s.Broken++
	case o.NotRun:
		s.Refused++
	case o.Status == 200:
		s.Good++
	default:
		s.Failed++
	}
}

// one holds one attempt against the promises.
func (j *Judge) one(o Outcome, runs int) (faults []string) {
	if o.Class == Unsafe && runs > 1 {
		faults = append(faults, "ran twice")
	}
	if o.Whole && o.NotRun && runs > 0 {
		faults = append(faults, "told that it didn't run, and it ran")
	}
	if o.Whole && o.Status == 200 && o.Body != o.Want {
		faults = append(faults, fmt.Sprintf("answer isn't whole or another's: %.80q", o.Body))
	}
	if o.Whole && o.Status == 200 && runs == 0 {
		faults = append(faults, "a good answer that no target gave")
	}
	if !o.Whole && !o.Left && o.Class != Stream && !j.killedSince(o) {
		faults = append(faults, "cut, though its daemon wasn't killed")
	}
	return faults
}

// killedSince reports whether the daemon was killed while the connection was open:
// a caller learns of it by its next request only.
func (j *Judge) killedSince(o Outcome) bool {
	for _, k := range j.killed[o.Daemon] {
		if !k.to.Before(o.Opened) && !k.from.After(o.Ended) {
			return true
		}
	}
	return false
}
