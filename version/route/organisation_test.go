package route

import (
	"fmt"
	"testing"
)

// BenchmarkOrganisation compares lookups among a hundred to a million keys. The
// time must not depend on the number of keys.
func BenchmarkOrganisation(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			keys := NewKeys()
			o := &Organisation{Name: "o1"}
			for i := range n {
				keys.Add(fmt.Sprintf("key-%018d", i), o)
			}
			c := New(1, nil, nil, Limits{}, keys)
			key := fmt.Sprintf("key-%018d", n/2)
			b.ReportAllocs()
			for b.Loop() {
				if c.Organisation(key) != o {
					b.Fatal("not found")
				}
			}
		})
	}
}

func TestLookupAllocatesNothing(t *testing.T) {
	keys := NewKeys()
	keys.Add("k1", &Organisation{Name: "o1"})
	c := New(1, nil, nil, Limits{}, keys)
	if n := testing.AllocsPerRun(100, func() { c.Organisation("k1"); c.Organisation("k2") }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
