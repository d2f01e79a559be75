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
	// spareShare is the share of a bound that is left to spare.
	spareShare = 0.2
	// maxTransferShare is the longest transfer of an answer between daemons, as a
	// share of the bound.
	maxTransferShare = 0.05
	// maxCallersInTime is the number of daemons that may call the store before their
	// data gets too old, beyond the rate of FleetInterval.
	maxCallersInTime = 100
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
// A reader answers when it has read the store again, so one reader adds no wait of
// its own. Where readers read from other readers, one wait for each of them must fit.
func ReadWait(bound time.Duration, depth int) time.Duration {
	wait := time.Duration(readWaitShare * float64(bound))
	if depth > 1 {
		wait = min(wait, (bound-MaxAge(0, 1))/time.Duration(depth+1)-MaxReadInterval)
	}
	return max(wait, minReadWait)
}

// ReadInterval returns the minimum interval between two reads of a topic whose
// records must take effect within the bound, also if a read misses a record, the
// store is slow and the record comes through another daemon.
func ReadInterval(bound time.Duration) time.Duration {
	rest := callAge(bound) - ReadWait(bound, 1) - transferTimeout(bound)
	return max(min(MaxReadInterval, rest), minReadWait)
}

// slowReadTimeout returns the time within which a slow store must answer a read that
// doesn't wait.
func slowReadTimeout(bound time.Duration) time.Duration { return max(askAge(bound), readGrace) }

// ReadDelay returns the longest time from the start of a read to its answer. Data may
// be older by that time than its age says: the store may miss a record that is written
// as a read begins, and links may delay an answer.
func ReadDelay(bound time.Duration) time.Duration {
	return max(ReadWait(bound, 1)+readGrace, slowReadTimeout(bound))
}

// askAge returns the age of the data at which a daemon asks others than its reader.
// A sound reader's data is younger, also if the store is slow.
func askAge(bound time.Duration) time.Duration { return bound / 2 }

// callAge returns the age of the data at which a daemon that gets none elsewhere
// calls the store. The answer of a slow store leaves spareShare of the bound then and,
// if the others have the time to answer before, shows that the store was available
// since the read before.
func callAge(bound time.Duration) time.Duration {
	age := time.Duration((1-spareShare)*float64(bound)) - slowStoreLatency
	return min(age, max(askAge(bound)+2*transferTimeout(bound), maxReadGap-slowStoreLatency))
}

// transferTimeout returns the time within which another daemon must answer a request
// that doesn't wait.
func transferTimeout(bound time.Duration) time.Duration {
	return min(failoverTimeout, time.Duration(maxTransferShare*float64(bound)))
}

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
