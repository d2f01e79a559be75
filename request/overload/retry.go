package overload

import "time"

const (
	// retrySpread is the fraction of a caller's spare time over which returns are
	// spread.
	retrySpread = 0.5
	// maxRetrySpread bounds it for callers with much time, since load peaks last
	// only some seconds.
	maxRetrySpread = 4 * time.Second
)

// RetryAfter returns the delay after which a rejected caller finds capacity: the
// predicted end of the backlog, plus a part of the time that the caller then has
// left beyond need, the time for an answer. The part is given by u, a number in
// [0,1) that differs between callers.
func RetryAfter(backlog, left, need time.Duration, u float64) time.Duration {
	spread := min(retrySpread*float64(max(left-need-backlog, 0)), float64(maxRetrySpread))
	return backlog + time.Duration(u*spread)
}
