package clock

import (
	"fmt"
	"testing"
	"time"
)

// vm is one VM of a fleet in a test.
type vm struct {
	*Fleet
	step time.Duration // of its time of day
}

func vms(steady *Manual, n int) []*vm {
	begin := time.Unix(1_790_000_000, 0)
	var out []*vm
	for range n {
		one := &vm{}
		one.Fleet = NewFleet(steady, func() time.Time { return begin.Add(steady.Now() + one.step) })
		out = append(out, one)
	}
	return out
}

// gossip has each VM receive the clocks of all others.
func gossip(list []*vm) {
	for i, to := range list {
		for j, from := range list {
			if i != j {
				to.Observe(fmt.Sprint(j), from.Wall())
			}
		}
	}
}

// Guards against usage that is counted in another window because the clocks of
// some VMs were stepped.
func TestSteppedClocksAreOutvoted(t *testing.T) {
	steady := &Manual{}
	list := vms(steady, 6)
	truth := list[5].Wall
	for _, step := range []time.Duration{2400 * time.Millisecond, -2400 * time.Millisecond} {
		list[0].step, list[1].step = step, step
		steady.Advance(sampleMin)
		gossip(list)
		for i, one := range list {
			if off := one.Now().Sub(truth()).Abs(); off > time.Millisecond {
				t.Errorf("VM %d is off by %v with a step of %v", i, off, step)
			}
		}
	}
}

// Guards against a stepped clock of a daemon that nobody reaches.
func TestOwnStepAlone(t *testing.T) {
	steady := &Manual{}
	one := vms(steady, 1)[0]
	before := one.Now()
	one.step = 4 * time.Second
	steady.Advance(time.Second)
	if off := one.Now().Sub(before) - time.Second; off.Abs() > 2*time.Second {
		t.Errorf("off by %v", off)
	}
}

// Guards against datagrams that waited in a queue: they make all clocks look
// late.
func TestDelayedSamplesDontCount(t *testing.T) {
	steady := &Manual{}
	list := vms(steady, 6)
	gossip(list)
	late := list[1].Wall()
	steady.Advance(sampleMin / 2)
	for i := 1; i < len(list); i++ {
		list[0].Observe(fmt.Sprint(i), late)
	}
	if off := list[0].Now().Sub(list[0].Wall()).Abs(); off > time.Millisecond {
		t.Errorf("off by %v", off)
	}
}
