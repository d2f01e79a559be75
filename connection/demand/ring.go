package demand

import (
	"math"
	"time"
)

const bucketCount = int(window / bucketDuration)

// ring is one service's book over the last slots.
type ring struct {
	current    int64 // number of the slot that now is in
	first      int64
	mostUrgent int // the most urgent priority asked for so far
	buckets    [bucketCount]bucket
}

// bucket is what was asked in one slot: time of engines and of places.
type bucket struct {
	prefill         time.Duration
	streams         time.Duration
	urgent          time.Duration // of lasts
	transfer        time.Duration
	weightedPrefill float64 // nanoseconds of reading
}

func newRing(now time.Time) *ring {
	at := bucketNumber(now)
	return &ring{current: at, first: at, mostUrgent: math.MaxInt}
}

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(bucketDuration) }

func (r *ring) add(now time.Time, o Request) {
	r.advance(now)
	s := &r.buckets[r.current%int64(bucketCount)]
	s.prefill += o.Prefill
	s.streams += o.StreamDuration
	s.transfer += o.Transfer
	if o.Objective > 0 {
		s.weightedPrefill += float64(o.Prefill) * float64(o.Prefill) / float64(o.Objective)
	}
	if o.Priority < r.mostUrgent {
		// What was noted as the most urgent isn't.
		r.mostUrgent = o.Priority
		for i := range r.buckets {
			r.buckets[i].urgent = 0
		}
	}
	if o.Priority == r.mostUrgent {
		s.urgent += o.StreamDuration
	}
}

// advance empties the slots up to now.
func (r *ring) advance(now time.Time) {
	to := bucketNumber(now)
	if to-r.current > int64(bucketCount) || to < r.current {
		// All of it is over, or the clock was set back.
		*r = ring{current: to, first: min(r.first, to), mostUrgent: r.mostUrgent}
		return
	}
	for r.current < to {
		r.current++
		r.buckets[r.current%int64(bucketCount)] = bucket{}
	}
}

// load is what is asked now: time asked for in each second.
func (r *ring) load(now time.Time) Load {
	r.advance(now)
	var all bucket
	for _, s := range r.buckets {
		all.prefill += s.prefill
		all.streams += s.streams
		all.urgent += s.urgent
		all.transfer += s.transfer
		all.weightedPrefill += s.weightedPrefill
	}
	slots := min(max(r.current-r.first, 1), int64(bucketCount))
	seconds := (bucketDuration*time.Duration(slots) - bucketDuration/2).Seconds() // the newest slot is half over on the mean
	return Load{
		Prefill:         all.prefill.Seconds() / seconds,
		Streams:         all.streams.Seconds() / seconds,
		Urgent:          all.urgent.Seconds() / seconds,
		WeightedPrefill: time.Duration(all.weightedPrefill).Seconds() / seconds,
		Transfer:        all.transfer.Seconds() / seconds,
	}
}
