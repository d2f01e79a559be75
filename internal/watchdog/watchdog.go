// Package watchdog limits the wait for a peer, without counting the time in
// which this process was paused.
//
// All timers of a process that was stopped, or that didn't get CPU time on a
// busy VM, expire at once when it continues, before it has read what its peers
// sent in the meantime. Without the correction the process would take its own
// pause for the silence of all its peers.
package watchdog

import (
	"context"
	"sync"
	"time"
)

const (
	// slices is the number of parts into which a limit is divided. A pause
	// counts as one part at most.
	slices = 4
	// minSlicesAfterPause is the minimum number of parts that remain after a
	// pause, so that data that arrived during the pause is read before the
	// limit is reached.
	minSlicesAfterPause = 2
)

// Watchdog calls a function when a wait exceeds its limit. It is safe for
// concurrent use.
type Watchdog struct {
	expire func()

	mu    sync.Mutex
	timer *time.Timer // nil before the first wait
	wait  wait
}

// New returns a Watchdog without a wait. expire is called with a lock held and
// must not call methods of the Watchdog.
func New(expire func()) *Watchdog { return &Watchdog{expire: expire} }

// Arm starts a wait of at most limit and replaces the current one. A limit of 0
// or less means no limit.
func (w *Watchdog) Arm(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit <= 0 {
		w.stop()
		w.wait = wait{}
		return
	}
	w.wait = newWait(limit, time.Now())
	if w.timer == nil {
		w.timer = time.AfterFunc(w.wait.slice, w.onTimer)
		return
	}
	w.timer.Reset(w.wait.slice)
}

// Disarm ends the wait. It reports whether the limit was exceeded.
func (w *Watchdog) Disarm() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
	expired := w.wait.expired
	w.wait = wait{}
	return expired
}

// stop stops the timer. Callers hold w.mu.
func (w *Watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *Watchdog) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.wait.running(now) {
		return
	}
	if w.wait.next(now) {
		w.expire()
		return
	}
	w.timer.Reset(w.wait.due.Sub(now))
}

// wait is one wait, measured in slices.
type wait struct {
	slice      time.Duration
	due        time.Time // end of the current slice
	slicesLeft int       // slices after the current one
	expired    bool
}

func newWait(limit time.Duration, now time.Time) wait {
	slice := max(limit/slices, 1)
	return wait{slice: slice, due: now.Add(slice), slicesLeft: slices - 1}
}

// running reports whether a slice of the wait has ended by now. It hasn't if
// the timer fired just as the wait ended or was replaced by another one.
func (w *wait) running(now time.Time) bool {
	return w.slice > 0 && !w.expired && !now.Before(w.due)
}

// next starts the next slice after one that has ended by now. If none is left,
// it reports that the limit is exceeded.
func (w *wait) next(now time.Time) bool {
	if paused := now.Sub(w.due) > w.slice/2; paused {
		w.slicesLeft = max(w.slicesLeft, minSlicesAfterPause)
	}
	if w.slicesLeft == 0 {
		w.expired = true
		return true
	}
	w.slicesLeft--
	w.due = now.Add(w.slice)
	return false
}

// WithTimeout returns a context that is cancelled with the cause
// context.DeadlineExceeded once this process has run for limit.
func WithTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := New(func() { cancel(context.DeadlineExceeded) })
	w.Arm(limit)
	return ctx, func() {
		w.Disarm()
		cancel(nil)
	}
}
