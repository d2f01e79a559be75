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

// loadRetry is the pause after a failed load of weights.
const loadRetry = 100 * time.Millisecond

// Order accepts or refuses an order to change the engine's spec. An order with
// the id of an accepted one has no further effect.
func (e *Engine) Order(ctx context.Context, o port.Order) (refused error) {
	err := e.do(ctx, func() { refused = e.handleOrder(o) })
	if err != nil {
		return err
	}
	if refused == nil && e.faults.loseOrder() {
		return unavailable(errAnswerLost)
	}
	return refused
}

var errAnswerLost = errors.New("answer lost")

func (e *Engine) handleOrder(o port.Order) error {
	repeated := e.accepted[o.ID]
	if e.state.Changing && !repeated {
		e.rec.update(func(r *Record) { r.Overlapping++ })
	}
	stale := o.Fence < e.state.LastFence
	e.state.LastFence = max(e.state.LastFence, o.Fence)
	switch {
	case repeated:
		e.recordOrder(o, OrderRepeated)
		return nil
	case stale && e.opts.ChecksFence:
		e.recordOrder(o, OrderFenced)
		return fmt.Errorf("engine: %w", port.ErrFenced)
	case e.state.Changing:
		e.recordOrder(o, OrderBusy)
		return fmt.Errorf("engine: %w", port.ErrBusy)
	}
	if stale {
		e.rec.update(func(r *Record) { r.Stale++ })
	}
	e.recordOrder(o, OrderAccepted)
	e.acceptOrder(o)
	return nil
}

func (e *Engine) acceptOrder(o port.Order) {
	e.accepted[o.ID] = true
	e.state.LastOrder = o.ID
	if o.Spec == e.state.Spec {
		e.markDone(o.ID)
		return
	}
	e.state.Changing, e.state.NextSpec = true, o.Spec
	if e.opts.CutOnChange {
		e.cutAll()
	}
}

func (e *Engine) recordOrder(o port.Order, outcome string) {
	rec := OrderRecord{ID: o.ID, Fence: o.Fence, Spec: o.Spec, At: time.Now(), Outcome: outcome}
	e.rec.update(func(r *Record) { r.Orders = append(r.Orders, rec) })
}

func (e *Engine) markDone(id string) {
	e.rec.update(func(r *Record) {
		for i := range r.Orders {
			if r.Orders[i].ID == id && r.Orders[i].Outcome == OrderAccepted {
				r.Orders[i].Done = true
			}
		}
	})
}

// beginChange starts an accepted change once no request runs or waits.
func (e *Engine) beginChange() {
	if !e.state.Changing || e.changeStarted || e.batch.active() {
		return
	}
	e.changeStarted = true
	from, to := e.state.Spec, e.state.NextSpec
	e.t.Go(func() error { return e.change(from, to) })
}

// change loads weights if necessary and waits outside the loop for the time of
// a change, then applies the new spec.
func (e *Engine) change(from, to port.EngineSpec) error {
	ctx := e.t.Context(context.Background())
	newWeights := from.Model != to.Model || from.Version != to.Version
	if newWeights && e.opts.LoadWeights != nil {
		for e.opts.LoadWeights(ctx, to.Model, to.Version) != nil {
			if !e.pause(loadRetry) {
				return nil
			}
		}
	}
	if !e.pause(e.opts.RoleChangeTime) {
		return nil
	}
	e.do(ctx, func() { e.finishChange(to, newWeights) })
	return nil
}

func (e *Engine) finishChange(to port.EngineSpec, newWeights bool) {
	e.state.Spec, e.batch.role = to, to.Role
	e.state.Changing, e.state.NextSpec = false, port.EngineSpec{}
	e.changeStarted = false
	if newWeights {
		e.batch.cache.reset(time.Now())
	}
	e.rec.update(func(r *Record) { r.RoleChanges++ })
	e.markDone(e.state.LastOrder)
}

// pause waits for d. It returns false if the engine stops first.
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

// kvCache is the exported form of KV cache.
type kvCache struct {
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Blocks  []uint64 `json:"blocks"`
	Tokens  int      `json:"tokens"`
}

// ExportKV returns the leading blocks that are in the prefix cache, possibly
// none.
func (e *Engine) ExportKV(ctx context.Context, blocks []uint64) ([]byte, error) {
	var kv kvCache
	err := e.do(ctx, func() {
		n := e.batch.cache.matchPrefix(blocks)
		kv = kvCache{Model: e.state.Spec.Model, Version: e.state.Spec.Version}
		kv.Blocks, kv.Tokens = blocks[:n], n*prefix.TokensPerBlock
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(kv)
}

// ImportKV adds blocks that another engine exported to the prefix cache. Both
// must serve the same version of the same model.
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
