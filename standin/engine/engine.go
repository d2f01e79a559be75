package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
)

const (
	tick       = 2 * time.Millisecond
	maxAdvance = 100 * time.Millisecond // longer gaps of the tick are lost time
	maxSamples = 4096
)

var errStopped = errors.New("engine stopped")

// Engine is the model engine. It implements port.Engine in process.
type Engine struct {
	standin.Host
	t     tomb.Tomb
	opts  Options
	cmds  chan func()
	rec   recorder
	fault faults
	cross standin.Swapper[identity]

	// Owned by the loop.
	batch    *batch
	state    port.EngineState
	accepted map[string]bool // ids of orders
	changing bool            // the change itself has begun
	samples  []port.Load     // the oldest first
	last     time.Time       // of the newest advance
}

var _ port.Engine = (*Engine)(nil)

// New starts an engine, which works in process until Run serves it too.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{opts: o, cmds: make(chan func()), batch: newBatch(o)}
	e.accepted = make(map[string]bool)
	e.state = port.EngineState{
		Engine:      o.Name,
		Incarnation: uuid.NewString(),
		Spec:        o.Spec,
		ChecksFence: o.ChecksFence,
	}
	e.rec.rec = Record{Engine: o.Name, Incarnation: e.state.Incarnation}
	e.rec.rec.Requests = make(map[string]RequestRecord)
	if e.opts.Exit == nil {
		e.opts.Exit = e.die
	}
	e.sample(time.Now())
	e.t.Go(e.loop)
	return e
}

// Run serves the engine over HTTP on addr.
func (e *Engine) Run(addr string) error { return e.Start(e.Handler(), addr) }

// Close stops the engine and its server. The record stays.
func (e *Engine) Close() error {
	e.t.Kill(nil)
	err := e.Stop()
	e.t.Wait()
	return err
}

// Record returns what the engine saw so far.
func (e *Engine) Record() Record { return e.rec.get() }

// die is a crash in process: no answer, connections reset.
func (e *Engine) die() {
	e.t.Kill(nil)
	e.Crash()
}

// loop owns the batch and the state.
func (e *Engine) loop() error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		var due <-chan time.Time
		if e.batch.active() {
			due = ticker.C
		}
		select {
		case <-due:
			e.advance(time.Now())
		case f := <-e.cmds:
			f()
		case <-e.t.Dying():
			e.cutAll()
			return nil
		}
		e.beginChange()
	}
}

func (e *Engine) advance(now time.Time) {
	e.batch.advance(now, min(now.Sub(e.last), maxAdvance))
	e.last = now
	e.sample(now)
}

// do runs f in the loop.
func (e *Engine) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	cmd := func() {
		f()
		close(done)
	}
	select {
	case e.cmds <- cmd:
		<-done
		return nil
	case <-e.t.Dying():
		return unavailable(errStopped)
	case <-ctx.Done():
		return unavailable(ctx.Err())
	}
}

func unavailable(err error) error {
	return fmt.Errorf("engine: %w: %w", port.ErrUnavailable, err)
}

// sample keeps a load report until its lag is over.
func (e *Engine) sample(now time.Time) {
	l := e.batch.load()
	l.Engine, l.Incarnation, l.At = e.opts.Name, e.state.Incarnation, now
	e.samples = append(e.samples, l)
	if len(e.samples) > maxSamples {
		e.samples = e.samples[1:]
	}
	e.lagged(now)
}

// lagged drops the samples older than the one that shows now, and returns it.
func (e *Engine) lagged(now time.Time) port.Load {
	due := now.Add(-e.opts.LoadLag)
	for len(e.samples) > 1 && !e.samples[1].At.After(due) {
		e.samples = e.samples[1:]
	}
	l := e.samples[0]
	if l.At.Before(due) {
		l.At = due // nothing changed since
	}
	return l
}

// State returns the engine's word about itself.
func (e *Engine) State(ctx context.Context) (s port.EngineState, err error) {
	err = e.do(ctx, func() { s = e.state })
	return s, err
}

// Load returns the load as it was before the lag.
func (e *Engine) Load(ctx context.Context) (l port.Load, err error) {
	err = e.do(ctx, func() { l = e.lagged(time.Now()) })
	return l, err
}

// CacheEvents returns the events after a sequence number, late and with gaps.
func (e *Engine) CacheEvents(ctx context.Context, after int64) (list []port.CacheEvent, err error) {
	err = e.do(ctx, func() { list = e.batch.cache.events.after(time.Now(), after) })
	return list, err
}

// submit adds a sequence to the batch, or returns why it is refused.
func (e *Engine) submit(ctx context.Context, s *seq) (refused error) {
	err := e.do(ctx, func() {
		if refused = e.refusal(s); refused != nil {
			return
		}
		now := time.Now()
		if !e.batch.active() {
			e.last = now
		}
		e.batch.add(s)
		e.rec.request(s.id, func(q *RequestRecord) { q.Starts++ })
		e.sample(now)
	})
	if err != nil {
		return err
	}
	return refused
}

// The reasons to refuse a request unrun.
var (
	errChanging = errors.New("changing")
	errFull     = errors.New("queue full")
	errTooLong  = errors.New("prompt and answer exceed the KV capacity")
)

func (e *Engine) refusal(s *seq) error {
	switch {
	case e.state.Changing || e.state.Leaving:
		return errChanging
	case s.reserve() > e.opts.KVCapacity:
		return errTooLong
	case e.opts.MaxWaiting > 0 && len(e.batch.waiting) >= e.opts.MaxWaiting:
		return errFull
	}
	return nil
}

// cancel ends a sequence if it still runs.
func (e *Engine) cancel(s *seq) {
	e.do(context.Background(), func() {
		e.batch.end(s, endCancelled)
		e.sample(time.Now())
	})
}

func (e *Engine) cutAll() {
	for _, list := range [][]*seq{e.batch.running, e.batch.waiting} {
		for _, s := range append([]*seq(nil), list...) {
			e.batch.end(s, endCut)
		}
	}
}
