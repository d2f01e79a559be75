package balance

import (
	"math"
	"slices"
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

// Guards against a process that stays at its own candidates while others are
// better, or that leaves them although others fill up before its work arrives.
func TestPreferredUpToTheLevel(t *testing.T) {
	var c Chooser
	costs := []float64{0, 2, 4, 9}
	for _, work := range []float64{0, 3, 5.9} {
		if got := c.ChoosePreferred(costs, []int{2, 3}, work, 0); got != 0 {
			t.Errorf("work %v: chose %d", work, got)
		}
	}
	if got := c.ChoosePreferred(costs, []int{2, 3}, 7, 0); got != 2 {
		t.Errorf("chose %d although the others reach %v", got, c.Level(costs, 7))
	}
}

// Guards against candidates that more processes prefer than others.
func TestPreferredCoverCandidatesEvenly(t *testing.T) {
	for _, n := range []int{70, 140} {
		counts := make([]int, n)
		for i := range 70 {
			for _, p := range (Share{From: float64(i) / 70, To: float64(i+1) / 70}).Preferred(n) {
				counts[p]++
			}
		}
		if slices.Min(counts) != 2 || slices.Max(counts) != 2 {
			t.Errorf("preferred by %v", counts)
		}
	}
	for _, s := range []Share{{}, {From: 0.5, To: 0.501}} {
		if got := s.Preferred(140); got != nil {
			t.Errorf("%v prefers %v", s, got)
		}
	}
}
