package engines

import (
	"fmt"
	"testing"
	"time"
)

// sizes are the fleet sizes of the benchmarks.
var sizes = []struct{ daemons, engines int }{{6, 12}, {90, 60}, {295, 240}, {1000, 1000}}

// newLoadedTracker returns a Tracker with a report of each daemon on its work at a
// few engines.
func newLoadedTracker(daemons, engines int) (*Tracker, []string) {
	tr := New(func() time.Time { return time.Unix(1000, 0) }, func(Work) {})
	var ids []string
	for i := range engines {
		ids = append(ids, fmt.Sprint("engine", i))
	}
	for d := range daemons {
		tr.Merge(fmt.Sprint("daemon", d), workOf(d, ids), nil)
	}
	return tr, ids
}

func workOf(daemon int, ids []string) []Work {
	var w []Work
	for k := range 4 {
		w = append(w, Work{Target: Hash(ids[(daemon*7+k)%len(ids)]), Reading: 300_000, Prompts: 1, Streams: 1})
	}
	return w
}

// BenchmarkLoad measures the look-up that a request makes for each engine that
// may serve it.
func BenchmarkLoad(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("daemons=%d/engines=%d", s.daemons, s.engines), func(b *testing.B) {
			tracker, ids := newLoadedTracker(s.daemons, s.engines)
			p := parts(1, 2, 3)
			for i := 0; b.Loop(); i++ {
				tracker.Load(ids[i%len(ids)], p)
			}
		})
	}
}

// BenchmarkMerge measures the processing of one report of another daemon.
func BenchmarkMerge(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("daemons=%d/engines=%d", s.daemons, s.engines), func(b *testing.B) {
			tracker, ids := newLoadedTracker(s.daemons, s.engines)
			for i := 0; b.Loop(); i++ {
				tracker.Merge(fmt.Sprint("daemon", i%s.daemons), workOf(i, ids), nil)
			}
		})
	}
}
