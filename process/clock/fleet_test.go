package clock

import (
	"fmt"
	"testing"
	"time"
)

// vm is a VM whose time of day can be stepped.
type vm struct {
	*Estimator
	step time.Duration // added to its time of day
}

func newVMs(monotonic *Manual, n int) []*vm {
	begin := time.Unix(1_790_000_000, 0)
	var out []*vm
	for range n {
		v := &vm{}
		v.Estimator = NewEstimator(monotonic, func() time.Time { return begin.Add(monotonic.Now() + v.step) })
		out = append(out, v)
	}
	return out
}

// exchangeSamples delivers each VM's time of day to all others.
func exchangeSamples(list []*vm) {
	for i, to := range list {
		for j, from := range list {
			if i != j {
				to.Observe(fmt.Sprint(j), from.Wall())
			}
		}
	}
}

// Guards against usage that is counted in the wrong window because the clocks of
// some VMs were stepped.
func TestMedianIgnoresSteppedClocks(t *testing.T) {
	monotonic := &Manual{}
	list := newVMs(monotonic, 6)
	truth := list[5].Wall
	for _, step := range []time.Duration{2400 * time.Millisecond, -2400 * time.Millisecond} {
		list[0].step, list[1].step = step, step
		monotonic.Advance(sampleHold)
		exchangeSamples(list)
		for i, v := range list {
			if off := v.Now().Sub(truth()).Abs(); off > time.Millisecond {
				t.Errorf("VM %d is off by %v with a step of %v", i, off, step)
			}
		}
	}
}

// Guards against following a step of the VM's own clock when no samples of other
// VMs arrive.
func TestOwnStepWithoutPeers(t *testing.T) {
	monotonic := &Manual{}
	v := newVMs(monotonic, 1)[0]
	before := v.Now()
	v.step = 4 * time.Second
	monotonic.Advance(time.Second)
	if off := v.Now().Sub(before) - time.Second; off.Abs() > 2*time.Second {
		t.Errorf("off by %v", off)
	}
}

// Guards against datagrams that were delayed in a queue, which make all clocks
// appear late.
func TestDelayedSamplesAreIgnored(t *testing.T) {
	monotonic := &Manual{}
	list := newVMs(monotonic, 6)
	exchangeSamples(list)
	late := list[1].Wall()
	monotonic.Advance(sampleHold / 2)
	for i := 1; i < len(list); i++ {
		list[0].Observe(fmt.Sprint(i), late)
	}
	if off := list[0].Now().Sub(list[0].Wall()).Abs(); off > time.Millisecond {
		t.Errorf("off by %v", off)
	}
}
