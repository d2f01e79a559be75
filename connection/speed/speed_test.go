package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// engine emulates an engine's times, in milliseconds.
type engine struct{ perToken, perPairM, start float64 }

func (e engine) read(prompt, missing int) time.Duration {
	ms := e.start + float64(missing)*e.perToken + pairs(prompt, missing)/1e3*e.perPairM
	return time.Duration(ms * float64(time.Millisecond))
}

// feedPrompts feeds n prompts of a mix; noise is the share by which their times
// differ, and one in ten waits behind another daemon's that nobody told of.
func feedPrompts(b *Tracker, e engine, r *rand.Rand, n int) {
	for range n {
		prompt := 200 + r.IntN(17_000)
		missing := max(prompt/(1+r.IntN(4)), 20)
		took := float64(e.read(prompt, missing)) * (0.9 + 0.2*r.Float64())
		if r.IntN(10) == 0 {
			took += float64(e.read(9000, 3000))
		}
		b.ObservePrompt("llm", Sample{Prompt: prompt, Missing: missing, Duration: time.Duration(took)})
	}
}

func maxRelativeError(f Estimates, e engine) float64 {
	worst := 0.0
	for _, p := range [][2]int{{1000, 1000}, {9000, 3000}, {17_000, 4000}, {17_000, 17_000}} {
		want := float64(e.read(p[0], p[1]))
		worst = max(worst, math.Abs(float64(f.PromptOverhead+f.PrefillTime(p[0], p[1]))-want)/want)
	}
	return worst
}

// Prompts of a service with engines of a speed that nobody stated are refused
// or given up, since their times are predicted by another engine's figures.
// Engines from a fifth of one's time to ten times it are predicted within a
// quarter after 40 prompts.
func TestEstimatesAnySpeed(t *testing.T) {
	for _, x := range []float64{0.2, 1, 3, 10} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			e := engine{perToken: 0.02 * x, perPairM: 0.25 * x, start: 30 * x}
			b := NewTracker()
			if f := b.Estimates("llm"); f.Known() || f.PrefillTime(1000, 1000) != 0 {
				t.Errorf("before any prompt: %+v", f)
			}
			feedPrompts(b, e, rand.New(rand.NewPCG(uint64(x*10), 1)), 40)
			if got := maxRelativeError(b.Estimates("llm"), e); got > 0.25 {
				t.Errorf("off by %.2f: %+v", got, b.Estimates("llm"))
			}
		})
	}
}

// Engines are replaced by slower ones in the middle of a day.
func TestFollowsSpeedChange(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 1))
	b := NewTracker()
	feedPrompts(b, engine{perToken: 0.005, perPairM: 0.1, start: 3}, r, 400)
	slow := engine{perToken: 0.02, perPairM: 0.4, start: 12}
	feedPrompts(b, slow, r, 500)
	if got := maxRelativeError(b.Estimates("llm"), slow); got > 0.25 {
		t.Errorf("off by %.2f: %+v", got, b.Estimates("llm"))
	}
	if e := b.PredictionError("llm"); e > 0.5 {
		t.Errorf("error shown %.2f", e)
	}
}

// Prompts that are all alike give no slope; the time of such a prompt must be
// right all the same, and no term may be negative.
func TestIdenticalPrompts(t *testing.T) {
	b := NewTracker()
	for range 50 {
		b.ObservePrompt("llm", Sample{Prompt: 1000, Missing: 500, Duration: 20 * time.Millisecond})
	}
	f := b.Estimates("llm")
	got := f.PromptOverhead + f.PrefillTime(1000, 500)
	if d := (got - 20*time.Millisecond).Abs(); d > time.Millisecond || f.PerToken < 0 || f.PerPair < 0 || f.PromptOverhead < 0 {
		t.Errorf("%v of %+v", got, f)
	}
}

// A daemon that has just started refuses nothing and places by nothing, or
// waits for its own sights. It takes the others' update at once, and its own once
// that rests on enough.
func TestEstimatesAreShared(t *testing.T) {
	e := engine{perToken: 0.02, perPairM: 0.25, start: 30}
	old, fresh := NewTracker(), NewTracker()
	feedPrompts(old, e, rand.New(rand.NewPCG(3, 1)), 200)
	old.ObserveFirstEvent("llm", 40*time.Millisecond)
	fresh.Merge(old.Report())
	f := fresh.Estimates("llm")
	if !f.Known() || maxRelativeError(f, e) > 0.25 || f.FirstEvent.Round(time.Millisecond) != 40*time.Millisecond {
		t.Errorf("heard %+v", f)
	}
	if report := fresh.Report(); len(report) != 0 {
		t.Errorf("passes on what it heard: %+v", report)
	}
	other := engine{perToken: 0.1, start: 1}
	feedPrompts(fresh, other, rand.New(rand.NewPCG(4, 1)), 200)
	if got := maxRelativeError(fresh.Estimates("llm"), other); got > 0.25 {
		t.Errorf("own sights don't count: off by %.2f", got)
	}
}

func TestFirstEvents(t *testing.T) {
	b := NewTracker()
	b.ObserveFirstEvent("llm", 100*time.Millisecond)
	if got := b.Estimates("llm").FirstEvent; got != 100*time.Millisecond {
		t.Errorf("after one: %v", got)
	}
	for range 100 {
		b.ObserveFirstEvent("llm", 20*time.Millisecond)
	}
	if got := b.Estimates("llm").FirstEvent; got > 22*time.Millisecond {
		t.Errorf("after a hundred: %v", got)
	}
}
