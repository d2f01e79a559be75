package contract

import (
	"context"
	"testing"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/port/httpapi"
	"github.com/pomelospool/pomelospool/standin"
	"github.com/pomelospool/pomelospool/standin/engine"
)

// The specs that the cases order. A change to upgradeSpec waits for the weights,
// which load once the case closes engineEnv.weights.
var (
	startSpec   = port.EngineSpec{Role: port.RoleMixed, Model: "m", Version: "1"}
	decodeSpec  = port.EngineSpec{Role: port.RoleDecode, Model: "m", Version: "1"}
	upgradeSpec = port.EngineSpec{Role: port.RoleMixed, Model: "m", Version: "2"}
)

// engineEnv is the engine under test and the controls of its stand-in.
type engineEnv struct {
	port.Engine
	svc     *engine.Engine
	weights chan struct{}
}

func (e engineEnv) order(t *testing.T, id string, fence int64, spec port.EngineSpec) error {
	return e.Order(t.Context(), port.Order{ID: id, Fence: fence, Spec: spec})
}

// waitSettled waits until no change is in progress.
func (e engineEnv) waitSettled(t *testing.T) port.EngineState {
	t.Helper()
	for {
		st, err := e.State(t.Context())
		wantErr(t, err, nil)
		if !st.Changing {
			return st
		}
	}
}

var engineCases = []struct {
	name string
	opts engine.Options
	run  func(*testing.T, engineEnv)
}{
	{name: "an order is carried out", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "o1", 7, decodeSpec), nil)
		st := e.waitSettled(t)
		want(t, "spec", st.Spec, decodeSpec)
		want(t, "last order", st.LastOrder, "o1")
		want(t, "last fence", st.LastFence, 7)
	}},
	{name: "the same order again has no second effect", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "o1", 7, decodeSpec), nil)
		e.waitSettled(t)
		wantErr(t, e.order(t, "o2", 7, startSpec), nil)
		e.waitSettled(t)
		wantErr(t, e.order(t, "o1", 7, decodeSpec), nil)
		want(t, "spec", e.waitSettled(t).Spec, startSpec)
		want(t, "changes", e.svc.Record().RoleChanges, 2)
	}},
	// Guards against an engine that changes back to an unwanted role: the
	// former lease holder was paused, and its old order arrives after the order
	// of the new holder.
	{name: "an old fencing number is refused", opts: engine.Options{ChecksFence: true}, run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "new", 9, decodeSpec), nil)
		e.waitSettled(t)
		wantErr(t, e.order(t, "old", 8, startSpec), port.ErrFenced)
		want(t, "spec", e.waitSettled(t).Spec, decodeSpec)
		want(t, "stale", e.svc.Record().Stale, 0)
	}},
	{name: "an engine that ignores fencing numbers", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "new", 9, decodeSpec), nil)
		e.waitSettled(t)
		wantErr(t, e.order(t, "old", 8, startSpec), nil)
		want(t, "spec", e.waitSettled(t).Spec, startSpec)
		want(t, "stale", e.svc.Record().Stale, 1)
	}},
	{name: "busy with another order", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "o1", 1, upgradeSpec), nil)
		wantErr(t, e.order(t, "o2", 1, decodeSpec), port.ErrBusy)
		wantErr(t, e.order(t, "o1", 1, upgradeSpec), nil)
		close(e.weights)
		want(t, "spec", e.waitSettled(t).Spec, upgradeSpec)
		want(t, "overlapping", e.svc.Record().Overlapping, 1)
	}},
	{name: "answer to an order lost after it took effect", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.svc.Apply(t.Context(), standin.Fault{Kind: "lose", Count: 1}), nil)
		wantErr(t, e.order(t, "o1", 1, decodeSpec), port.ErrUnavailable)
		want(t, "spec", e.waitSettled(t).Spec, decodeSpec)
		wantErr(t, e.order(t, "o1", 1, decodeSpec), nil)
		want(t, "changes", e.svc.Record().RoleChanges, 1)
	}},
	{name: "crash in the middle of a change", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "o1", 1, upgradeSpec), nil)
		wantErr(t, e.svc.Apply(t.Context(), standin.Fault{Kind: "crash"}), nil)
		_, err := e.State(t.Context())
		wantErr(t, err, port.ErrUnavailable)
		_, err = e.Load(t.Context())
		wantErr(t, err, port.ErrUnavailable)
		wantErr(t, e.order(t, "o2", 1, decodeSpec), port.ErrUnavailable)
		want(t, "changes", e.svc.Record().RoleChanges, 0)
	}},
	{name: "kv cache moves between engines", run: func(t *testing.T, e engineEnv) {
		other := engine.New(engine.Options{Spec: startSpec})
		defer other.Close()
		blocks := []uint64{1 << 63, 2, 3}
		wantErr(t, other.ImportKV(t.Context(), exportKV(t, startSpec, blocks[:2])), nil)
		kv, err := other.ExportKV(t.Context(), blocks)
		wantErr(t, err, nil)
		wantErr(t, e.ImportKV(t.Context(), kv), nil)
		events, err := e.CacheEvents(t.Context(), 0)
		wantErr(t, err, nil)
		want(t, "events", len(events), 1)
		want(t, "blocks", len(events[0].Added), 2)
		want(t, "first block", events[0].Added[0], blocks[0])
		if e.ImportKV(t.Context(), exportKV(t, upgradeSpec, blocks)) == nil {
			t.Fatal("the cache of another version was imported")
		}
	}},
	{name: "cache events with gaps", opts: engine.Options{DropEventEvery: 2}, run: func(t *testing.T, e engineEnv) {
		for i := range uint64(4) {
			wantErr(t, e.ImportKV(t.Context(), exportKV(t, startSpec, []uint64{i})), nil)
		}
		events, err := e.CacheEvents(t.Context(), 1)
		wantErr(t, err, nil)
		want(t, "events", len(events), 1)
		want(t, "seq", events[0].Seq, 3)
	}},
	{name: "cache events are late", opts: engine.Options{EventLag: longWait}, run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.ImportKV(t.Context(), exportKV(t, startSpec, []uint64{1})), nil)
		events, err := e.CacheEvents(t.Context(), 0)
		wantErr(t, err, nil)
		want(t, "events", len(events), 0)
	}},
	{name: "load names the engine and its life", run: func(t *testing.T, e engineEnv) {
		l, err := e.Load(t.Context())
		wantErr(t, err, nil)
		st, err := e.State(t.Context())
		wantErr(t, err, nil)
		want(t, "engine", l.Engine, "e1")
		want(t, "incarnation", l.Incarnation, st.Incarnation)
		want(t, "running", l.Running, 0)
	}},
	{name: "caller gives up", run: func(t *testing.T, e engineEnv) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := e.Order(ctx, port.Order{ID: "o1", Fence: 1, Spec: decodeSpec})
		wantErr(t, err, port.ErrUnavailable)
		wantErr(t, err, context.Canceled)
	}},
}

// exportKV returns KV cache of some blocks in the engines' export format.
func exportKV(t *testing.T, spec port.EngineSpec, blocks []uint64) []byte {
	t.Helper()
	e := engine.New(engine.Options{Spec: spec})
	defer e.Close()
	e.Preload(blocks)
	kv, err := e.ExportKV(t.Context(), blocks)
	wantErr(t, err, nil)
	return kv
}

// Guards against different behaviour of an engine in process and over HTTP when
// an order arrives twice, late, while the engine is busy, or with an old fencing
// number, when the engine crashes during a change, and when its answer is lost.
func TestEngine(t *testing.T) {
	for _, c := range engineCases {
		for _, transport := range []string{"in process", "http"} {
			t.Run(c.name+"/"+transport, func(t *testing.T) {
				env := engineEnv{weights: make(chan struct{})}
				o := c.opts
				o.Name, o.Spec = "e1", startSpec
				o.LoadWeights = func(ctx context.Context, _, _ string) error {
					select {
					case <-env.weights:
						return nil
					case <-ctx.Done():
						return ctx.Err()
					}
				}
				env.svc = engine.New(o)
				defer env.svc.Close()
				env.Engine = env.svc
				if transport == "http" {
					startServer(t, env.svc)
					adapter := httpapi.NewEngine(env.svc.Addr(), httpapi.Options{})
					defer adapter.Close()
					env.Engine = adapter
				}
				c.run(t, env)
			})
		}
	}
}
