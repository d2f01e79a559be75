package planner

import (
	"slices"
	"strings"
	"time"
)

// Times around changes that went wrong, or whose outcome isn't seen yet.
const (
	orderGrace       = 8 * time.Second // until an order that shows no effect counts as refused
	firstBackoff     = 30 * time.Second
	maxBackoff       = 10 * time.Minute
	changeTimeWeight = 0.3
)

// updateEngines brings the memory of each engine up to date: orders that were
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

// resolvePending ends a pending order when its outcome shows.
//
// The failure it stops is an engine that crashes in each change, or refuses: asked
// again at once, it would be away for good. A failed change sets a time, doubling
// with each failure in a row, before which the engine isn't asked again.
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

func (s *State) updateChangeTime(d time.Duration) {
	s.ChangeTime += time.Duration(changeTimeWeight * float64(d-s.ChangeTime))
}
