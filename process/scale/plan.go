package scale

import (
	"maps"
	"slices"

	"github.com/pomelospool/pomelospool/version/route"
)

// onDemandShare is the part of a service's capacity that can't be reclaimed:
// enough to serve the most urgent calls if all reclaimable targets are lost.
const onDemandShare = 0.1

// Count is a number of targets in one availability zone.
type Count struct {
	OnDemand int
	Spot     int // reclaimable
}

// Counts are the targets of a service, by availability zone.
type Counts map[string]Count

func (c Counts) total() Count {
	var sum Count
	for _, one := range c {
		sum.OnDemand += one.OnDemand
		sum.Spot += one.Spot
	}
	return sum
}

// spotAfterReclaim is the number of reclaimable targets that are left when the
// availability zone with the most loses all of its own.
func (c Counts) spotAfterReclaim() int {
	most := 0
	for _, one := range c {
		most = max(most, one.Spot)
	}
	return c.total().Spot - most
}

// Cheapest returns the cheapest targets of a service that leave its capacity when
// any one availability zone loses its reclaimable targets. Where reclaimable
// targets save nothing, all are on demand. Zones that are dry have no more
// reclaimable targets at the moment; the others then get as many as fit.
func Cheapest(capacity int, zones []string, dry map[string]bool, s *route.Scaling) Counts {
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
			if len(dry) > 0 && !dry[zone] {
				one.Spot = min(spotPerRemainingZone(perZone, len(zones), dry), s.Max-one.OnDemand)
			}
			c[zone] = one
		}
		t := c.total()
		if t.OnDemand+c.spotAfterReclaim() < capacity {
			continue
		}
		if len(dry) == 0 && float64(t.OnDemand)+s.SpotPrice*float64(t.Spot) >= float64(capacity) {
			return all
		}
		return c
	}
	return all
}

// spotPerRemainingZone is the number of reclaimable targets in a zone that isn't dry, so
// that these zones together have as many as all zones had, and one more zone's
// may be lost.
func spotPerRemainingZone(perZone, zones int, dry map[string]bool) int {
	left := max(zones-len(dry), 1)
	return perZone * (zones - 1) / max(left-1, 1)
}

// spread divides on-demand targets evenly over availability zones.
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

// Next returns what to order now on the way from what is present to the best:
// reclaimable targets at once, while on-demand targets leave only as far as the
// capacity is there without them, also after a reclaim. Short of the capacity,
// more are ordered on demand.
func Next(present, best Counts, capacity int, s *route.Scaling) Counts {
	out := make(Counts, len(best))
	have := present.total()
	least := max(best.total().OnDemand, capacity-present.spotAfterReclaim())
	onDemand := have.OnDemand
	switch {
	case onDemand > least:
		onDemand = least
	case have.OnDemand+have.Spot < capacity:
		onDemand = max(capacity-have.Spot, best.total().OnDemand)
	default:
		onDemand = max(onDemand, best.total().OnDemand)
	}
	zones := slices.Collect(maps.Keys(best))
	for zone, one := range spread(onDemand, zones, s.Max) {
		// On-demand targets that have still to leave take places of the zone.
		places := s.Max - max(one.OnDemand, present[zone].OnDemand)
		out[zone] = Count{OnDemand: one.OnDemand, Spot: min(best[zone].Spot, max(places, present[zone].Spot))}
	}
	return out
}
