package planner

import (
	"slices"
	"strings"
	"time"
)

// Timeout and backoff of changes, and the weight of the newest change time.
const (
	orderGrace       = 8 * time.Second // after this time, an order without effect counts as refused
	firstBackoff     = 30 * time.Second
	maxBackoff       = 10 * time.Minute
	changeTimeWeight = 0.3
)

// updateEngines updates the state of each engine. It resolves orders that were
// carried out, refused, or lost in a crash.
func (s *State) updateEngines(now time.Duration, o *Observation) {
	old := s.Engines
	s.Engines = make([]EngineState, 0, len(o.Engines))
	for i := range o.Engines {
		e := &o.Engines[i]
		m := EngineState{Name: e.Name, Incarnation: e.Incarnation, Since: s.Started}
		if j, ok := findEngineState(old, e.Name); ok {
			m = old[j]
		}
		s.resolvePending(now, e, &m)
		m.Incarnation = e.Incarnation
		s.Engines = append(s.Engines, m)
	}
	slices.SortFunc(s.Engines, func(a, b EngineState) int { return strings.Compare(a.Name, b.Name) })
}

func findEngineState(ms []EngineState, name string) (int, bool) {
	return slices.BinarySearchFunc(ms, name, func(m EngineState, n string) int { return strings.Compare(m.Name, n) })
}

// resolvePending ends a pending order once its outcome is known.
//
// An engine that crashes at each change, or refuses it, would never work if it were
// ordered again at once. A failed change therefore starts an exponential backoff,
// during which the engine gets no orders.
func (s *State) resolvePending(now time.Duration, e *Engine, m *EngineState) {
	if m.Pending == "" {
		return
	}
	switch {
	case e.Live && !e.Changing && e.Role == m.Pending:
		s.updateChangeTime(now - m.Ordered)
		m.Pending, m.Failures, m.Since = "", 0, now
	case m.Incarnation != "" && e.Incarnation != m.Incarnation && e.Live && !e.Changing,
		!e.Changing && now-m.Ordered > orderGrace:
		backoff := min(firstBackoff<<min(m.Failures, 5), maxBackoff)
		m.Pending, m.Failures, m.Since = "", m.Failures+1, now
		m.NotBefore = now + backoff
	}
}

// updateChangeTime adds a measured time to the moving average.
func (s *State) updateChangeTime(d time.Duration) {
	s.ChangeTime += time.Duration(changeTimeWeight * float64(d-s.ChangeTime))
}
