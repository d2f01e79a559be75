package roles

import (
	"testing"
	"time"

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
