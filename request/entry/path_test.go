package entry

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/load"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/platform/httpapi"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/standin"
	"github.com/pomelospool/pomelospool/standin/engine"
	"github.com/pomelospool/pomelospool/version/document"
)

// real replaces the fixture's fakes by the real routing and load watcher.
func real(t testing.TB, o *Options) *load.Watcher {
	var w *load.Watcher
	o.Pool = pool.New(pool.Options{Down: func(addr string, err error) { w.Down(addr, err) }})
	w = load.New(load.Options{
		View:    o.View,
		Pool:    o.Pool,
		Engine:  func(addr string) platform.Engine { return httpapi.NewEngine(addr, httpapi.Options{}) },
		Process: "vm",
		Poll:    20 * time.Millisecond,
	})
	t.Cleanup(func() {
		w.Close()
		o.Pool.Close()
	})
	o.Router, o.Targets, o.Verify, o.KV = routing.New(routing.Options{}), w, w.Verify, w
	return w
}

// TestEngineReplaced: under load, one engine after another announces that it
// leaves, gets no new work, ends what it has and is gone; another takes its
// place in turn. No caller sees anything but its whole answer.
func TestEngineReplaced(t *testing.T) {
	engines := []*engine.Engine{startEngine(t), startEngine(t), startEngine(t)}
	var addrs []string
	for _, e := range engines {
		addrs = append(addrs, e.Addr())
	}
	var w *load.Watcher
	f := newFixture(t, addrs, nil, func(o *Options, d *document.Document) {
		d.Retry.Budget = 0 // the reserve only: less than there are callers
		if w == nil {
			w = real(t, o)
		}
	})
	const callers = 32
	var stop atomic.Bool
	var answered atomic.Int32
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := 0; !stop.Load(); i++ {
				id := fmt.Sprintf("c%d-%d", c, i)
				r := f.complete(id, 20, "X-Request-Id", id)
				if err := checkStream(r.body, id, id, 20); err != nil {
					t.Errorf("%s: %v, code %s", id, err, r.code())
				}
				answered.Add(1)
			}
		})
	}
	more := func() {
		for n := answered.Load(); answered.Load() < n+100; {
			time.Sleep(time.Millisecond)
		}
	}
	for i, e := range engines[:2] {
		more()
		leave(t, f, w, e, i)
	}
	more()
	stop.Store(true)
	wg.Wait()
	t.Logf("%d requests answered whole while two engines left", answered.Load())
	for i, e := range engines {
		for id, q := range e.Record().Requests {
			if q.Starts > 1 || q.Cut > 0 || q.Cancelled > 0 {
				t.Errorf("engine %d: %s: %+v", i, id, q)
			}
		}
	}
}

// leave takes one engine through its planned stop.
func leave(t *testing.T, f *fixture, w *load.Watcher, e *engine.Engine, i int) {
	t.Helper()
	if err := e.Apply(t.Context(), standin.Fault{Kind: "leaving", Count: 1}); err != nil {
		t.Fatal(err)
	}
	svc := f.entry.opts.View.Load().Services["llm"]
	for w.Targets(svc)[i].Live || w.Targets(svc)[i].InFlight > 0 {
		time.Sleep(time.Millisecond)
	}
	before := len(e.Record().Requests)
	e.Close()
	if n := len(e.Record().Requests); n != before {
		t.Errorf("engine %d got %d requests after it had left", i, n-before)
	}
}
