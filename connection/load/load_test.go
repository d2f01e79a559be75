package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// advance advances virtual time in a synctest bubble.
func advance(d time.Duration) { <-time.After(d) }

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// fakeEngine fakes the control interface of an engine.
type fakeEngine struct {
	port.Engine
	mu     sync.Mutex
	load   port.Load
	state  port.EngineState
	events []port.CacheEvent
	lag    time.Duration
	calls  int
}

func (f *fakeEngine) set(change func(*fakeEngine)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeEngine) Load(context.Context) (port.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	l := f.load
	l.At = time.Now().Add(-f.lag)
	return l, nil
}

func (f *fakeEngine) State(context.Context) (port.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.state, nil
}

func (f *fakeEngine) CacheEvents(_ context.Context, after int64) ([]port.CacheEvent, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	var out []port.CacheEvent
	for _, e := range f.events {
		if e.Seq > after {
			out = append(out, e)
		}
	}
	return out, nil
}

// watch runs a Watcher over one engine in virtual time.
func watch(t *testing.T, f *fakeEngine, do func(w *Watcher, p *pool.Pool, get func() routing.Target, crashes *int)) {
	synctest.Test(t, func(t *testing.T) {
		doc := &document.Document{Service: "s", Kind: document.KindModel, Targets: []document.Target{{Name: "e", Addr: "e:1", Model: "m"}}}
		svc := &view.Service{Doc: doc, Version: 1}
		h := &view.Holder{}
		h.Store(view.NewSnapshot(1, []*view.Service{svc}, map[string]bool{}))
		refuse := func(context.Context, string) (net.Conn, error) { return nil, errors.New("no network") }
		p := pool.New(pool.Options{Dial: refuse})
		crashes := 0
		w := New(Options{View: h, Pool: p, Engine: func(string) port.Engine { return f }, OnCrash: func(string) { crashes++ }})
		get := func() routing.Target {
			advance(1200 * time.Millisecond) // a few polls, state included
			synctest.Wait()
			return w.Targets(svc)[0]
		}
		do(w, p, get, &crashes)
		w.Close()
		p.Close()
	})
}

// TestTargetView checks that the view of a target takes its model and role from
// the engine's state rather than from the document, and that it contains the
// load and the requests sent since.
func TestTargetView(t *testing.T) {
	f := &fakeEngine{lag: 500 * time.Millisecond}
	f.load = port.Load{Incarnation: "1", Running: 3}
	f.state = port.EngineState{Spec: port.EngineSpec{Role: port.RoleDecode, Model: "other"}}
	watch(t, f, func(_ *Watcher, p *pool.Pool, get func() routing.Target, _ *int) {
		got := get()
		if got.Model != "other" || got.Role != port.RoleDecode || got.Load.Running != 3 || !got.Live {
			t.Errorf("got %+v", got)
		}
		if got.LoadAge < f.lag || got.LoadAge > f.lag+defaultPollInterval {
			t.Errorf("load is %v old", got.LoadAge)
		}
		p.Begin("e:1", 100, 10)
		now := get()
		if now.SentCount != 0 || now.InFlight != 1 {
			t.Errorf("long after sending: %+v", now)
		}
		f.set(func(f *fakeEngine) { f.state.Leaving = true })
		if got := get(); got.Live {
			t.Error("a leaving engine gets new work")
		}
	})
}

// TestSentSinceReport checks that a request sent after the newest load report was
// measured is counted as sent until a report includes it.
func TestSentSinceReport(t *testing.T) {
	f := &fakeEngine{lag: 500 * time.Millisecond}
	watch(t, f, func(w *Watcher, p *pool.Pool, get func() routing.Target, _ *int) {
		get()
		p.Begin("e:1", 100, 10)
		svc := w.opts.View.Load().Services["s"]
		counted := 0
		for range 20 {
			got := w.Targets(svc)[0]
			if got.SentCount == 1 && got.SentPrefill == 100 && got.SentDecode == 10 {
				counted++
			}
			advance(50 * time.Millisecond)
		}
		// The report lags by 500 ms and is read every 250 ms; a step is 50 ms.
		if counted < 10 || counted > 18 {
			t.Errorf("counted for %d steps of 50 ms", counted)
		}
	})
}

// TestCrashIsReportedOnce checks that the refused connections and the new
// incarnation of an engine that crashed and restarted are reported as one crash.
// Two reports would convict content that was in flight at a single crash.
func TestCrashIsReportedOnce(t *testing.T) {
	refused := fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
	cases := []struct {
		name string
		do   func(w *Watcher, f *fakeEngine)
		want int
	}{
		{"none", func(*Watcher, *fakeEngine) {}, 0},
		{"refused", func(w *Watcher, _ *fakeEngine) { w.HandleDown("e:1", refused) }, 1},
		{"refused twice", func(w *Watcher, _ *fakeEngine) { w.HandleDown("e:1", refused); w.HandleDown("e:1", refused) }, 1},
		{"restart", func(_ *Watcher, f *fakeEngine) { f.set(func(f *fakeEngine) { f.load.Incarnation = "2" }) }, 1},
		{"both", func(w *Watcher, f *fakeEngine) {
			w.HandleDown("e:1", refused)
			f.set(func(f *fakeEngine) { f.load.Incarnation = "2" })
		}, 1},
		{"partition", func(w *Watcher, _ *fakeEngine) { w.HandleDown("e:1", syscall.ETIMEDOUT) }, 0},
	}
	for _, tc := range cases {
		f := &fakeEngine{load: port.Load{Incarnation: "1"}}
		watch(t, f, func(w *Watcher, _ *pool.Pool, get func() routing.Target, crashes *int) {
			get()
			tc.do(w, f)
			get()
			if *crashes != tc.want {
				t.Errorf("%s: %d crashes reported, want %d", tc.name, *crashes, tc.want)
			}
		})
	}
}

// TestCacheView checks the estimate of a prefix cache after events, gaps and
// resets. The events missing in a gap may have removed blocks.
func TestCacheView(t *testing.T) {
	add := func(seq int64, blocks ...uint64) port.CacheEvent {
		return port.CacheEvent{Seq: seq, Added: blocks}
	}
	remove := func(seq int64, blocks ...uint64) port.CacheEvent {
		return port.CacheEvent{Seq: seq, Removed: blocks}
	}
	cases := []struct {
		name   string
		events []port.CacheEvent
		want   int
	}{
		{"in order", []port.CacheEvent{add(1, 1, 2), add(2, 3)}, 3},
		{"gone", []port.CacheEvent{add(1, 1, 2, 3), remove(2, 2)}, 1},
		{"gap", []port.CacheEvent{add(1, 1, 2, 3), add(3, 1)}, 1},
		{"repeated", []port.CacheEvent{add(1, 1, 2), remove(2, 1), add(1, 1)}, 0},
		{"reset", []port.CacheEvent{add(1, 1, 2), {Seq: 2, Reset: true}}, 0},
	}
	for _, tc := range cases {
		var c cacheView
		c.apply(tc.events)
		if got := c.tokens([]uint64{1, 2, 3}); got != tc.want*blockTokens {
			t.Errorf("%s: %d tokens, want %d blocks", tc.name, got, tc.want)
		}
	}
	var c cacheView
	for i := range int64(1000) {
		var many []uint64
		for j := range uint64(1000) {
			many = append(many, uint64(i)*1000+j)
		}
		c.apply([]port.CacheEvent{add(i+1, many...)})
	}
	if len(c.blocks) > maxBlocks {
		t.Errorf("%d blocks kept", len(c.blocks))
	}
}

// TestSubset checks that with 710 targets each process watches a bounded subset
// that prefers its own availability zone, that all processes together watch
// every target, and that removing one target changes at most one other target of
// a subset.
func TestSubset(t *testing.T) {
	var all []document.Target
	for i := range 710 {
		all = append(all, document.Target{Name: fmt.Sprint("t", i), Zone: fmt.Sprint("z", i%5)})
	}
	watched := make(map[string]bool)
	for p := range 360 {
		got := subset(all, fmt.Sprint("z", p%5), fmt.Sprint("p", p), 64)
		own := 0
		for _, g := range got {
			watched[g.Name] = true
			if g.Zone == fmt.Sprint("z", p%5) {
				own++
			}
		}
		if len(got) != 64 || own != 48 {
			t.Fatalf("%d targets, %d in the own zone", len(got), own)
		}
	}
	if len(watched) != len(all) {
		t.Errorf("%d of %d targets are watched by some process", len(watched), len(all))
	}
	before, after := subset(all, "z0", "p", 64), subset(all[1:], "z0", "p", 64)
	kept := make(map[string]bool)
	for _, g := range before {
		kept[g.Name] = true
	}
	changed := 0
	for _, g := range after {
		if !kept[g.Name] {
			changed++
		}
	}
	if changed > 1 {
		t.Errorf("%d targets changed for one that left", changed)
	}
	if got := subset(all[:3], "z0", "p", 64); len(got) != 3 {
		t.Errorf("%d of 3 targets", len(got))
	}
}

// TestPollsKeepToCallRate checks that polling many engines stays within the call
// rate, and that load reports on answers still update the load immediately. In a
// large fleet, polls at a fixed interval would exceed the traffic budget of the
// whole control plane.
func TestPollsKeepToCallRate(t *testing.T) {
	const engines, reads, seconds = 20, 10.0, 60
	synctest.Test(t, func(t *testing.T) {
		doc := &document.Document{Service: "s", Kind: document.KindModel}
		for i := range engines {
			doc.Targets = append(doc.Targets, document.Target{Name: fmt.Sprint(i), Addr: fmt.Sprintf("e%d:1", i), Model: "m"})
		}
		svc := &view.Service{Doc: doc, Version: 1}
		h := &view.Holder{}
		h.Store(view.NewSnapshot(1, []*view.Service{svc}, nil))
		f := &fakeEngine{}
		p := pool.New(pool.Options{})
		w := New(Options{View: h, Pool: p, Engine: func(string) port.Engine { return f }, CallRate: reads})
		<-time.After(seconds * time.Second)
		w.HandleResponse("e7:1", http.Header{port.LoadHeader: {port.FormatLoad(port.Load{Running: 41})}})
		got := w.Targets(svc)[7]
		if got.Load.Running != 41 || got.LoadAge != 0 {
			t.Errorf("after an answer: %+v", got)
		}
		w.Close()
		p.Close()
		// The first round reads every engine at once.
		if limit := int(reads*seconds + 3*engines); f.calls > limit {
			t.Errorf("%d calls in %d s, at most %d", f.calls, seconds, limit)
		}
	})
}
