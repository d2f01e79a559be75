package watchdog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
)

const limit = 400 * time.Millisecond

// expiry returns the duration of a wait that starts at time zero. late holds
// the delays of the timers of the first slices; later timers fire on time.
func expiry(late ...time.Duration) time.Duration {
	begun := time.Unix(0, 0)
	w := newWait(limit, begun)
	now := begun
	for {
		now = w.due
		if len(late) > 0 {
			now, late = now.Add(late[0]), late[1:]
		}
		if w.next(now) {
			return now.Sub(begun)
		}
	}
}

// Guards against a paused process that takes its own pause for the silence of a
// peer whose data it hasn't read yet.
func TestPauseDoesNotCountAsWait(t *testing.T) {
	const pause = 10 * time.Second
	for _, c := range []struct {
		name string
		late []time.Duration
		ran  time.Duration // expected: without the pauses
	}{
		{"none", nil, limit},
		{"in the first slice", []time.Duration{pause}, limit},
		{"in the last slice", []time.Duration{0, 0, 0, pause}, limit + limit/2},
		{"twice", []time.Duration{0, 0, 0, pause, pause}, limit + limit/2 + limit/4},
	} {
		paused := time.Duration(0)
		for _, d := range c.late {
			paused += d
		}
		if ran := expiry(c.late...) - paused; ran != c.ran {
			t.Errorf("pause %s: ended after %v of running, want %v", c.name, ran, c.ran)
		}
	}
}

func TestWaitEndsAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var took []time.Duration
		w := New(func() { took = append(took, time.Since(begun)) })
		for _, step := range []struct{ limit, wait time.Duration }{
			{limit, limit / 2}, // replaced before its limit
			{limit, limit},     // expires
			{0, limit},         // no limit
		} {
			w.Arm(step.limit)
			_ = pause.For(t.Context(), step.wait)
			synctest.Wait()
		}
		if want := limit/2 + limit; len(took) != 1 || took[0] != want {
			t.Errorf("expired at %v, want %v", took, want)
		}
		if w.Disarm() {
			t.Error("a wait without a limit expired")
		}
	})
}

func TestTimeoutHasACause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := WithTimeout(t.Context(), limit)
		defer cancel()
		begun := time.Now()
		<-ctx.Done()
		if err := context.Cause(ctx); !errors.Is(err, context.DeadlineExceeded) || time.Since(begun) != limit {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
	})
}
