package scale

import (
	"fmt"
	"testing"

	"github.com/pomelospool/pomelospool/version/route"
)

var zones = []string{"a", "b", "c"}

func newScaling() *route.Scaling {
	return &route.Scaling{Min: 1, Max: 94, SpotPrice: 0.18, ZonePrice: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}
}

func TestCheapest(t *testing.T) {
	for name, tc := range map[string]struct {
		capacity int
		zones    []string
		change   func(s *route.Scaling)
		onDemand int
		spot     int
	}{
		"three zones":             {140, zones, nil, 14, 189},
		"two zones":               {140, zones[:2], func(s *route.Scaling) { s.Max = 200 }, 14, 252},
		"one zone":                {140, zones[:1], func(s *route.Scaling) { s.Max = 200 }, 140, 0},
		"none reclaimable":        {140, zones, func(s *route.Scaling) { s.SpotPrice = 0 }, 140, 0},
		"reclaimable are dear":    {140, zones, func(s *route.Scaling) { s.SpotPrice = 0.9 }, 140, 0},
		"little room in the zone": {140, zones, func(s *route.Scaling) { s.Max = 50 }, 120, 30},
		"small":                   {6, zones, nil, 3, 6},
		"smallest":                {3, zones, nil, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScaling()
			if tc.change != nil {
				tc.change(s)
			}
			best := Cheapest(tc.capacity, tc.zones, nil, s)
			got := best.total()
			if got.OnDemand != tc.onDemand || got.Spot != tc.spot {
				t.Errorf("%+v", best)
			}
			if left := got.OnDemand + best.spotAfterReclaim(); left < tc.capacity {
				t.Errorf("%d of %d targets remain after a reclaim", left, tc.capacity)
			}
			for zone, one := range best {
				if one.OnDemand+one.Spot > s.Max {
					t.Errorf("zone %s has %+v", zone, one)
				}
			}
		})
	}
}

// countsPerZone returns the same numbers of targets for each zone.
func countsPerZone(onDemand, spot int) Counts {
	out := make(Counts)
	for _, zone := range zones {
		out[zone] = Count{OnDemand: onDemand, Spot: spot}
	}
	return out
}

// Guards against a service that falls below its capacity during the change to cheaper
// targets.
func TestNextKeepsTheCapacity(t *testing.T) {
	const capacity = 141
	s := newScaling()
	present := countsPerZone(47, 0)
	best := Cheapest(capacity, zones, nil, s)
	for round := range 10 {
		want := Next(present, best, capacity, s)
		// Leaving targets are gone before any new one serves.
		for zone, one := range present {
			one.OnDemand = min(one.OnDemand, want[zone].OnDemand)
			present[zone] = one
		}
		if n := present.total().OnDemand + present.total().Spot; n < capacity {
			t.Fatalf("round %d: %d targets, %+v", round, n, present)
		}
		for zone, one := range want {
			if one.OnDemand+one.Spot > s.Max {
				t.Errorf("round %d, zone %s: %+v", round, zone, one)
			}
		}
		present = want
	}
	if fmt.Sprint(present) != fmt.Sprint(best) {
		t.Errorf("ends at %+v, want %+v", present, best)
	}
}

func TestNextAfterAReclaim(t *testing.T) {
	const capacity = 141
	s := newScaling()
	best := Cheapest(capacity, zones, nil, s)
	present := Next(best, best, capacity, s)
	reclaim := func(zone string) {
		one := present[zone]
		one.Spot = 0
		present[zone] = one
	}
	reclaim("a")
	if want := Next(present, best, capacity, s); want.total().OnDemand != best.total().OnDemand || want["a"].Spot != best["a"].Spot {
		t.Errorf("one zone reclaimed: %+v", want)
	}
	exhausted := Cheapest(capacity, zones, map[string]bool{"a": true}, s)
	if left := exhausted.total().OnDemand + exhausted["b"].Spot; left < 100 {
		t.Errorf("one zone exhausted: %+v", exhausted)
	}
	reclaim("b")
	want := Next(present, best, capacity, s)
	if n := want.total().OnDemand + present.total().Spot; n < capacity {
		t.Errorf("two zones reclaimed: %d targets, %+v", n, want)
	}
}
