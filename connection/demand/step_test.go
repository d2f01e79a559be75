//go:build steppedclock

package demand

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against demand that is forgotten when the time of day is stepped, so
// that engines change their roles for a lull that isn't there.
func TestDemandIsKeptAcrossClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Minute, -2 * time.Second, 2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			tr := New(time.Now)
			tr.Observe("llm", Request{StreamDuration: 10 * time.Second})
			want := tr.Total("llm")
			time.ShiftWall(step)
			defer time.ShiftWall(0)
			if got := tr.Total("llm"); got != want {
				t.Errorf("step by %v: %+v, want %+v", step, got, want)
			}
		})
	}
}
