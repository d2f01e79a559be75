package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// When more prompts arrive than can be prefilled, a prompt with nothing
// cached takes four times the time of others, so that several callers are
// rejected for it. In a long queue its effective wait is longer, by at most
// a factor of two; in a short queue it isn't.
func TestCostlyPromptsAreRejectedFirst(t *testing.T) {
	var stats PromptStats
	if got := stats.EffectiveWait(100*ms, 9000, 20*ms, 0); got != 100*ms {
		t.Errorf("before any prompt: %v", got)
	}
	for range 200 {
		stats.Record(9000, 15*ms)
	}
	for _, tc := range []struct {
		name            string
		wait            time.Duration
		tokens          int
		prefill         time.Duration
		predictionError time.Duration
		want            time.Duration
	}{
		{"usual", 145 * ms, 9000, 15 * ms, 0, 145 * ms},
		{"cheap", 145 * ms, 9000, 5 * ms, 0, 145 * ms},
		{"costly", 145 * ms, 9000, 60 * ms, 0, 245 * ms},
		{"a little more", 145 * ms, 9000, 20 * ms, 0, 145*ms + 100*ms/3},
		{"costly, short queue", 40 * ms, 9000, 60 * ms, 0, 40 * ms},
		{"usual, prediction off by 20 ms", 145 * ms, 9000, 15 * ms, 20 * ms, 175 * ms},
		{"the same in a short queue", 40 * ms, 9000, 15 * ms, 20 * ms, 40 * ms},
		{"nothing to read", 145 * ms, 9000, 0, 0, 145 * ms},
	} {
		if got := stats.EffectiveWait(tc.wait, tc.tokens, tc.prefill, tc.predictionError); (got - tc.want).Abs() > ms {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// The load has random arrivals, bursts of a second at twice the engine's
// capacity, and costly prompts as half of the requests. Rejecting costly
// prompts first serves more callers on time, and costly ones at least half
// as often as others.
func TestRejectingCostlyPromptsServesMore(t *testing.T) {
	const bound = 200 * ms
	serve := func(effective bool) (served, cheap, costly int) {
		r := rand.New(rand.NewPCG(7, 1))
		var stats PromptStats
		now, free := time.Duration(0), time.Duration(0)
		for range 20_000 {
			gap := 30 * ms
			if now%(2*time.Second) < time.Second {
				gap = 9 * ms
			}
			now += time.Duration(r.ExpFloat64() * float64(gap))
			prefill := 10 * ms
			if r.IntN(2) == 0 {
				prefill = 26 * ms
			}
			wait := max(free-now, 0)
			stats.Record(9000, prefill)
			assumed := wait
			if effective {
				assumed = stats.EffectiveWait(wait, 9000, prefill, 0)
			}
			if assumed+prefill > bound {
				continue
			}
			free = max(free, now) + prefill
			if served++; prefill > 10*ms {
				costly++
			} else {
				cheap++
			}
		}
		return served, cheap, costly
	}
	all, _, _ := serve(false)
	more, cheap, costly := serve(true)
	if more < all+100 || 2*costly < cheap {
		t.Errorf("%d served, %d cheap, %d costly; %d without", more, cheap, costly, all)
	}
}
