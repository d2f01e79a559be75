package shutdown

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const limit = 7800 * time.Millisecond

// Guards against a process that is killed at the end of its grace time, since a step
// of its stop waits for a store or a duty call that never answers.
func TestStepThatHangsEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Sequence
		never, left := make(chan struct{}), make(chan struct{})
		begun := time.Now()
		err := s.Within(limit, func() error {
			defer close(left)
			s.Step("drain", func() { time.Sleep(time.Second) })
			s.Step("duties", func() { <-never })
			return nil
		})
		if !errors.Is(err, ErrDeadline) || !strings.Contains(err.Error(), `"duties"`) {
			t.Errorf("error %v", err)
		}
		if took := time.Since(begun); took != limit {
			t.Errorf("took %v", took)
		}
		if took := s.Durations()["drain_ms"]; took != int64(1000) {
			t.Errorf("drain: %v ms", took)
		}
		close(never)
		<-left
	})
}

func TestStopThatEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Sequence
		failed := errors.New("failed")
		begun := time.Now()
		err := s.Within(limit, func() error {
			s.Step("drain", func() { time.Sleep(3 * time.Second) })
			s.Step("close", func() {})
			return failed
		})
		if !errors.Is(err, failed) {
			t.Errorf("error %v", err)
		}
		if took := time.Since(begun); took != 3*time.Second {
			t.Errorf("took %v", took)
		}
		if n := len(s.Durations()); n != 1 {
			t.Errorf("%d durations", n)
		}
	})
}
