package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/prefix"
)

// loadRetry is the pause after weights that didn't come.
const loadRetry = 100 * time.Millisecond

// Order accepts or refuses a change. The same id again has no second effect.
func (e *Engine) Order(ctx context.Context, o port.Order) (refused error) {
	err := e.do(ctx, func() { refused = e.order(o) })
	if err != nil {
		return err
	}
	if refused == nil && e.fault.loseOrder() {
		return unavailable(errLost)
	}
	return refused
}

var errLost = errors.New("answer lost")

func (e *Engine) order(o port.Order) error {
	repeated := e.accepted[o.ID]
	if e.state.Changing && !repeated {
		e.rec.update(func(r *Record) { r.Overlapping++ })
	}
	stale := o.Fence < e.state.LastFence
	e.state.LastFence = max(e.state.LastFence, o.Fence)
	switch {
	case repeated:
		e.note(o, OrderRepeated)
		return nil
	case stale && e.opts.ChecksFence:
		e.note(o, OrderFenced)
		return fmt.Errorf("engine: %w", port.ErrFenced)
	case e.state.Changing:
		e.note(o, OrderBusy)
		return fmt.Errorf("engine: %w", port.ErrBusy)
	}
	if stale {
		e.rec.update(func(r *Record) { r.Stale++ })
	}
	e.note(o, OrderAccepted)
	e.accept(o)
	return nil
}

func (e *Engine) accept(o port.Order) {
	e.accepted[o.ID] = true
	e.state.LastOrder = o.ID
	if o.Spec == e.state.Spec {
		e.carriedOut(o.ID)
		return
	}
	e.state.Changing, e.state.Target = true, o.Spec
	if e.opts.CutOnChange {
		e.cutAll()
	}
}

func (e *Engine) note(o port.Order, outcome string) {
	rec := OrderRecord{ID: o.ID, Fence: o.Fence, Spec: o.Spec, At: time.Now(), Outcome: outcome}
	e.rec.update(func(r *Record) { r.Orders = append(r.Orders, rec) })
}

func (e *Engine) carriedOut(id string) {
	e.rec.update(func(r *Record) {
		for i := range r.Orders {
			if r.Orders[i].ID == id && r.Orders[i].Outcome == OrderAccepted {
				r.Orders[i].Done = true
			}
		}
	})
}

// beginChange starts the change once nothing runs any more.
func (e *Engine) beginChange() {
	if !e.state.Changing || e.changing || e.batch.active() {
		return
	}
	e.changing = true
	from, to := e.state.Spec, e.state.Target
	e.t.Go(func() error { return e.change(from, to) })
}

// change takes its time outside the loop, then puts the new spec into force.
func (e *Engine) change(from, to port.EngineSpec) error {
	ctx := e.t.Context(context.Background())
	weights := from.Model != to.Model || from.Version != to.Version
	if weights && e.opts.LoadWeights != nil {
		for e.opts.LoadWeights(ctx, to.Model, to.Version) != nil {
			if !e.pause(loadRetry) {
				return nil
			}
		}
	}
	if !e.pause(e.opts.RoleChangeTime) {
		return nil
	}
	e.do(ctx, func() { e.finishChange(to, weights) })
	return nil
}

func (e *Engine) finishChange(to port.EngineSpec, weights bool) {
	e.state.Spec, e.batch.role = to, to.Role
	e.state.Changing, e.state.Target = false, port.EngineSpec{}
	e.changing = false
	if weights {
		e.batch.cache.reset(time.Now())
	}
	e.rec.update(func(r *Record) { r.RoleChanges++ })
	e.carriedOut(e.state.LastOrder)
}

// pause waits and reports whether the engine still lives.
func (e *Engine) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.t.Dying():
		return false
	}
}

// kvCache is the form in which KV cache travels.
type kvCache struct {
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Blocks  []uint64 `json:"blocks"`
	Tokens  int      `json:"tokens"`
}

// ExportKV returns the leading blocks that the engine holds, maybe none.
func (e *Engine) ExportKV(ctx context.Context, blocks []uint64) ([]byte, error) {
	var kv kvCache
	err := e.do(ctx, func() {
		n := e.batch.cache.hit(blocks)
		kv = kvCache{Model: e.state.Spec.Model, Version: e.state.Spec.Version}
		kv.Blocks, kv.Tokens = blocks[:n], n*prefix.TokensPerBlock
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(kv)
}

// ImportKV takes over blocks that another engine of the same model exported.
func (e *Engine) ImportKV(ctx context.Context, data []byte) (refused error) {
	var kv kvCache
	if err := json.Unmarshal(data, &kv); err != nil {
		return fmt.Errorf("engine: kv: %w", err)
	}
	err := e.do(ctx, func() {
		if kv.Model != e.state.Spec.Model || kv.Version != e.state.Spec.Version {
			refused = fmt.Errorf("engine: kv of %s %s", kv.Model, kv.Version)
			return
		}
		e.batch.cache.insert(time.Now(), kv.Blocks)
	})
	if err != nil {
		return err
	}
	return refused
}

// Preload puts blocks into the prefix cache, as if they had been prefilled.
func (e *Engine) Preload(blocks []uint64) {
	e.do(context.Background(), func() { e.batch.cache.insert(time.Now(), blocks) })
}
