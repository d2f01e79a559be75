package roles

import (
	"cmp"
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
	// leastDecoders keeps the service up when one decoding engine dies: a
	// change of role takes seconds.
	leastDecoders = 2
)

// Plan says which engines change their role. It is a pure function.
func Plan(engines []Engine, d Demand) []Move {
	live := usable(engines)
	if len(live) < 2 {
		return nil
	}
	decoders, readers := split(live)
	want := wanted(len(live), slotsOf(live), len(decoders), slices.ContainsFunc(live, Engine.working), d)
	switch {
	case len(decoders) < want:
		return toDecode(readers, decoders, want-len(decoders))
	case len(decoders) > want:
		return toPrefill(decoders, len(decoders)-want)
	}
	return nil
}

// usable returns the engines that stay and can be counted on.
func usable(engines []Engine) []Engine {
	var out []Engine
	for _, e := range engines {
		if !e.Entry.Leaving && !e.Impaired {
			out = append(out, e)
		}
	}
	return out
}

// working reports whether the engine has requests.
func (e Engine) working() bool { return e.Streams > 0 || e.Wait > 0 }

// wanted is the number of decoding engines. While engines work whose demand
// isn't known, as to a daemon that has just started, the split stays.
func wanted(live, slots, now int, working bool, d Demand) int {
	if len(d) > 0 || !working {
		return d.best(live, max(slots, 1), now)
	}
	low, high := floors(live)
	return min(max(now, low), high)
}

func slotsOf(live []Engine) int {
	if len(live) == 0 {
		return 0
	}
	return live[0].Entry.Slots
}

// plenty reports whether there are as many engines of each role as daemons. Nothing
// that is asked first then waits for a change of roles, and orders for what may
// never be asked are paid for.
func plenty(list []Engine, daemons int) bool {
	decoders, readers := split(usable(list))
	return len(decoders) >= daemons && len(readers) >= daemons
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
