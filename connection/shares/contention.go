package shares

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/engines"
)

const (
	// quietTime is the time without contention after which a period of it has
	// ended. It bounds the log lines to two in that time for each service.
	quietTime = 10 * time.Second
	// maxNamed is the number of organisations that a log line names.
	maxNamed = 8
)

// period is a period of contention for a service's targets.
type period struct {
	begun    time.Time // zero: there is none
	last     time.Time // time of the last call that found contention
	rejected uint64    // rejections before it
}

// State describes a service for metrics.
type State struct {
	Service    string
	Rejected   uint64  // calls rejected because of their organisations' shares
	Contention bool    // calls found contention in the last quietTime
	Level      float64 // fair share of an organisation as a number of targets; 0 without contention
	Over       int     // organisations over their share; 0 without contention
}

// contend records that a call found contention. Callers hold t.mu.
func (s *service) contend(name string, now time.Time) {
	s.period.last = now
	if !s.period.begun.IsZero() {
		return
	}
	s.period.begun, s.period.rejected = now, s.rejected
	s.logEntry(name).WithField("fullness", fmt.Sprintf("%.2f", s.fullness)).Info("shares: contention began")
}

// logEntry returns the inputs of the decisions on a service's calls. Usage is
// stated as a number of targets.
func (s *service) logEntry(name string) *log.Entry {
	over := s.over()
	names := make([]string, 0, maxNamed)
	for _, org := range over[:min(len(over), maxNamed)] {
		names = append(names, fmt.Sprintf("%.80s %.3f", s.name(org), s.view.usage[org]))
	}
	return log.WithFields(log.Fields{
		"service": name, "level": fmt.Sprintf("%.3f", s.view.level), "usage": fmt.Sprintf("%.3f", s.view.total),
		"organisations": len(s.view.usage), "over": len(over), "over_names": names,
	})
}

// over returns the organisations over their share, those with the highest usage
// first.
func (s *service) over() []uint64 {
	var out []uint64
	for org := range s.view.usage {
		if s.view.over(org) {
			out = append(out, org)
		}
	}
	slices.SortFunc(out, func(a, b uint64) int { return cmp.Compare(s.view.usage[b], s.view.usage[a]) })
	return out
}

// name returns the name of an organisation, or its hash if it has had no calls
// at this daemon.
func (s *service) name(org uint64) string {
	if name, known := s.names[org]; known {
		return name
	}
	return fmt.Sprintf("%016x", org)
}

// Update ends the periods of contention that are over, and returns the state of
// each service. It is called about once per second.
func (t *Tracker) Update() []State {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make([]State, 0, len(t.services))
	for name, s := range t.services {
		st := State{Service: name, Rejected: s.rejected}
		if !s.period.begun.IsZero() {
			s.updateView(engines.Hash(name), t.rows, now)
			s.endIfQuiet(name, now)
		}
		if !s.period.begun.IsZero() {
			st.Contention, st.Level, st.Over = true, s.view.level, len(s.over())
		}
		out = append(out, st)
	}
	return out
}

// endIfQuiet ends the period of contention after quietTime without any.
func (s *service) endIfQuiet(name string, now time.Time) {
	if now.Sub(s.period.last) < quietTime {
		return
	}
	s.logEntry(name).WithFields(log.Fields{
		"seconds":  fmt.Sprintf("%.1f", s.period.last.Sub(s.period.begun).Seconds()),
		"rejected": s.rejected - s.period.rejected,
	}).Info("shares: contention ended")
	s.period = period{}
}
