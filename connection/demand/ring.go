package demand

import (
	"math"
	"time"
)

const spanSlots = int(span / slot)

// ring is one service's book over the last slots.
type ring struct {
	at    int64 // number of the slot that now is in
	begun int64
	top   int // the most urgent priority asked for so far
	sums  [spanSlots]sum
}

// sum is what was asked in one slot: time of engines and of places.
type sum struct {
	reading time.Duration
	lasts   time.Duration
	urgent  time.Duration // of lasts
	moving  time.Duration
	weighty float64 // nanoseconds of reading
}

func newRing(now time.Time) *ring {
	at := number(now)
	return &ring{at: at, begun: at, top: math.MaxInt}
}

func number(now time.Time) int64 { return now.UnixNano() / int64(slot) }

func (r *ring) add(now time.Time, o Offer) {
	r.advance(now)
	s := &r.sums[r.at%int64(spanSlots)]
	s.reading += o.Reading
	s.lasts += o.Lasts
	s.moving += o.Moving
	if o.Objective > 0 {
		s.weighty += float64(o.Reading) * float64(o.Reading) / float64(o.Objective)
	}
	if o.Priority < r.top {
		// What was noted as the most urgent isn't.
		r.top = o.Priority
		for i := range r.sums {
			r.sums[i].urgent = 0
		}
	}
	if o.Priority == r.top {
		s.urgent += o.Lasts
	}
}

// advance empties the slots up to now.
func (r *ring) advance(now time.Time) {
	to := number(now)
	if to-r.at > int64(spanSlots) || to < r.at {
		// All of it is over, or the clock was set back.
		*r = ring{at: to, begun: min(r.begun, to), top: r.top}
		return
	}
	for r.at < to {
		r.at++
		r.sums[r.at%int64(spanSlots)] = sum{}
	}
}

// load is what is asked now: time asked for in each second.
func (r *ring) load(now time.Time) Load {
	r.advance(now)
	var all sum
	for _, s := range r.sums {
		all.reading += s.reading
		all.lasts += s.lasts
		all.urgent += s.urgent
		all.moving += s.moving
		all.weighty += s.weighty
	}
	slots := min(max(r.at-r.begun, 1), int64(spanSlots))
	seconds := (slot*time.Duration(slots) - slot/2).Seconds() // the newest slot is half over on the mean
	return Load{
		Reading: all.reading.Seconds() / seconds,
		Streams: all.lasts.Seconds() / seconds,
		Urgent:  all.urgent.Seconds() / seconds,
		Weighty: time.Duration(all.weighty).Seconds() / seconds,
		Moving:  all.moving.Seconds() / seconds,
	}
}
