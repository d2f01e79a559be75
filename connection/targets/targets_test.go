package targets

import (
	"fmt"
	"slices"
	"testing"

	"github.com/pomelospool/pomelospool/port"
)

func entry(n int, zone string) port.TargetEntry {
	return port.TargetEntry{ID: fmt.Sprint("e", n), Zone: zone, Role: port.RolePrefill}
}

func TestWithEqualsNewSet(t *testing.T) {
	var first, want []port.TargetEntry
	changes := make(map[string]*port.TargetEntry)
	for n := range 200 {
		e := entry(n, string(rune('a'+n%3)))
		first = append(first, e)
		switch n % 5 {
		case 0:
			changes[e.ID] = nil
		case 1:
			e.Leaving = true
			changes[e.ID] = &e
			want = append(want, e)
		default:
			want = append(want, e)
		}
	}
	late := entry(1000, "a")
	changes[late.ID] = &late
	want = append(want, late)
	got, all := NewSet(first).With(changes), NewSet(want)
	same := func(a, b *port.TargetEntry) bool { return *a == *b }
	if !slices.EqualFunc(got.All().All(), all.All().All(), same) {
		t.Error("the lists differ")
	}
	for _, zone := range []string{"", "a", "b", "c", "none"} {
		a, b := got.ByRole(port.RolePrefill, zone), all.ByRole(port.RolePrefill, zone)
		if !slices.EqualFunc(a.All(), b.All(), same) {
			t.Errorf("zone %q: %d targets, want %d", zone, a.Len(), b.Len())
		}
		for _, e := range a.All() {
			if e.Leaving || zone != "" && e.Zone != zone {
				t.Errorf("zone %q holds %+v", zone, e)
			}
		}
	}
}

func TestAfterKeepsItsTargetsAsOthersLeave(t *testing.T) {
	var entries []port.TargetEntry
	for n := range 1000 {
		entries = append(entries, entry(n, "a"))
	}
	s := NewSet(entries)
	moved := 0
	for n := range 100 {
		point := uint64(n) << 57
		before := s.ByRole(port.RolePrefill, "a").After(point, 4)
		if len(before) != 4 {
			t.Fatalf("%d targets", len(before))
		}
		gone := s.With(map[string]*port.TargetEntry{entries[n].ID: nil})
		if after := gone.ByRole(port.RolePrefill, "a").After(point, 4); after[0] != before[0] {
			moved++
		}
	}
	if moved > 2 {
		t.Errorf("%d of 100 points have another first target after one of 1,000 left", moved)
	}
	if got := (*Set)(nil).ByRole(port.RolePrefill, "").After(1, 3); got != nil {
		t.Errorf("an empty set returned %v", got)
	}
}
