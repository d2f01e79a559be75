package roles

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Engine is the state of one engine as the plan sees it.
type Engine struct {
	Entry    port.TargetEntry
	Changing bool          // is changing its role after an order
	Streams  int           // requests that are decoding on it
	Wait     time.Duration // until it has done the prefill of the prompts sent to it
	Refused  bool          // rejected or didn't answer a recent order
	Impaired bool          // is unreachable or unhealthy
	Speed    float64       // ratio of its prefill time to that of its service; 0: unknown
}

// Move is a change of one engine's role that the plan asks for.
type Move struct {
	Target string
	Role   port.Role
	Reason string
}

const (
	// minDecoders keeps the service available when one decoding engine fails,
	// since a change of role takes seconds.
	minDecoders = 2
)

// Plan returns the engines that are to change their role. It is a pure function.
func Plan(engines []Engine, d Demand) []Move {
	live := usableEngines(engines)
	if len(live) < 2 {
		return nil
	}
	decoders, prefillers := splitByRole(live)
	want := wantedDecoders(len(live), slotsOf(live), len(decoders), slices.ContainsFunc(live, Engine.busy), d)
	switch {
	case len(decoders) < want:
		return movesToDecode(prefillers, decoders, want-len(decoders))
	case len(decoders) > want:
		return movesToPrefill(decoders, len(decoders)-want)
	}
	return nil
}

// usableEngines returns the engines that are neither leaving nor impaired.
func usableEngines(engines []Engine) []Engine {
	var out []Engine
	for _, e := range engines {
		if !e.Entry.Leaving && !e.Impaired {
			out = append(out, e)
		}
	}
	return out
}

// busy reports whether the engine has requests in progress.
func (e Engine) busy() bool { return e.Streams > 0 || e.Wait > 0 }

// wantedDecoders returns the number of engines that are to decode. While engines are
// busy and their demand is unknown, as in a daemon that has just started, the current
// number stays.
func wantedDecoders(live, slots, current int, busy bool, d Demand) int {
	if len(d) > 0 || !busy {
		return d.bestDecoders(live, max(slots, 1), current)
	}
	low, high := decoderBounds(live)
	return min(max(current, low), high)
}

func slotsOf(live []Engine) int {
	if len(live) == 0 {
		return 0
	}
	return live[0].Entry.Slots
}

// enoughOfEachRole reports whether each role has at least as many engines as there
// are daemons. The first requests then need no change of roles, and changes for
// demand that may never come would only cost.
func enoughOfEachRole(engines []Engine, daemons int) bool {
	decoders, prefillers := splitByRole(usableEngines(engines))
	return len(decoders) >= daemons && len(prefillers) >= daemons
}

func splitByRole(live []Engine) (decoders, prefillers []Engine) {
	for _, e := range live {
		if e.Entry.Role == port.RoleDecode {
			decoders = append(decoders, e)
		} else {
			prefillers = append(prefillers, e)
		}
	}
	return decoders, prefillers
}

// movesToPrefill returns moves of up to n decoding engines to prefill. It leaves each
// software version that decodes two engines if it can. Among the others it takes
// engines from the availability zone with the most decoding engines first, and
// there fast engines, then the one with the fewest streams.
func movesToPrefill(decoders []Engine, n int) []Move {
	var out []Move
	left := slices.Clone(decoders)
	for range n {
		zones, versions := countBy(left, zoneOf), countBy(left, versionOf)
		best := -1
		for i, e := range left {
			if e.Changing || e.Refused {
				continue
			}
			if best < 0 || preferToMove(e, left[best], zones, versions) {
				best = i
			}
		}
		if best < 0 {
			return out
		}
		out = append(out, Move{Target: left[best].Entry.ID, Role: port.RolePrefill, Reason: "more engines decode than the streams ask for"})
		left = slices.Delete(left, best, best+1)
	}
	return out
}

// preferToMove reports whether a is to be moved to prefill rather than b.
func preferToMove(a, b Engine, zones, versions map[string]int) bool {
	if pa, pb := versions[a.Entry.Software] == versionDecoders, versions[b.Entry.Software] == versionDecoders; pa != pb {
		return pb
	}
	if za, zb := zones[a.Entry.Zone], zones[b.Entry.Zone]; za != zb {
		return za > zb
	}
	if c := compareForDecoding(a, b); c != 0 {
		return c > 0
	}
	if a.Streams != b.Streams {
		return a.Streams < b.Streams
	}
	return a.Entry.ID < b.Entry.ID
}

// versionDecoders is the number of decoding engines that a software version should
// have. A stream goes on only at the version that began it, so without a second one
// its streams are lost with their engine.
const versionDecoders = 2

// countBy returns the numbers of engines by a property.
func countBy(engines []Engine, of func(Engine) string) map[string]int {
	counts := make(map[string]int)
	for _, e := range engines {
		counts[of(e)]++
	}
	return counts
}

func zoneOf(e Engine) string { return e.Entry.Zone }

func versionOf(e Engine) string { return e.Entry.Software }

// movesToDecode returns moves of up to n prefill engines to decoding. It takes
// engines of a software version of which one engine decodes first, then those of
// the most common version while none decodes. Among these it takes engines from the
// availability zone with the fewest decoding engines first, and there slow engines,
// then the one with the shortest wait.
func movesToDecode(prefillers, decoders []Engine, n int) []Move {
	var out []Move
	zones, versions, common := countBy(decoders, zoneOf), countBy(decoders, versionOf), countBy(prefillers, versionOf)
	left := slices.Clone(prefillers)
	for range n {
		left = slices.DeleteFunc(left, func(e Engine) bool { return e.Changing || e.Refused })
		if len(left) == 0 || len(prefillers)-len(out) <= 1 {
			return out
		}
		e := slices.MinFunc(left, func(a, b Engine) int {
			return cmp.Or(
				preferVersion(a, b, versions, common),
				cmp.Compare(zones[a.Entry.Zone], zones[b.Entry.Zone]),
				compareForDecoding(a, b),
				cmp.Compare(a.Wait, b.Wait),
				cmp.Compare(a.Entry.ID, b.Entry.ID),
			)
		})
		zones[e.Entry.Zone]++
		versions[e.Entry.Software]++
		out = append(out, Move{Target: e.Entry.ID, Role: port.RoleDecode, Reason: "the streams ask for more engines that decode"})
		left = slices.DeleteFunc(left, func(x Engine) bool { return x.Entry.ID == e.Entry.ID })
	}
	return out
}

// preferVersion compares two engines by their software versions as the next one that
// decodes. decoding and common are numbers of engines by version.
func preferVersion(a, b Engine, decoding, common map[string]int) int {
	if len(decoding) == 0 {
		return cmp.Compare(common[b.Entry.Software], common[a.Entry.Software])
	}
	lacking := func(e Engine) int {
		if n := decoding[e.Entry.Software]; n > 0 && n < versionDecoders {
			return versionDecoders - n
		}
		return 0
	}
	return cmp.Compare(lacking(b), lacking(a))
}
