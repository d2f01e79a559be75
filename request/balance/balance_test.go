package balance

import (
	"math"
	"testing"
)

// Guards against a choice by chance where the reports are fresh.
func TestFreshReportsChooseTheCheapest(t *testing.T) {
	var c Chooser
	for _, random := range []float64{0, 0.3, 0.999999} {
		if got := c.Choose([]float64{3, 1, 2, 1}, 0, random); got != 1 {
			t.Errorf("random %v: chose %d", random, got)
		}
	}
	if got := c.Choose(nil, 1, 0.5); got != -1 {
		t.Errorf("chose %d of none", got)
	}
}

// Guards against a distribution that fills a candidate beyond the others.
func TestLevelEqualisesCosts(t *testing.T) {
	var c Chooser
	for _, tc := range []struct{ work, want float64 }{{0, 1}, {0.5, 1.5}, {1, 2}, {4, 3.5}, {16, 8}} {
		if got := c.Level([]float64{5, 1, 2}, tc.work); math.Abs(got-tc.want) > 1e-9 {
			t.Errorf("work %v: level %v, want %v", tc.work, got, tc.want)
		}
	}
}

// Guards against probabilities other than the candidates' shares of the work:
// with costs 0, 1 and 9 and work 5, the level is 3 and the shares are 3/5, 2/5
// and 0.
func TestProbabilitiesAreSharesOfTheWork(t *testing.T) {
	var c Chooser
	counts := make([]int, 3)
	const n = 1000
	for i := range n {
		counts[c.Choose([]float64{0, 1, 9}, 5, (float64(i)+0.5)/n)]++
	}
	if counts[0] != 600 || counts[1] != 400 || counts[2] != 0 {
		t.Errorf("chosen %v times", counts)
	}
}
