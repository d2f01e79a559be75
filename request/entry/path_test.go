package entry

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/load"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/port/httpapi"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/standin"
	"github.com/pomelospool/pomelospool/standin/engine"
	"github.com/pomelospool/pomelospool/version/document"
)

// useRealRouting replaces the fixture's fakes by the real router and load
// watcher.
func useRealRouting(t testing.TB, n *pipenet.Net, o *Options) *load.Watcher {
	var w *load.Watcher
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dial(ctx, addr) }
	o.Pool = pool.New(pool.Options{Dial: n.Dial, OnDown: func(addr string, err error) { w.HandleDown(addr, err) }})
	w = load.New(load.Options{
		View:         o.View,
		Pool:         o.Pool,
		Engine:       func(addr string) port.Engine { return httpapi.NewEngine(addr, httpapi.Options{Dial: dial}) },
		Process:      "vm",
		PollInterval: 20 * time.Millisecond,
	})
	t.Cleanup(func() {
		w.Close()
		o.Pool.Close()
	})
	o.Router, o.Targets, o.Verify, o.KV = routing.New(routing.Options{}), w, w.Verify, w
	return w
}

// TestEngineLost loses two of three engines under load, one after the other.
// Each engine stops gracefully (it announces that it leaves, gets no new
// requests and finishes the open ones), crashes, or all its connections
// stall. Every caller must get its complete answer.
func TestEngineLost(t *testing.T) {
	fault := func(kind string) func(*testing.T, *fixture, *load.Watcher, *engine.Engine, int) {
		return func(t *testing.T, _ *fixture, _ *load.Watcher, e *engine.Engine, _ int) {
			if err := e.Apply(t.Context(), standin.Fault{Kind: kind}); err != nil {
				t.Fatal(err)
			}
		}
	}
	cases := []struct {
		name   string
		budget float64 // 0: only the reserve, which is smaller than the number of callers
		lose   func(*testing.T, *fixture, *load.Watcher, *engine.Engine, int)
	}{
		{"leaves", 0, stopGracefully},
		{"crashes", 0.1, fault("crash")},
		{"goes silent", 0.1, fault("silent")},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, n *pipenet.Net) {
				engines := []*engine.Engine{startEngineOn(t, n, "a:80"), startEngineOn(t, n, "b:80"), startEngineOn(t, n, "c:80")}
				loseEnginesUnderLoad(t, n, engines, tc.budget, tc.lose)
				for i, e := range engines {
					for id, q := range e.Record().Requests {
						if q.Starts > 1 || tc.name == "leaves" && q.Cut+q.Cancelled > 0 {
							t.Errorf("engine %d: %s: %+v", i, id, q)
						}
					}
				}
			})
		})
	}
}

// loseEnginesUnderLoad loses the first two engines while callers check their
// answers.
func loseEnginesUnderLoad(t *testing.T, n *pipenet.Net, engines []*engine.Engine, budget float64, lose func(*testing.T, *fixture, *load.Watcher, *engine.Engine, int)) {
	var addrs []string
	for _, e := range engines {
		addrs = append(addrs, e.Addr())
	}
	var w *load.Watcher
	f := newFixtureOn(t, n, addrs, nil, func(o *Options, d *document.Document) {
		d.Retry.Budget = budget
		if w == nil {
			w = useRealRouting(t, n, o)
		}
	})
	const callers, answersBetweenLosses = 32, 300
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
	for i := range 3 {
		before := answered.Load()
		await(t, func() bool { return answered.Load() >= before+answersBetweenLosses })
		if i < 2 {
			lose(t, f, w, engines[i], i)
		}
	}
	stop.Store(true)
	wg.Wait()
	t.Logf("%d requests answered while two engines were lost", answered.Load())
}

// stopGracefully stops one engine in the planned way.
func stopGracefully(t *testing.T, f *fixture, w *load.Watcher, e *engine.Engine, i int) {
	t.Helper()
	if err := e.Apply(t.Context(), standin.Fault{Kind: "leaving", Count: 1}); err != nil {
		t.Fatal(err)
	}
	svc := f.entry.opts.View.Load().Services["llm"]
	await(t, func() bool { return !w.Targets(svc)[i].Live && w.Targets(svc)[i].InFlight == 0 })
	before := len(e.Record().Requests)
	e.Close()
	if n := len(e.Record().Requests); n != before {
		t.Errorf("engine %d got %d requests after it had left", i, n-before)
	}
}
