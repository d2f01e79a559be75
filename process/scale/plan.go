package scale

import (
	"maps"
	"slices"

	"github.com/pomelospool/pomelospool/version/route"
)

// onDemandShare is the least share of a service's capacity that is on demand. It
// is enough to serve the most urgent requests if all reclaimable targets are lost.
const onDemandShare = 0.1

// Count is a number of targets in one availability zone.
type Count struct {
	OnDemand int
	Spot     int // reclaimable
}

// Counts are numbers of targets of a service, by availability zone.
type Counts map[string]Count

func (c Counts) total() Count {
	var sum Count
	for _, one := range c {
		sum.OnDemand += one.OnDemand
		sum.Spot += one.Spot
	}
	return sum
}

// spotAfterReclaim returns the number of reclaimable targets that remain when the
// availability zone with the most of them loses all of its own.
func (c Counts) spotAfterReclaim() int {
	largest := 0
	for _, n := range c {
		largest = max(largest, n.Spot)
	}
	return c.total().Spot - largest
}

// Cheapest returns the cheapest numbers of targets that keep a service's capacity when
// any one availability zone loses its reclaimable targets. All targets are on demand
// if reclaimable targets save nothing. Exhausted zones have no more reclaimable
// targets at the moment; the other zones then get more of them, up to their maximum.
func Cheapest(capacity int, zones []string, exhausted map[string]bool, s *route.Scaling) Counts {
	all := spread(capacity, zones, s.Max)
	if s.SpotPrice <= 0 || len(zones) < 2 {
		return all
	}
	least := max(int(onDemandShare*float64(capacity)), len(zones)*max(s.Min, 1))
	for n := least; n < capacity; n++ {
		c := spread(n, zones, s.Max)
		perZone := (capacity - n + len(zones) - 2) / (len(zones) - 1)
		for zone, one := range c {
			one.Spot = min(perZone, s.Max-one.OnDemand)
			if len(exhausted) > 0 && !exhausted[zone] {
				one.Spot = min(spotPerRemainingZone(perZone, len(zones), exhausted), s.Max-one.OnDemand)
			}
			c[zone] = one
		}
		t := c.total()
		if t.OnDemand+c.spotAfterReclaim() < capacity {
			continue
		}
		if len(exhausted) == 0 && float64(t.OnDemand)+s.SpotPrice*float64(t.Spot) >= float64(capacity) {
			return all
		}
		return c
	}
	return all
}

// spotPerRemainingZone returns the number of reclaimable targets for each zone that
// isn't exhausted. These zones then replace the targets of the exhausted ones, and
// the capacity still holds when one more zone loses its own.
func spotPerRemainingZone(perZone, zones int, exhausted map[string]bool) int {
	left := max(zones-len(exhausted), 1)
	return perZone * (zones - 1) / max(left-1, 1)
}

// spread distributes n on-demand targets evenly over availability zones, with at
// most limit in each.
func spread(n int, zones []string, limit int) Counts {
	out := make(Counts, len(zones))
	for i, zone := range slices.Sorted(slices.Values(zones)) {
		share := n / len(zones)
		if i < n%len(zones) {
			share++
		}
		out[zone] = Count{OnDemand: min(share, limit)}
	}
	return out
}

// Next returns the numbers of targets to order now on the way from the present to the
// goal. Reclaimable targets are ordered at once. On-demand targets are removed only as
// far as the others hold the capacity, also after a reclaim. If the present targets
// are fewer than the capacity, the difference is ordered on demand.
func Next(present, goal Counts, capacity int, s *route.Scaling) Counts {
	out := make(Counts, len(goal))
	have := present.total()
	least := max(goal.total().OnDemand, capacity-present.spotAfterReclaim())
	onDemand := have.OnDemand
	switch {
	case onDemand > least:
		onDemand = least
	case have.OnDemand+have.Spot < capacity:
		onDemand = max(capacity-have.Spot, goal.total().OnDemand)
	default:
		onDemand = max(onDemand, goal.total().OnDemand)
	}
	zones := slices.Collect(maps.Keys(goal))
	for zone, one := range spread(onDemand, zones, s.Max) {
		// On-demand targets that haven't left yet count against the zone's maximum.
		free := s.Max - max(one.OnDemand, present[zone].OnDemand)
		out[zone] = Count{OnDemand: one.OnDemand, Spot: min(goal[zone].Spot, max(free, present[zone].Spot))}
	}
	return out
}
