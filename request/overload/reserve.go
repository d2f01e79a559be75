package overload

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/internal/fraction"
)

const (
	// mixDecay is the time in which a recorded prompt's weight falls to 1/e. A
	// daemon of a fleet of 70 sees few prompts a second, and needs some tens of
	// them for a share.
	mixDecay = 20 * time.Second
	// minMixPrompts is the weight of recent prompts from which on engines are
	// reserved.
	minMixPrompts = 10
	// shortPrefill is the prefill time up to which a prompt is short, as a
	// fraction of the mean objective.
	shortPrefill = 0.06
	// waitThreshold is the median wait of the engines from which on prompts
	// wait, as a fraction of the mean objective.
	waitThreshold = 0.1
	// maxReserved bounds the fraction of reserved engines.
	maxReserved = 0.5
)

// Mix tracks the prompts that were recently requested of a service, served or
// not. It is safe for concurrent use.
type Mix struct {
	mu        sync.Mutex
	at        time.Time // time of the newest prompt
	prompts   float64   // weight of the prompts
	objective float64   // sum of objectives, in nanoseconds
	prefill   float64   // sum of prefill times, in nanoseconds
	short     float64   // part of prefill, of short prompts
}

// Record adds a prompt at its arrival, with its predicted prefill time. Prompts
// without an objective are ignored.
func (m *Mix) Record(now time.Time, prefill, objective time.Duration) {
	if objective <= 0 || prefill <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := now.Sub(m.at); d > 0 {
		f := math.Exp(-d.Seconds() / mixDecay.Seconds())
		m.prompts, m.objective, m.prefill, m.short = m.prompts*f, m.objective*f, m.prefill*f, m.short*f
		m.at = now
	}
	m.prompts++
	m.objective += float64(objective)
	m.prefill += float64(prefill)
	if m.isShort(prefill) {
		m.short += float64(prefill)
	}
}

// isShort reports whether a prompt with this prefill time is short. Callers hold
// m.mu.
func (m *Mix) isShort(prefill time.Duration) bool {
	return float64(prefill) <= shortPrefill*m.objective/m.prompts
}

// Reservation returns the fraction of the engines that a prompt may not use,
// given the predicted waits of the engines. It is 0 for a short prompt, and while
// no prompts wait.
func (m *Mix) Reservation(prefill time.Duration, waits []time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.prompts < minMixPrompts || len(waits) == 0 || m.isShort(prefill) {
		return 0
	}
	waits = slices.Clone(waits)
	slices.Sort(waits)
	if float64(waits[len(waits)/2]) <= waitThreshold*m.objective/m.prompts {
		return 0
	}
	return min(m.short/m.prefill, maxReserved)
}

// Reserved reports whether the engine with this hash (engines.Hash) is among a
// fraction of the engines. Engines in a smaller fraction are also in each greater
// one, so daemons with slightly different fractions differ in few engines.
func Reserved(hash uint64, share float64) bool { return fraction.Of(hash) < share }
