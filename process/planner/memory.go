package planner

import (
	"slices"
	"strings"
	"time"
)

// Times around changes that went wrong, or whose outcome isn't seen yet.
const (
	orderGrace   = 8 * time.Second // until an order that shows no effect counts as refused
	firstBackoff = 30 * time.Second
	maxBackoff   = 10 * time.Minute
	awayWeight   = 0.3
)

// remember brings the memory of each engine up to date: orders that were
// carried out, refused, or lost in a crash.
func (s *State) remember(now time.Duration, o *Observation) {
	old := s.Engines
	s.Engines = make([]EngineMemory, 0, len(o.Engines))
	for i := range o.Engines {
		e := &o.Engines[i]
		m := EngineMemory{Name: e.Name, Incarnation: e.Incarnation, Since: s.Started}
		if j, ok := findMemory(old, e.Name); ok {
			m = old[j]
		}
		s.settle(now, e, &m)
		m.Incarnation = e.Incarnation
		s.Engines = append(s.Engines, m)
	}
	slices.SortFunc(s.Engines, func(a, b EngineMemory) int { return strings.Compare(a.Name, b.Name) })
}

func findMemory(ms []EngineMemory, name string) (int, bool) {
	return slices.BinarySearchFunc(ms, name, func(m EngineMemory, n string) int { return strings.Compare(m.Name, n) })
}

// settle ends a pending order when its outcome shows.
//
// The failure it stops is an engine that crashes in each change, or refuses: asked
// again at once, it would be away for good. A failed change sets a time, doubling
// with each failure in a row, before which the engine isn't asked again.
func (s *State) settle(now time.Duration, e *Engine, m *EngineMemory) {
	if m.Pending == "" {
		return
	}
	switch {
	case e.Live && !e.Changing && e.Role == m.Pending:
		s.learnAway(now - m.Ordered)
		m.Pending, m.Failures, m.Since = "", 0, now
	case m.Incarnation != "" && e.Incarnation != m.Incarnation && e.Live && !e.Changing,
		!e.Changing && now-m.Ordered > orderGrace:
		backoff := min(firstBackoff<<min(m.Failures, 5), maxBackoff)
		m.Pending, m.Failures, m.Since = "", m.Failures+1, now
		m.NotBefore = now + backoff
	}
}

func (s *State) learnAway(d time.Duration) {
	s.Away += time.Duration(awayWeight * float64(d-s.Away))
}
