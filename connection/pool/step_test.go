//go:build steppedclock

package pool

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests that are forgotten when the time of day is stepped,
// so that a target seems to have less load than it was sent.
func TestSentRequestsAreKeptAcrossClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Minute, -2 * time.Second, 2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			p := New(Options{})
			defer p.Close()
			report := time.Now()
			p.Begin("a", 10, 1)
			time.ShiftWall(step)
			defer time.ShiftWall(0)
			p.Begin("a", 10, 1)
			if n := p.SentSince("a", report).Count; n != 2 {
				t.Errorf("step by %v: %d requests since the report, want 2", step, n)
			}
		})
	}
}
