package speed

import (
	"math/rand/v2"
	"testing"
	"time"
)

// feedGaps adds n gaps for each of two engines. The gaps of engine "slow" are longer by
// the factor slow.
func feedGaps(tr *Tracker, n int, slow float64) {
	r := rand.New(rand.NewPCG(3, 1))
	for range n {
		streams := float64(5 + r.IntN(60))
		gap := (36 + 0.7*streams) * (0.85 + 0.3*r.Float64())
		tr.ObserveGap("llm", "usual", streams, time.Duration(gap*float64(time.Millisecond)))
		tr.ObserveGap("llm", "slow", streams, time.Duration(slow*gap*float64(time.Millisecond)))
	}
}

func TestPaceBoundsTheStreams(t *testing.T) {
	tr := NewTracker()
	feedGaps(tr, 10, 1)
	if p := tr.Pace("llm", "usual"); p.Known() {
		t.Errorf("known after 20 samples: %+v", p)
	}
	feedGaps(tr, 300, 1)
	// 36 + 0.7 * 40 ms
	if n := tr.Pace("llm", "usual").MaxStreams(64 * time.Millisecond); n < 36 || n > 44 {
		t.Errorf("%d streams at 64 ms, want about 40", n)
	}
	if n := tr.Pace("llm", "usual").MaxStreams(time.Millisecond); n != 1 {
		t.Errorf("%d streams at an unreachable gap, want 1", n)
	}
}

func TestSlowEngineTakesFewerStreams(t *testing.T) {
	tr := NewTracker()
	feedGaps(tr, 300, 1.3)
	const gap = 64 * time.Millisecond
	usual, slow := tr.Pace("llm", "usual").MaxStreams(gap), tr.Pace("llm", "slow").MaxStreams(gap)
	// 1.3 * (36 + 0.7 * 19) ms
	if usual < 34 || usual > 46 || slow < 14 || slow > 24 {
		t.Errorf("%d streams at the usual engine and %d at the slow one, want about 40 and 19", usual, slow)
	}
}

func TestIdenticalLoadsGiveNoPace(t *testing.T) {
	tr := NewTracker()
	for range 200 {
		tr.ObserveGap("llm", "a", 30, 57*time.Millisecond)
	}
	if p := tr.Pace("llm", "a"); p.Known() {
		t.Errorf("pace from samples of a single load: %+v", p)
	}
}
