package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
)

// lateStore answers a read with the given batch after a delay, also if the read was
// cancelled meanwhile: its answer is in the socket.
type lateStore struct {
	port.Store
	delay time.Duration
	batch port.KeyedBatch
	err   error
	reads int
}

func (s *lateStore) Read(context.Context, port.Topic, int64, time.Duration) (port.KeyedBatch, error) {
	s.reads++
	_ = pause.For(context.Background(), s.delay)
	return s.batch, s.err
}

// Guards against a daemon that stood still, reads an answer that has waited for it and
// takes its list of targets for current: it sends requests to targets that have left,
// and takes streams of a version that it doesn't know for those of another one.
func TestAnswerThatWaitedIsAsOldAsItsCall(t *testing.T) {
	for _, c := range []struct {
		name              string
		wait, delay, want time.Duration
	}{
		{"answered at once", 0, 0, 0},
		{"answered within the wait", time.Second, 900 * time.Millisecond, 0},
		{"the process stood still", time.Second, 5 * time.Second, 5 * time.Second},
		{"the process stood still, without a wait", 0, 3 * time.Second, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewStore(&lateStore{delay: c.delay}, func() []string { return nil }, nil, port.TopicTargets)
				s.now = clock.NewRuntime().Now
				time.Sleep(time.Minute)
				if _, err := s.Read(t.Context(), port.TopicTargets, 0, c.wait); err != nil {
					t.Fatal(err)
				}
				if age := s.now() - s.AsOf(port.TopicTargets); age != c.want {
					t.Errorf("the data counts as %v old, want %v", age, c.want)
				}
			})
		})
	}
}
