package roster

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

// Guards against sending the work of all daemons at all engines to daemons that get no
// requests: sixteen datagrams from each of two aggregators, twice a second.
func TestIdleDaemonsReceiveLittle(t *testing.T) {
	const size, serving, busy = 400, 10, 500
	const span = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		f.zones = 2
		f.rate = func(vm int) float64 {
			if vm > size-serving {
				return 3
			}
			return 0
		}
		for i := range size {
			f.add(i+1, 1)
		}
		defer f.stop()
		sleep(8 * time.Second)
		for i := range busy {
			f.trackers[size-1-i%serving].Decode(fmt.Sprint("engine", i), 1000, nil, 0)
		}
		sleep(2 * time.Second)
		before := f.received()
		sleep(span)
		perSecond := make([]int, size)
		for i, n := range f.received() {
			perSecond[i] = (n - before[i]) / int(span/time.Second)
		}
		// The first daemons of each zone are aggregators and receive heartbeats.
		for i := 10; i < size-serving; i++ {
			if perSecond[i] > 10_000 {
				t.Errorf("daemon %d receives %d bytes a second", i+1, perSecond[i])
			}
		}
		last := f.trackers[size-1]
		known := 0
		for i := range busy {
			known += min(last.Load(fmt.Sprint("engine", i), nil).Streams, 1)
		}
		if known < maxWorkPerDigest/2 {
			t.Errorf("a daemon with requests knows the work of %d engines", known)
		}
		f.expect(t, size, "with sums of the living", nil)
	})
}

// received returns the number of bytes that each daemon has received.
func (f *testFleet) received() []int {
	var out []int
	for _, e := range f.ends {
		_, n := e.Bytes()
		out = append(out, n)
	}
	return out
}

func TestBusiestEnginesAreReported(t *testing.T) {
	work := []engines.Work{{Target: 1, Streams: 1}, {Target: 2, Reading: 9}, {Target: 3, Down: 1}, {Target: 4, Becomes: "decode"}, {Target: 5, Reading: 5}}
	var got []uint64
	for _, w := range engines.Busiest(work, 4) {
		got = append(got, w.Target)
	}
	if fmt.Sprint(got) != "[3 4 2 5]" {
		t.Errorf("engines %v", got)
	}
}
