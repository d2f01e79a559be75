package roster

import (
	"fmt"
	"testing"

	"github.com/pomelospool/pomelospool/connection/address"
)

// candidatesOf returns daemons of one availability zone with the given CPU weights.
func candidatesOf(zone string, weights ...float64) []candidate {
	var out []candidate
	for i, w := range weights {
		out = append(out, candidate{Member: address.Member{Addr: fmt.Sprint(zone, i), Zone: zone, Weight: w}, rate: 1})
	}
	return out
}

func repeat(w float64, n int) []float64 {
	var out []float64
	for range n {
		out = append(out, w)
	}
	return out
}

// Guards against sending requests to a thousand slow daemons where a few fast ones
// suffice, and against selecting too few daemons for the request rate.
func TestFastestDaemonsGetTheRequests(t *testing.T) {
	mixed := candidatesOf("a", append(repeat(1.6, 10), repeat(0.192, 187)...)...)
	for _, c := range []struct {
		perSecond, least, most int
	}{{0, 8, 10}, {128, 8, 10}, {500, 10, 20}, {2000, 190, 197}, {100_000, 197, 197}} {
		for i := range 10 {
			mixed[i].rate = max(float64(c.perSecond)/10, 1)
		}
		got, _ := activeDaemons(append(candidatesOf("b", repeat(8, 30)...), mixed...), "a")
		capacity := 0.0
		for _, m := range got {
			if m.Zone != "a" {
				t.Fatalf("a caller of zone a is sent to %+v", m)
			}
			capacity += m.Weight
		}
		if len(got) < c.least || len(got) > c.most {
			t.Errorf("%d daemons for %d requests a second, want %d to %d", len(got), c.perSecond, c.least, c.most)
		}
		if need := float64(c.perSecond) * requestCoreSeconds * 2; capacity < need && len(got) < len(mixed) {
			t.Errorf("%v cores for %d requests a second", capacity, c.perSecond)
		}
	}
}

func TestSmallFleetsAndZonesUseAllDaemons(t *testing.T) {
	if got, named := activeDaemons(candidatesOf("a", repeat(1, 12)...), "a"); len(got) != 12 || named != 12 {
		t.Errorf("%d of 12 daemons", len(got))
	}
	few := append(candidatesOf("a", 1, 1, 1), candidatesOf("b", repeat(1, 40)...)...)
	if got, named := activeDaemons(few, "a"); len(got) != 43 || named != 43 {
		t.Errorf("%d of 43 daemons for a zone of three", len(got))
	}
}

func TestRateLevels(t *testing.T) {
	for rate, want := range map[float64]uint8{0: 0, 0.2: 1, 1: 1, 1.5: 2, 2: 2, 3: 3, 100: 8} {
		if got := rateLevel(rate); got != want {
			t.Errorf("%v a second: level %d, want %d", rate, got, want)
		}
	}
}
