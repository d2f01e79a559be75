package contract

import (
	"context"
	"testing"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/port/httpapi"
	"github.com/pomelospool/pomelospool/standin"
	"github.com/pomelospool/pomelospool/standin/engine"
)

// The specs that the cases order. The change to next waits for the weights,
// which come when the case releases them.
var (
	start = port.EngineSpec{Role: port.RoleMixed, Model: "m", Version: "1"}
	role  = port.EngineSpec{Role: port.RoleDecode, Model: "m", Version: "1"}
	next  = port.EngineSpec{Role: port.RoleMixed, Model: "m", Version: "2"}
)

// engineEnv is one engine under contract and the levers of its stand-in.
type engineEnv struct {
	port.Engine
	svc     *engine.Engine
	weights chan struct{}
}

func (e engineEnv) order(t *testing.T, id string, fence int64, spec port.EngineSpec) error {
	return e.Order(t.Context(), port.Order{ID: id, Fence: fence, Spec: spec})
}

// settled waits until no change is under way.
func (e engineEnv) settled(t *testing.T) port.EngineState {
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
		wantErr(t, e.order(t, "o1", 7, role), nil)
		st := e.settled(t)
		want(t, "spec", st.Spec, role)
		want(t, "last order", st.LastOrder, "o1")
		want(t, "last fence", st.LastFence, 7)
	}},
	{name: "the same order again has no second effect", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "o1", 7, role), nil)
		e.settled(t)
		wantErr(t, e.order(t, "o2", 7, start), nil)
		e.settled(t)
		wantErr(t, e.order(t, "o1", 7, role), nil)
		want(t, "spec", e.settled(t).Spec, start)
		want(t, "changes", e.svc.Record().RoleChanges, 2)
	}},
	// A user sees an engine change back to a role that nobody wants: a holder
	// was paused, its lease passed on, and its old order arrived after the
	// order of the new holder.
	{name: "an old fencing number is refused", opts: engine.Options{ChecksFence: true}, run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "new", 9, role), nil)
		e.settled(t)
		wantErr(t, e.order(t, "old", 8, start), port.ErrFenced)
		want(t, "spec", e.settled(t).Spec, role)
		want(t, "stale", e.svc.Record().Stale, 0)
	}},
	{name: "an engine that ignores fencing numbers", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "new", 9, role), nil)
		e.settled(t)
		wantErr(t, e.order(t, "old", 8, start), nil)
		want(t, "spec", e.settled(t).Spec, start)
		want(t, "stale", e.svc.Record().Stale, 1)
	}},
	{name: "busy with another order", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "o1", 1, next), nil)
		wantErr(t, e.order(t, "o2", 1, role), port.ErrBusy)
		wantErr(t, e.order(t, "o1", 1, next), nil)
		close(e.weights)
		want(t, "spec", e.settled(t).Spec, next)
		want(t, "overlapping", e.svc.Record().Overlapping, 1)
	}},
	{name: "answer to an order lost after it took effect", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.svc.Apply(t.Context(), standin.Fault{Kind: "lose", Count: 1}), nil)
		wantErr(t, e.order(t, "o1", 1, role), port.ErrUnavailable)
		want(t, "spec", e.settled(t).Spec, role)
		wantErr(t, e.order(t, "o1", 1, role), nil)
		want(t, "changes", e.svc.Record().RoleChanges, 1)
	}},
	{name: "crash in the middle of a change", run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.order(t, "o1", 1, next), nil)
		wantErr(t, e.svc.Apply(t.Context(), standin.Fault{Kind: "crash"}), nil)
		_, err := e.State(t.Context())
		wantErr(t, err, port.ErrUnavailable)
		_, err = e.Load(t.Context())
		wantErr(t, err, port.ErrUnavailable)
		wantErr(t, e.order(t, "o2", 1, role), port.ErrUnavailable)
		want(t, "changes", e.svc.Record().RoleChanges, 0)
	}},
	{name: "kv cache moves between engines", run: func(t *testing.T, e engineEnv) {
		other := engine.New(engine.Options{Spec: start})
		defer other.Close()
		blocks := []uint64{1 << 63, 2, 3}
		wantErr(t, other.ImportKV(t.Context(), exported(t, start, blocks[:2])), nil)
		kv, err := other.ExportKV(t.Context(), blocks)
		wantErr(t, err, nil)
		wantErr(t, e.ImportKV(t.Context(), kv), nil)
		events, err := e.CacheEvents(t.Context(), 0)
		wantErr(t, err, nil)
		want(t, "events", len(events), 1)
		want(t, "blocks", len(events[0].Added), 2)
		want(t, "first block", events[0].Added[0], blocks[0])
		if e.ImportKV(t.Context(), exported(t, next, blocks)) == nil {
			t.Fatal("took the cache of another version")
		}
	}},
	{name: "cache events with gaps", opts: engine.Options{DropEventEvery: 2}, run: func(t *testing.T, e engineEnv) {
		for i := range uint64(4) {
			wantErr(t, e.ImportKV(t.Context(), exported(t, start, []uint64{i})), nil)
		}
		events, err := e.CacheEvents(t.Context(), 1)
		wantErr(t, err, nil)
		want(t, "events", len(events), 1)
		want(t, "seq", events[0].Seq, 3)
	}},
	{name: "cache events are late", opts: engine.Options{EventLag: long}, run: func(t *testing.T, e engineEnv) {
		wantErr(t, e.ImportKV(t.Context(), exported(t, start, []uint64{1})), nil)
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
		err := e.Order(ctx, port.Order{ID: "o1", Fence: 1, Spec: role})
		wantErr(t, err, port.ErrUnavailable)
		wantErr(t, err, context.Canceled)
	}},
}

// exported makes KV cache of some blocks in the form that engines export.
func exported(t *testing.T, spec port.EngineSpec, blocks []uint64) []byte {
	t.Helper()
	e := engine.New(engine.Options{Spec: spec})
	defer e.Close()
	e.Preload(blocks)
	kv, err := e.ExportKV(t.Context(), blocks)
	wantErr(t, err, nil)
	return kv
}

// An engine gets an order twice, late, while busy, or under an old fencing
// number; it crashes in a change, or its answer is lost. What is built on the
// port must meet the same in process and over HTTP.
func TestEngine(t *testing.T) {
	for _, c := range engineCases {
		for _, wire := range []string{"in process", "http"} {
			t.Run(c.name+"/"+wire, func(t *testing.T) {
				env := engineEnv{weights: make(chan struct{})}
				o := c.opts
				o.Name, o.Spec = "e1", start
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
				if wire == "http" {
					serve(t, env.svc)
					adapter := httpapi.NewEngine(env.svc.Addr(), httpapi.Options{})
					defer adapter.Close()
					env.Engine = adapter
				}
				c.run(t, env)
			})
		}
	}
}
