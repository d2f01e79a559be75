package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// engine holds the times of an emulated engine, in milliseconds.
type engine struct{ perToken, perPairM, start float64 }

func (e engine) prefillTime(prompt, missing int) time.Duration {
	ms := e.start + float64(missing)*e.perToken + pairs(prompt, missing)/1e3*e.perPairM
	return time.Duration(ms * float64(time.Millisecond))
}

// feedPrompts adds n prompts of mixed sizes. Their times deviate by up to a tenth, and
// one in ten waits behind an unreported prompt of another daemon.
func feedPrompts(tr *Tracker, e engine, r *rand.Rand, n int) {
	for range n {
		prompt := 200 + r.IntN(17_000)
		missing := max(prompt/(1+r.IntN(4)), 20)
		took := float64(e.prefillTime(prompt, missing)) * (0.9 + 0.2*r.Float64())
		if r.IntN(10) == 0 {
			took += float64(e.prefillTime(9000, 3000))
		}
		tr.ObservePrompt("llm", Sample{Prompt: prompt, Missing: missing, Duration: time.Duration(took)})
	}
}

// maxRelativeError returns the largest relative error of the predictions for some
// prompts.
func maxRelativeError(est Estimates, e engine) float64 {
	worst := 0.0
	for _, p := range [][2]int{{1000, 1000}, {9000, 3000}, {17_000, 4000}, {17_000, 17_000}} {
		want := float64(e.prefillTime(p[0], p[1]))
		worst = max(worst, math.Abs(float64(est.PromptOverhead+est.PrefillTime(p[0], p[1]))-want)/want)
	}
	return worst
}

// Guards against refused or aborted prompts because times are predicted from the
// speed of another engine. For engines that take from a fifth to ten times the usual
// time, predictions must be within a quarter after 40 prompts.
func TestEstimatesAnySpeed(t *testing.T) {
	for _, x := range []float64{0.2, 1, 3, 10} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			e := engine{perToken: 0.02 * x, perPairM: 0.25 * x, start: 30 * x}
			tr := NewTracker()
			if est := tr.Estimates("llm"); est.Known() || est.PrefillTime(1000, 1000) != 0 {
				t.Errorf("before any prompt: %+v", est)
			}
			feedPrompts(tr, e, rand.New(rand.NewPCG(uint64(x*10), 1)), 40)
			if got := maxRelativeError(tr.Estimates("llm"), e); got > 0.25 {
				t.Errorf("off by %.2f: %+v", got, tr.Estimates("llm"))
			}
		})
	}
}

// Guards against estimates that stay at the speed of engines that were replaced by slower
// ones.
func TestFollowsSpeedChange(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 1))
	tr := NewTracker()
	feedPrompts(tr, engine{perToken: 0.005, perPairM: 0.1, start: 3}, r, 400)
	slow := engine{perToken: 0.02, perPairM: 0.4, start: 12}
	feedPrompts(tr, slow, r, 500)
	if got := maxRelativeError(tr.Estimates("llm"), slow); got > 0.25 {
		t.Errorf("off by %.2f: %+v", got, tr.Estimates("llm"))
	}
	if e := tr.PredictionError("llm"); e > 0.5 {
		t.Errorf("prediction error %.2f", e)
	}
}

// Identical prompts don't determine a slope. The predicted time of such a prompt must
// still be right, and no term may be negative.
func TestIdenticalPrompts(t *testing.T) {
	tr := NewTracker()
	for range 50 {
		tr.ObservePrompt("llm", Sample{Prompt: 1000, Missing: 500, Duration: 20 * time.Millisecond})
	}
	est := tr.Estimates("llm")
	got := est.PromptOverhead + est.PrefillTime(1000, 500)
	if d := (got - 20*time.Millisecond).Abs(); d > time.Millisecond || est.PerToken < 0 || est.PerPair < 0 || est.PromptOverhead < 0 {
		t.Errorf("%v of %+v", got, est)
	}
}

// Guards against a daemon that has no estimates for refusals and placement just after its
// start. It must use the update of another daemon at once, and its own estimates once
// they come from enough prompts.
func TestEstimatesAreShared(t *testing.T) {
	e := engine{perToken: 0.02, perPairM: 0.25, start: 30}
	old, fresh := NewTracker(), NewTracker()
	feedPrompts(old, e, rand.New(rand.NewPCG(3, 1)), 200)
	old.ObserveFirstEvent("llm", 40*time.Millisecond)
	fresh.Merge(old.Report())
	est := fresh.Estimates("llm")
	if !est.Known() || maxRelativeError(est, e) > 0.25 || est.FirstEvent.Round(time.Millisecond) != 40*time.Millisecond {
		t.Errorf("estimates after the update: %+v", est)
	}
	if report := fresh.Report(); len(report) != 0 {
		t.Errorf("reports the estimates of another daemon: %+v", report)
	}
	other := engine{perToken: 0.1, start: 1}
	feedPrompts(fresh, other, rand.New(rand.NewPCG(4, 1)), 200)
	if got := maxRelativeError(fresh.Estimates("llm"), other); got > 0.25 {
		t.Errorf("own prompts don't count: off by %.2f", got)
	}
}

func TestFirstEvents(t *testing.T) {
	tr := NewTracker()
	tr.ObserveFirstEvent("llm", 100*time.Millisecond)
	if got := tr.Estimates("llm").FirstEvent; got != 100*time.Millisecond {
		t.Errorf("after one: %v", got)
	}
	for range 100 {
		tr.ObserveFirstEvent("llm", 20*time.Millisecond)
	}
	if got := tr.Estimates("llm").FirstEvent; got > 22*time.Millisecond {
		t.Errorf("after a hundred: %v", got)
	}
}
