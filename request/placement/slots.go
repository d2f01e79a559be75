package placement

import (
	"math"
	"time"
)

// SlotPolicy states how a request may use the slots of decoding engines.
type SlotPolicy struct {
	Reserved   int           // slots of each engine that are reserved for more urgent requests
	StreamTime time.Duration // mean time that a stream holds its slot; 0: unknown
	CanRetry   bool          // the request has time for a retry after a rejection
}

// maxReservedShare is the largest fraction of the slots that is reserved, so
// that less urgent requests get at least half.
const maxReservedShare = 0.5

// ReservedSlots returns the number of slots that each decoding engine
// reserves for more urgent requests. urgent is the mean number of their
// streams over all engines. The number of arrivals varies by about its
// square root.
//
// Without a reserve, long answers hold all slots for seconds. An urgent
// prompt with an answer of two tokens, which needs a slot for some
// milliseconds, then finds none at any engine. Up to three in four of the
// urgent requests were rejected for 8 s.
func ReservedSlots(urgent float64, engines, slots int) int {
	if engines == 0 || urgent <= 0 {
		return 0
	}
	each := urgent / float64(engines)
	return int(min(math.Ceil(each+math.Sqrt(each)), maxReservedShare*float64(slots)))
}

// SlotWait predicts how long a request waits for a slot at the engine. The
// streams ahead of it end one after the other.
func (p SlotPolicy) SlotWait(c *Candidate) time.Duration {
	slots := max(c.Entry.Slots, 1)
	behind := c.Load.Streams + 1 - (slots - p.Reserved)
	if behind <= 0 {
		return 0
	}
	return time.Duration(behind) * p.StreamTime / time.Duration(slots)
}

// maxOccupancy is the ratio of streams to slots up to which an engine is
// used. Beyond it the engine rejects requests or queues them until they are
// late.
const maxOccupancy = 1.2

// StreamLimit returns the number of streams that the engine should run: its
// slots, or fewer if the longest answers would otherwise be late.
func (c *Candidate) StreamLimit() int {
	limit := max(c.Entry.Slots, 1)
	if c.MaxStreams > 0 {
		limit = min(limit, c.MaxStreams)
	}
	return limit
}

// singleTryShare is the fraction of an engine's stream limit that is left to
// requests without time for a retry. The longest answers have no time for
// one and would otherwise be served less often than answers with two tries.
const singleTryShare = 0.3

// maxStreams returns the number of streams up to which the engine accepts
// the request.
func (p SlotPolicy) maxStreams(c *Candidate) int {
	if !p.CanRetry {
		return c.MaxStreams
	}
	return max(int((1-singleTryShare)*float64(c.MaxStreams)), 1)
}

// Full reports whether the engine shouldn't get another request.
func (p SlotPolicy) Full(c *Candidate) bool {
	if c.MaxStreams > 0 && c.Load.Streams >= p.maxStreams(c) {
		return true
	}
	return float64(c.Load.Streams+p.Reserved) > maxOccupancy*float64(max(c.Entry.Slots, 1))
}
