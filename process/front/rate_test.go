package front

import (
	"testing"
	"time"
)

func TestRateIsThatOfTheBusiestSecond(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := newRateMeter(func() time.Time { return now })
	for second, n := range []int{3, 9, 0, 2, 1} {
		now = time.Unix(1_000_000+int64(second), 0)
		for range n {
			m.add()
		}
	}
	if got := m.perSecond(); got != 9 {
		t.Errorf("%v a second, want 9", got)
	}
	for _, c := range []struct {
		later time.Duration
		want  float64
	}{{2 * time.Second, 2}, {time.Hour, 0}} {
		now = time.Unix(1_000_004, 0).Add(c.later)
		if got := m.perSecond(); got != c.want {
			t.Errorf("%v later: %v a second, want %v", c.later, got, c.want)
		}
	}
}
