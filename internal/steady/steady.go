// Package steady provides times that a step of the time of day doesn't affect,
// for counts that are kept by the number of a span of time.
package steady

import "time"

// Clock returns a function that returns the time of day of this call plus the
// time that has passed since. now must return times with a monotonic clock
// reading, like time.Now; otherwise the steps remain.
func Clock(now func() time.Time) func() time.Time {
	start := now()
	return func() time.Time { return start.Add(now().Sub(start)) }
}
