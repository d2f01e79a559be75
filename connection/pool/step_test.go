//go:build steppedclock

package pool

import (
	"testing"
	"time"
)

// Guards against requests that are forgotten when the time of day is stepped,
// so that a target seems to have less load than it was sent.
//
// It runs by the real clock: in a bubble of testing/synctest times have no
// monotonic reading.
func TestSentRequestsAreKeptAcrossClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Minute, -2 * time.Second, 2 * time.Second, time.Minute} {
		for !sentIsCounted(t, step) {
			t.Logf("step by %v: the process was paused; trying again", step)
		}
	}
}

// sentIsCounted checks the count after a step. It returns false if the process
// was paused for so long that the counts may have expired.
func sentIsCounted(t *testing.T, step time.Duration) bool {
	t.Helper()
	p := New(Options{})
	defer p.Close()
	report := time.Now()
	p.Begin("a", 10, 1)
	time.ShiftWall(step)
	defer time.ShiftWall(0)
	p.Begin("a", 10, 1)
	n := p.SentSince("a", report).Count
	if time.Since(report) > sentBuckets*sentBucket/2 {
		return false
	}
	if n != 2 {
		t.Errorf("step by %v: %d requests since the report, want 2", step, n)
	}
	return true
}
