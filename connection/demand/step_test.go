//go:build steppedclock

package demand

import (
	"testing"
	"time"
)

// Guards against demand that is forgotten when the time of day is stepped, so
// that engines change their roles for a lull that isn't there.
//
// It runs by the real clock: in a bubble of testing/synctest times have no
// monotonic reading.
func TestDemandIsKeptAcrossClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Minute, -2 * time.Second, 2 * time.Second, time.Minute} {
		for !demandIsMeasured(t, step) {
			t.Logf("step by %v: the process was paused; trying again", step)
		}
	}
}

// demandIsMeasured checks the demand after a step. It returns false if the
// process was paused for so long that the demand may have expired.
func demandIsMeasured(t *testing.T, step time.Duration) bool {
	t.Helper()
	start := time.Now()
	tr := New(time.Now)
	tr.Observe("llm", Request{StreamDuration: 10 * time.Second})
	time.ShiftWall(step)
	defer time.ShiftWall(0)
	streams := tr.Total("llm").Streams
	if time.Since(start) > window/2 {
		return false
	}
	if streams == 0 {
		t.Errorf("step by %v: no demand", step)
	}
	return true
}
