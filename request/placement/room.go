package placement

import (
	"math"
	"time"
)

// SlotPolicy is how decoding engines' places are shared out.
type SlotPolicy struct {
	Reserved   int           // places of each engine that are kept for more urgent requests
	StreamTime time.Duration // that a stream holds its place, on the mean; 0: not known
	CanRetry   bool          // the request has time to come back if it is rejected
}

// maxReservedShare is the largest part of the places that is kept free: less urgent
// requests get half at least.
const maxReservedShare = 0.5

// ReservedSlots is the number of places of each decoding engine that requests leave
// free for more urgent ones, which ask for that many streams at a time over all
// engines. Arrivals differ by about the root of their number.
//
// The load that it answers: long answers fill all places for seconds, and a
// prompt with two tokens of answer, which needs a place for some milliseconds
// and is more urgent, finds none at any engine. On a day of such turns up to
// three in four of the urgent requests were refused for 8 s.
func ReservedSlots(urgent float64, engines, slots int) int {
	if engines == 0 || urgent <= 0 {
		return 0
	}
	each := urgent / float64(engines)
	return int(min(math.Ceil(each+math.Sqrt(each)), maxReservedShare*float64(slots)))
}

// SlotWait is how long a request will wait for a place at the engine: those ahead
// of it leave one after the other.
func (r SlotPolicy) SlotWait(c *Candidate) time.Duration {
	slots := max(c.Entry.Slots, 1)
	behind := c.Load.Streams + 1 - (slots - r.Reserved)
	if behind <= 0 {
		return 0
	}
	return time.Duration(behind) * r.StreamTime / time.Duration(slots)
}

// maxOccupancy is how full an engine may be, in shares of its places. Beyond, it
// refuses requests, or keeps them until they are late.
const maxOccupancy = 1.2

// StreamLimit is the number of streams that the engine takes: its places, or fewer
// where the longest answers need them to end in time.
func (c *Candidate) StreamLimit() int {
	places := max(c.Entry.Slots, 1)
	if c.MaxStreams > 0 {
		places = min(places, c.MaxStreams)
	}
	return places
}

// singleTryShare is the share of an engine's bound that is left to requests with
// no time to come back. The longest answers have none; without it they would be
// served less often than the others, which have two tries.
const singleTryShare = 0.3

// maxStreams is the number of streams up to which the engine takes the request.
func (r SlotPolicy) maxStreams(c *Candidate) int {
	if !r.CanRetry {
		return c.MaxStreams
	}
	return max(int((1-singleTryShare)*float64(c.MaxStreams)), 1)
}

// Full reports whether the engine takes no request more.
func (r SlotPolicy) Full(c *Candidate) bool {
	if c.MaxStreams > 0 && c.Load.Streams >= r.maxStreams(c) {
		return true
	}
	return float64(c.Load.Streams+r.Reserved) > maxOccupancy*float64(max(c.Entry.Slots, 1))
}
