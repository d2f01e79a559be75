package relay

import "time"

const (
	// readWaitShare is the longest wait of a read for new records, as a share of
	// the bound on their effect. A read that begins while a record is written
	// can miss it and then returns only at the end of its wait. With a 4 s wait
	// 5 of 42 test runs applied a version only 4 s after its write; 2 s are
	// allowed.
	readWaitShare = 0.4
	// slowStoreLatency is the assumed response time of a slow store.
	slowStoreLatency = 200 * time.Millisecond
	// minReadWait limits the rate of reads from the store where bounds are
	// short.
	minReadWait = 100 * time.Millisecond
	// maxIntervalShare bounds the read interval of a large fleet, as a share of
	// the shortest bound on applying a change.
	maxIntervalShare = 0.45
	// smallFleetSize is the number of daemons up to which MaxReadInterval
	// applies. In larger fleets the interval grows with the number of daemons,
	// so that all together make about 40 reads a second.
	smallFleetSize = 16
)

// ReadWait returns how long a read waits for records that must take effect within
// the bound, if the data passes through at most depth other daemons; 0: none.
//
// A daemon may query a reader that is about to be replaced, pause, and then read the
// store itself: the reader's response, the pause and the read must fit into the
// bound. Where readers read from other readers, one wait for each of them must fit.
func ReadWait(bound time.Duration, depth int) time.Duration {
	wait := time.Duration(readWaitShare * float64(bound))
	switch {
	case depth == 1:
		wait = min(wait, bound-MaxAge(0, 1)-MaxReadInterval-slowStoreLatency)
	case depth > 1:
		wait = min(wait, (bound-MaxAge(0, 1))/time.Duration(depth+1)-MaxReadInterval)
	}
	return max(wait, minReadWait)
}

// ReadInterval returns the minimum interval between two reads of a topic whose
// records must take effect within the bound.
func ReadInterval(time.Duration) time.Duration { return MaxReadInterval }

// DirectInterval returns the minimum interval between two calls to the store of a
// daemon whose reader fails, in a fleet of the given size. The bound is the shortest
// on the effect of a change.
func DirectInterval(bound time.Duration, daemons int) time.Duration {
	return min(FleetInterval(daemons), max(time.Duration(maxIntervalShare*float64(bound)), MaxReadInterval))
}

// FleetInterval returns the interval between two calls of one daemon at which the
// whole fleet makes no more calls than smallFleetSize daemons do.
func FleetInterval(daemons int) time.Duration {
	return MaxReadInterval * time.Duration(max(daemons, smallFleetSize)) / smallFleetSize
}
