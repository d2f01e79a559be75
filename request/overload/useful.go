// Package overload decides what is done with calls that engines can't serve in
// time: which are rejected, which prefills are cancelled, and which engines are
// reserved for short prompts. It is pure: it uses no clock and does no I/O.
package overload

import "time"

// A caller abandons a stream, even before its first event, after the longest of
// these times.
const (
	minLeaveTime    = 2 * time.Second
	objectiveFactor = 4 // times the objective of the first event
	pauseFactor     = 8 // times the longest pause between events
)

// Caller is what is known about how long a caller waits for a first event.
type Caller struct {
	Arrived      time.Time
	Deadline     time.Time
	Objective    time.Duration // for the first event; 0: none
	LongestPause time.Duration // between events that counts as on time; 0: none
}

// UsefulUntil returns the time by which a stream's first event is still of use
// to its caller. It is never after the deadline.
func UsefulUntil(c Caller) time.Time {
	leaves := c.Arrived.Add(max(minLeaveTime, objectiveFactor*c.Objective, pauseFactor*c.LongestPause))
	if leaves.After(c.Deadline) {
		return c.Deadline
	}
	return leaves
}

// FirstEvent is the prediction for a call's first event.
type FirstEvent struct {
	Wait          time.Duration // in the queues of the engines
	EffectiveWait time.Duration // Wait with a margin in long queues
	Unqueued      time.Duration // time without any queue
	Objective     time.Duration // 0: none
	// Left is the time until the event is of no use to the caller; 0: not considered.
	Left time.Duration
}

// Verdict is the decision on a call.
type Verdict int

// Verdicts.
const (
	Admit     Verdict = iota
	AdmitLate         // it is late even without queues, and yields to others
	MissesObjective
	TooLate // the caller will have left
)

// MaxLateWait is the longest wait at an engine, as a fraction of the objective,
// with which a call is admitted that is late even without queues. Without a bound
// these calls would pile up. If none were admitted, the largest prompts would
// never be served.
const MaxLateWait = 0.24

// Decide returns the verdict on a call.
//
// Once there is a queue at the engines, every call behind it is late. Serving all
// of them yields less than rejecting those that can't be on time.
func (f FirstEvent) Decide() Verdict {
	switch {
	case f.Left != 0 && f.Wait+f.Unqueued > f.Left:
		return TooLate
	case f.Objective <= 0 || f.EffectiveWait+f.Unqueued <= f.Objective:
		return Admit
	case f.Unqueued > f.Objective && f.Wait <= time.Duration(MaxLateWait*float64(f.Objective)):
		return AdmitLate
	}
	return MissesObjective
}
