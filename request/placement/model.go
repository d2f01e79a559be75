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
	Start    time.Duration // from the engine's last step for a prompt to its answer; others are read meanwhile
	First    time.Duration // from the request to the decoding engine to its first event, without the move
	Pace     float64       // seen over foreseen
}

// The figures of Model, by least squares over 1,300 prompts that found their
// engine idle; the foresight is then off by 5 ms at the quartiles.
const (
	defaultPerToken = 23 * time.Microsecond
	defaultPerPair  = 257 * time.Microsecond
	defaultStart    = 50 * time.Millisecond
	defaultFirst    = 40 * time.Millisecond
)

// DefaultModel returns the figures assumed before anything is seen.
func DefaultModel() Model {
	return Model{PerToken: defaultPerToken, PerPair: defaultPerPair, Start: defaultStart, First: defaultFirst, Pace: 1}
}

// Read is the time that an engine takes to read the last missing tokens of a
// prompt.
func (m Model) Read(prompt, missing int) time.Duration {
	pairs := float64(missing) * (float64(prompt) - float64(missing)/2) / 1e6
	t := float64(missing)*float64(m.PerToken) + pairs*float64(m.PerPair)
	return time.Duration(t * m.Pace)
}

// Bounds of Pace and the weight of one sight of it.
const (
	minPace   = 0.3
	maxPace   = 4.0
	paceShare = 0.02
)

// learnFrom is the least foreseen time that teaches: the fixed part is most of
// shorter ones.
const learnFrom = 100 * time.Millisecond

// Seen corrects the pace by one prompt that was read in that time.
func (m *Model) Seen(foreseen, seen time.Duration) {
	if foreseen < learnFrom {
		return
	}
	ratio := min(max(float64(seen)/float64(foreseen), 0.5), 2)
	m.Pace *= 1 + paceShare*(ratio-1)
	m.Pace = min(max(m.Pace, minPace), maxPace)
}
