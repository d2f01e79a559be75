package roster

import (
	"fmt"
	"math"
	"testing"
)

// Guards against shares that overlap or leave a gap: each daemon computes its
// own from the list of all of them, in any order.
func TestRequestSharesCoverAllRequests(t *testing.T) {
	members := []Member{{VM: "a", Zone: "1", Millicores: 800}}
	for i := range 8 {
		members = append(members, Member{VM: fmt.Sprint("b", i), Zone: fmt.Sprint(i % 3), Millicores: 192})
	}
	width, covered := make(map[string]float64), 0.0
	for _, m := range members {
		s := requestShare(append([]Member(nil), members...), m.VM)
		width[m.VM] = s.To - s.From
		covered += width[m.VM]
		for _, o := range members {
			other := requestShare(append([]Member(nil), members...), o.VM)
			if o.VM != m.VM && math.Min(s.To, other.To)-math.Max(s.From, other.From) > 1e-9 {
				t.Errorf("%s %v overlaps %s %v", m.VM, s, o.VM, other)
			}
		}
	}
	if math.Abs(covered-1) > 1e-9 || math.Abs(width["a"]/width["b0"]-800.0/192) > 1e-9 {
		t.Errorf("widths %v, sum %v", width, covered)
	}
}
