// Package shutdown runs the steps of a planned stop under one deadline. A process
// that is still there at the end of its grace time is killed, whatever it waits for.
package shutdown

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
)

// ErrDeadline means that a step was still running at the deadline.
var ErrDeadline = errors.New("shutdown: deadline reached")

// slowStep is the duration from which a step's duration is logged.
const slowStep = 20 * time.Millisecond

// Sequence is one planned stop. The zero value is ready for use.
type Sequence struct {
	mu      sync.Mutex
	current string     // the running step
	took    log.Fields // durations in milliseconds, by step
}

// Step runs f as the step of that name and records how long it takes. Steps run one
// after the other.
func (s *Sequence) Step(name string, f func()) {
	begun := time.Now()
	s.mu.Lock()
	s.current = name
	s.mu.Unlock()
	f()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = ""
	if took := time.Since(begun); took >= slowStep {
		if s.took == nil {
			s.took = make(log.Fields)
		}
		s.took[name+"_ms"] = took.Milliseconds()
	}
}

// Durations returns the durations of the steps that took long, in milliseconds, as
// fields of a log line.
func (s *Sequence) Durations() log.Fields {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(log.Fields, len(s.took))
	for name, took := range s.took {
		out[name] = took
	}
	return out
}

// Within runs the stop, which calls Step, and returns its error. If the stop takes
// longer than the limit, Within leaves it behind and returns an error that wraps
// ErrDeadline and names the running step. The process must exit then.
func (s *Sequence) Within(limit time.Duration, stop func() error) error {
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	select {
	case err := <-ended:
		return err
	case <-deadline.C:
	}
	s.mu.Lock()
	current := s.current
	s.mu.Unlock()
	log.WithFields(s.Durations()).WithFields(log.Fields{"step": current, "limit_ms": limit.Milliseconds()}).Error("shutdown: a step doesn't end; exiting without it")
	return fmt.Errorf("%w after %v in step %q", ErrDeadline, limit, current)
}
