package discovery

import (
	"fmt"
	"testing"

	"github.com/pomelospool/pomelospool/port"
)

// BenchmarkApplyOne applies one change among many targets.
func BenchmarkApplyOne(b *testing.B) {
	for _, targets := range []int{250, 2500, 10_000, 20_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			r := New(Options{Decode: decode})
			var all []port.KeyedRecord
			for n := range targets {
				all = append(all, rec(int64(n), fmt.Sprint("t", n), "s"))
			}
			r.Reset(all, int64(targets))
			at := int64(targets)
			b.ReportAllocs()
			for b.Loop() {
				state := "s"
				if at%2 == 0 {
					state = "s leaving"
				}
				r.Apply([]port.KeyedRecord{rec(at, "t7", state)})
				at++
			}
		})
	}
}
