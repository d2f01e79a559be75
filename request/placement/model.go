// Package placement chooses the engines that read a request's prompt and that
// make its answer, and says when the first event can be expected. It is pure:
// no clock and no I/O.
package placement

import "time"

// Model holds the figures by which the time of a prompt is foreseen. They are
// those of a 70-billion-parameter model on four accelerators; Pace corrects
// them by what is seen.
type Model struct {
	PerToken time.Duration // to read one prompt token, in pieces between steps
	PerPair  time.Duration // for a million pairs of a token and one before it
	Start    time.Duration // fixed part of a prompt
	First    time.Duration // from the request to the decoding engine to its first event, without the move
	Pace     float64       // seen over foreseen
}

// The figures of Model: 51.1 prompt tokens a millisecond, a step of 5.1 ms for
// each 2,048 of them, 0.323 ms for a million pairs, 47 ms to the first token.
const (
	defaultPerToken = 22 * time.Microsecond
	defaultPerPair  = 323 * time.Microsecond
	defaultStart    = 12 * time.Millisecond
	defaultFirst    = 60 * time.Millisecond
)

// DefaultModel returns the figures assumed before anything is seen.
func DefaultModel() Model {
	return Model{PerToken: defaultPerToken, PerPair: defaultPerPair, Start: defaultStart, First: defaultFirst, Pace: 1}
}

// Read is the time to read the last missing tokens of a prompt.
func (m Model) Read(prompt, missing int) time.Duration {
	pairs := float64(missing) * (float64(prompt) - float64(missing)/2) / 1e6
	t := float64(m.Start) + float64(missing)*float64(m.PerToken) + pairs*float64(m.PerPair)
	return time.Duration(t * m.Pace)
}

// Wait is the time until an engine has read that many tokens of others.
func (m Model) Wait(tokens int) time.Duration {
	return time.Duration(float64(tokens) * float64(m.PerToken) * m.Pace)
}

// Bounds of Pace and the weight of one sight of it.
const (
	minPace   = 0.5
	maxPace   = 2.0
	paceShare = 0.05
)

// Seen corrects the pace by one prompt that was read in that time.
func (m *Model) Seen(foreseen, seen time.Duration) {
	if foreseen <= 0 {
		return
	}
	ratio := float64(seen) / float64(foreseen)
	ratio = min(max(ratio, minPace/maxPace), maxPace/minPace)
	m.Pace *= 1 + paceShare*(ratio-1)
	m.Pace = min(max(m.Pace, minPace), maxPace)
}
