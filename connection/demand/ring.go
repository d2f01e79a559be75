package demand

import (
	"math"
	"time"
)

const bucketCount = int(window / bucketDuration)

// ring holds the demand for one service in the latest buckets.
type ring struct {
	current    int64 // number of the current bucket
	first      int64 // number of the first bucket since the ring was created
	mostUrgent int   // most urgent priority requested so far
	buckets    [bucketCount]bucket
}

// bucket is the demand of the requests that arrived within one bucketDuration.
type bucket struct {
	prefill         time.Duration
	streams         time.Duration
	urgent          time.Duration // part of streams
	transfer        time.Duration
	weightedPrefill float64 // nanoseconds of prefill
}

func newRing(now time.Time) *ring {
	at := bucketNumber(now)
	return &ring{current: at, first: at, mostUrgent: math.MaxInt}
}

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(bucketDuration) }

func (r *ring) add(now time.Time, req Request) {
	r.advance(now)
	b := &r.buckets[r.current%int64(bucketCount)]
	b.prefill += req.Prefill
	b.streams += req.StreamDuration
	b.transfer += req.Transfer
	if req.Objective > 0 {
		b.weightedPrefill += float64(req.Prefill) * float64(req.Prefill) / float64(req.Objective)
	}
	if req.Priority < r.mostUrgent {
		// The earlier requests are no longer the most urgent.
		r.mostUrgent = req.Priority
		for i := range r.buckets {
			r.buckets[i].urgent = 0
		}
	}
	if req.Priority == r.mostUrgent {
		b.urgent += req.StreamDuration
	}
}

// advance moves the ring to now and clears the buckets in between.
func (r *ring) advance(now time.Time) {
	to := bucketNumber(now)
	if to-r.current > int64(bucketCount) || to < r.current {
		// All buckets are outdated, or the clock was set back.
		*r = ring{current: to, first: min(r.first, to), mostUrgent: r.mostUrgent}
		return
	}
	for r.current < to {
		r.current++
		r.buckets[r.current%int64(bucketCount)] = bucket{}
	}
}

// load returns the mean demand over the window.
func (r *ring) load(now time.Time) Load {
	r.advance(now)
	var all bucket
	for _, b := range r.buckets {
		all.prefill += b.prefill
		all.streams += b.streams
		all.urgent += b.urgent
		all.transfer += b.transfer
		all.weightedPrefill += b.weightedPrefill
	}
	covered := min(max(r.current-r.first, 1), int64(bucketCount))
	seconds := (bucketDuration*time.Duration(covered) - bucketDuration/2).Seconds() // the current bucket is half over on average
	return Load{
		Prefill:         all.prefill.Seconds() / seconds,
		Streams:         all.streams.Seconds() / seconds,
		Urgent:          all.urgent.Seconds() / seconds,
		WeightedPrefill: time.Duration(all.weightedPrefill).Seconds() / seconds,
		Transfer:        all.transfer.Seconds() / seconds,
	}
}
