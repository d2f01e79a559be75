package soak

import (
	"math/rand/v2"
	"time"
)

const (
	// meanStopGap is the mean time between the first stops of two daemons.
	meanStopGap = 1500 * time.Millisecond
	// minRunTime and maxRunTime bound the time from a daemon's start to its next stop.
	minRunTime = 800 * time.Millisecond
	maxRunTime = 4 * time.Second
	// publishGap is the time between two versions of a PublishSeries.
	publishGap = 100 * time.Millisecond
	// maxReloads is the largest number of SIGHUPs before a SIGTERM, and after it.
	maxReloads = 4
	// maxReloadGap is the longest time between two of them.
	maxReloadGap = 20 * time.Millisecond
	// meanPublishGap is the mean time between two PublishSeries.
	meanPublishGap = 4 * time.Second
)

// PlannedWork returns a plan of planned stops that roll over all daemons, each several
// times and soon after its start, with SIGHUPs and changes of the configuration beside
// them.
func PlannedWork(seed uint64, s Size) (out []Event) {
	r := rand.New(rand.NewPCG(seed, 6))
	at := time.Second
	for on := range s.Daemons {
		out = append(out, Event{At: at, For: s.Length - at, Kind: StopSeries, On: on, How: r.IntN(1 << 16)})
		at = min(at+randomDuration(r, 2*meanStopGap), s.Length)
	}
	for at := randomDuration(r, meanPublishGap); at < s.Length; at += randomDuration(r, 2*meanPublishGap) {
		out = append(out, Event{At: at, For: min(minDuration+randomDuration(r, maxDuration), s.Length-at), Kind: PublishSeries})
	}
	sortEvents(out)
	return out
}

// reloads returns the times between some SIGHUPs. Half of them follow each other at once.
func reloads(r *rand.Rand) []time.Duration {
	out := make([]time.Duration, r.IntN(maxReloads+1))
	for i := range out {
		out[i] = max(0, randomDuration(r, 2*maxReloadGap)-maxReloadGap)
	}
	return out
}
