package roles

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
)

// speedsOf returns the speeds of the moved engines.
func speedsOf(list []Engine, moves []Move) (out []float64) {
	for _, m := range moves {
		for _, e := range list {
			if e.Entry.ID == m.Target {
				out = append(out, e.Speed)
			}
		}
	}
	return out
}

// Guards against slow engines that prefill while fast ones decode, which prefill nothing.
// Zones come first, and an engine within a quarter of its service counts as usual.
func TestSlowEnginesDecode(t *testing.T) {
	prefillers := newFleet(12, 2)
	for i := range prefillers {
		prefillers[i].Speed = []float64{0.6, 1.2, 2, 0}[i/3%4]
		prefillers[i].Wait = []time.Duration{0, 0, time.Second, 0}[i/3%4]
	}
	moves := Plan(prefillers, constantDemand(2, 300))
	if got := speedsOf(prefillers, moves); len(got) != 3 || got[0] != 2 || got[1] != 2 || got[2] != 2 || moves[0].Role != port.RoleDecode {
		t.Errorf("engines with factors %v to decode: %+v", got, moves)
	}
	decoders := newFleet(2, 12)
	for i := range decoders {
		decoders[i].Speed = []float64{2, 1.2, 0.6, 0}[i/3%4]
		decoders[i].Streams = []int{0, 1, 5, 1}[i/3%4]
	}
	moves = Plan(decoders, constantDemand(8, 60))
	got := speedsOf(decoders, moves)
	if len(got) < 3 || got[0] != 0.6 || got[1] != 0.6 || got[2] != 0.6 || moves[0].Role != port.RolePrefill {
		t.Errorf("engines with factors %v to prefill: %+v", got, moves)
	}
	for i := range decoders {
		decoders[i].Speed = 0
	}
	if moves := Plan(decoders, constantDemand(8, 60)); len(moves) != len(got) {
		t.Errorf("%d moves with unknown speeds, %d with known ones", len(moves), len(got))
	}
}

// Guards against a planner that doesn't give the factors of engines to the plan.
func TestPlannerKnowsSpeeds(t *testing.T) {
	factors := speed.NewFactors(speed.FactorOptions{Now: time.Now, Service: func(uint64) (string, bool) { return "llm", true }})
	var entries []port.TargetEntry
	for _, e := range newFleet(5, 0) {
		entries = append(entries, e.Entry)
	}
	for range 30 {
		for i, e := range entries {
			took := 100 * time.Millisecond
			if i == 0 {
				took *= 2
			}
			factors.Observe(e.ID, speed.Sample{Prompt: 5000, Missing: 5000, Duration: took}, speed.Estimates{PerToken: 20e3, Prompts: 100})
		}
	}
	for _, known := range []*speed.Factors{nil, factors} {
		p := New(Options{
			Self: "a", Clock: fakeClock(func() time.Duration { return time.Minute }), Factors: known,
			Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil),
		})
		for i, e := range p.engines(entryPointers(entries)) {
			want := 0
			if known != nil && i == 0 {
				want = 1
			}
			if got := e.speedClass(); got != want {
				t.Errorf("factors known: %v: engine %s: class %d, want %d", known != nil, e.Entry.ID, got, want)
			}
		}
	}
}
