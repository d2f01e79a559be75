package address

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a slow daemon that gets as many callers as one with eight
// times its CPU capacity.
func TestCallersAreSpreadByWeight(t *testing.T) {
	weights := []float64{1, 1, 2, 4, 8}
	var members []Member
	for i, w := range weights {
		members = append(members, Member{Addr: fmt.Sprint("10.0.0.", i), Weight: w})
	}
	s := NewSelector(func() []Member { return members }, time.Second)
	first := make(map[string]int)
	const callers = 16_000
	for seed := range uint64(callers) {
		first[s.Answer("", seed).Addresses[0].Addr]++
	}
	for i, w := range weights {
		want := callers * w / 16
		if got := float64(first[members[i].Addr]); got < 0.9*want || got > 1.1*want {
			t.Errorf("weight %v: first for %v of %d callers, want %v", w, got, callers, want)
		}
	}
}

// Callers get the members that aren't leaving, those of their own zone first,
// and are spread over them.
func TestAnswer(t *testing.T) {
	var members []Member
	for i := range 8 {
		members = append(members, Member{Addr: fmt.Sprint("10.0.0.", i), Zone: fmt.Sprint("z", i%2), Leaving: i >= 6})
	}
	s := NewSelector(func() []Member { return members }, 5*time.Second)
	first := make(map[string]int)
	for seed := range uint64(3000) {
		a := s.Answer("z1", seed)
		if len(a.Addresses) != 6 || a.TTLMs != 5000 {
			t.Fatalf("got %+v", a)
		}
		for i, e := range a.Addresses {
			if (e.Zone == "z1") != (i < 3) {
				t.Fatalf("seed %d: %+v", seed, a.Addresses)
			}
		}
		first[a.Addresses[0].Addr]++
	}
	for addr, n := range first {
		if n < 900 || n > 1100 {
			t.Errorf("%s is first for %d of 3000 callers", addr, n)
		}
	}
	before := s.Answer("z1", 7).Addresses[0]
	members[0].Leaving = true
	if after := s.Answer("z1", 7).Addresses[0]; after != before {
		t.Errorf("a caller was moved from %v to %v without need", before, after)
	}
	if a := NewSelector(func() []Member { return nil }, 0).Answer("", 0); a.Addresses == nil {
		t.Error("without members the addresses must be an empty list, not null")
	}
}
