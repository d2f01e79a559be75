package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Engine is what the plan knows of one engine.
type Engine struct {
	Entry    port.TargetEntry
	Changing bool          // carries out an order
	Streams  int           // requests that decode there
	Wait     time.Duration // until it has read the prompts sent to it
	Refused  bool          // didn't take an order lately
	Impaired bool          // serves so badly that it can't be counted on
}

// Move is one order that the plan wants.
type Move struct {
	Target string
	Role   port.Role
	Why    string
}

const (
	// decodeShare is the part of the engines that decode while the demand asks
	// for no more, beside one. With 60 engines a seventh earned 0.731 of a quiet
	// day's credit, a tenth 0.737, a fourteenth and one 0.693.
	decodeShare = 1.0 / 10
	// leastDecoders keeps the service up when one decoding engine dies: a
	// change of role takes seconds.
	leastDecoders = 2
	// fullShare is the share of the decoding places in use at which another
	// engine is asked to decode.
	fullShare = 0.8
)

// Demand is what the streams ask of the decoding engines.
type Demand struct {
	Streams int  // most at a time lately
	Calm    bool // the roles and the targets have stood unchanged for a while
}

// Plan says which engines change their role. It is a pure function.
func Plan(engines []Engine, d Demand) []Move {
	var live []Engine
	for _, e := range engines {
		if !e.Entry.Leaving && !e.Impaired {
			live = append(live, e)
		}
	}
	decoders, readers := split(live)
	want := wanted(len(live), slotsOf(live), d)
	switch {
	case len(decoders) < want:
		return toDecode(readers, decoders, want-len(decoders))
	case len(decoders) > want && (d.Calm || len(decoders) >= 2*want):
		return toPrefill(decoders, len(decoders)-want)
	}
	return nil
}

// wanted is the number of decoding engines.
func wanted(live, slots int, d Demand) int {
	base := max(1+int(math.Round(float64(live)*decodeShare)), leastDecoders)
	if slots > 0 {
		need := int(math.Ceil(float64(d.Streams) / (fullShare * float64(slots))))
		base = max(base, need)
	}
	// At least half of the engines read prompts, whatever the streams ask.
	return min(base, max(live/2, 1))
}

func slotsOf(live []Engine) int {
	if len(live) == 0 {
		return 0
	}
	return live[0].Entry.Slots
}

func split(live []Engine) (decoders, readers []Engine) {
	for _, e := range live {
		if e.Entry.Role == port.RoleDecode {
			decoders = append(decoders, e)
		} else {
			readers = append(readers, e)
		}
	}
	return decoders, readers
}

// toPrefill moves the decoding engines that the others can best do without:
// those of the availability zone with the most, and among them the idlest.
func toPrefill(decoders []Engine, n int) []Move {
	var out []Move
	left := slices.Clone(decoders)
	for range n {
		zones := perZone(left)
		best := -1
		for i, e := range left {
			if e.Changing || e.Refused {
				continue
			}
			if best < 0 || before(e, left[best], zones) {
				best = i
			}
		}
		if best < 0 {
			return out
		}
		out = append(out, Move{Target: left[best].Entry.ID, Role: port.RolePrefill, Why: "more engines decode than the streams ask for"})
		left = slices.Delete(left, best, best+1)
	}
	return out
}

func before(a, b Engine, zones map[string]int) bool {
	if za, zb := zones[a.Entry.Zone], zones[b.Entry.Zone]; za != zb {
		return za > zb
	}
	if a.Streams != b.Streams {
		return a.Streams < b.Streams
	}
	return a.Entry.ID < b.Entry.ID
}

func perZone(engines []Engine) map[string]int {
	zones := make(map[string]int)
	for _, e := range engines {
		zones[e.Entry.Zone]++
	}
	return zones
}

// toDecode moves reading engines: to the availability zones with the fewest
// decoders first, and the idlest first.
func toDecode(readers, decoders []Engine, n int) []Move {
	var out []Move
	zones := perZone(decoders)
	left := slices.Clone(readers)
	for range n {
		left = slices.DeleteFunc(left, func(e Engine) bool { return e.Changing || e.Refused })
		if len(left) == 0 || len(readers)-len(out) <= 1 {
			return out
		}
		e := slices.MinFunc(left, func(a, b Engine) int {
			return cmp.Or(
				cmp.Compare(zones[a.Entry.Zone], zones[b.Entry.Zone]),
				cmp.Compare(a.Wait, b.Wait),
				cmp.Compare(a.Entry.ID, b.Entry.ID),
			)
		})
		zones[e.Entry.Zone]++
		out = append(out, Move{Target: e.Entry.ID, Role: port.RoleDecode, Why: "the streams ask for more engines that decode"})
		left = slices.DeleteFunc(left, func(x Engine) bool { return x.Entry.ID == e.Entry.ID })
	}
	return out
}
