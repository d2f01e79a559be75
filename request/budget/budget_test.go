package budget

import (
	"testing"
	"time"
)

// TestSharesBoundRetries checks that retries stay within the greater of the
// reserve and the share, and that old requests expire.
func TestSharesBoundRetries(t *testing.T) {
	now := time.Duration(0)
	b := NewShares(func() time.Duration { return now })
	taken := func(requests int) int {
		n := 0
		for range requests {
			b.Request("s")
			if b.Take("s", 0.1) {
				n++
			}
		}
		return n
	}
	if n := taken(1000); n != 100 {
		t.Errorf("%d retries for 1000 requests", n)
	}
	now += time.Hour
	if n := taken(20); n != shareReserve {
		t.Errorf("%d retries after a pause", n)
	}
}
