package fraction

import (
	"math"
	"testing"
)

func TestOf(t *testing.T) {
	for hash, want := range map[uint64]float64{0: 0, 1 << 63: 0.5, 3 << 62: 0.75, 1<<11 - 1: 0} {
		if got := Of(hash); got != want {
			t.Errorf("%x: %v, want %v", hash, got, want)
		}
	}
	if got := Of(math.MaxUint64); got >= 1 {
		t.Errorf("the largest hash is mapped to %v, want less than 1", got)
	}
}
