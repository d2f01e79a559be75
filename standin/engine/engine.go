package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/google/uuid"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
)

const (
	tick       = 2 * time.Millisecond
	maxAdvance = 100 * time.Millisecond // time beyond this between two ticks is ignored
	maxSamples = 4096
)

var errStopped = errors.New("engine stopped")

// Engine is the model engine. It implements port.Engine in process.
type Engine struct {
	standin.Host
	t       tomb.Tomb
	opts    Options
	cmds    chan func()
	rec     recorder
	faults  faults
	swapper standin.Swapper[identity]

	// Owned by the loop.
	batch         *batch
	state         port.EngineState
	accepted      map[string]bool // ids of accepted orders
	changeStarted bool            // the change is being carried out
	samples       []port.Load     // oldest first
	lastAdvance   time.Time       // time of the latest advance
}

var _ port.Engine = (*Engine)(nil)

// New starts an engine. It can be used in process; Run also serves it over HTTP.
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
		e.opts.Exit = e.crashInProcess
	}
	e.sample(time.Now())
	e.t.Go(e.loop)
	return e
}

// Run serves the engine over HTTP on addr.
func (e *Engine) Run(addr string) error { return e.Start(e.Handler(), addr) }

// RunListener is Run on a listener, which the engine closes.
func (e *Engine) RunListener(lis net.Listener) error { return e.StartListener(e.Handler(), lis) }

// Close stops the engine and its server. The record remains available.
func (e *Engine) Close() error {
	e.t.Kill(nil)
	err := e.Stop()
	e.t.Wait()
	return err
}

// Record returns a copy of the engine's record.
func (e *Engine) Record() Record { return e.rec.get() }

// crashInProcess simulates a crash without ending the process: the engine stops
// without answers, and its connections are reset.
func (e *Engine) crashInProcess() {
	e.t.Kill(nil)
	e.Crash()
}

// loop is the goroutine that owns the batch and the state.
func (e *Engine) loop() error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		var tickC <-chan time.Time
		if e.batch.active() {
			tickC = ticker.C
		}
		select {
		case <-tickC:
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
	e.batch.advance(now, min(now.Sub(e.lastAdvance), maxAdvance))
	e.lastAdvance = now
	e.sample(now)
}

// do runs f in the loop and waits for it. It doesn't run f if ctx has ended
// before: of several ready cases, select takes any.
func (e *Engine) do(ctx context.Context, f func()) error {
	if ctx.Err() != nil {
		return unavailable(ctx.Err())
	}
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

// sample records the current load, to be reported after the lag.
func (e *Engine) sample(now time.Time) {
	l := e.batch.load()
	l.Engine, l.Incarnation, l.At = e.opts.Name, e.state.Incarnation, now
	e.samples = append(e.samples, l)
	if len(e.samples) > maxSamples {
		e.samples = e.samples[1:]
	}
	e.reportedLoad(now)
}

// reportedLoad returns the newest sample whose lag has passed, and drops all older
// ones.
func (e *Engine) reportedLoad(now time.Time) port.Load {
	due := now.Add(-e.opts.LoadLag)
	for len(e.samples) > 1 && !e.samples[1].At.After(due) {
		e.samples = e.samples[1:]
	}
	l := e.samples[0]
	if l.At.Before(due) {
		l.At = due // the load hasn't changed since the sample
	}
	return l
}

// State returns the engine's current state.
func (e *Engine) State(ctx context.Context) (s port.EngineState, err error) {
	err = e.do(ctx, func() { s = e.state })
	return s, err
}

// Load returns the load as of LoadLag ago.
func (e *Engine) Load(ctx context.Context) (l port.Load, err error) {
	err = e.do(ctx, func() { l = e.reportedLoad(time.Now()) })
	return l, err
}

// CacheEvents returns the events after a sequence number. They are delayed by
// EventLag, and some are missing with DropEventEvery.
func (e *Engine) CacheEvents(ctx context.Context, after int64) (list []port.CacheEvent, err error) {
	err = e.do(ctx, func() { list = e.batch.cache.events.after(time.Now(), after) })
	return list, err
}

// submit adds a sequence to the batch, or returns the reason for refusing it.
func (e *Engine) submit(ctx context.Context, s *seq) (refused error) {
	err := e.do(ctx, func() {
		if refused = e.checkAdmission(s); refused != nil {
			return
		}
		now := time.Now()
		if !e.batch.active() {
			e.lastAdvance = now
		}
		e.batch.add(s)
		e.rec.updateRequest(s.id, func(q *RequestRecord) { q.Starts++ })
		e.sample(now)
	})
	if err != nil {
		return err
	}
	return refused
}

// Reasons to refuse a sequence.
var (
	errChanging = errors.New("changing")
	errFull     = errors.New("queue full")
	errTooLong  = errors.New("prompt and answer exceed the KV capacity")
)

// checkAdmission returns the reason to refuse s, or nil.
func (e *Engine) checkAdmission(s *seq) error {
	switch {
	case e.state.Changing || e.state.Leaving:
		return errChanging
	case s.kvTokens() > e.opts.KVCapacity:
		return errTooLong
	case e.opts.MaxWaiting > 0 && len(e.batch.waiting) >= e.opts.MaxWaiting:
		return errFull
	}
	return nil
}

// cancel removes a sequence if it still runs or waits.
func (e *Engine) cancel(s *seq) {
	e.do(context.Background(), func() {
		e.batch.remove(s, finishCancelled)
		e.sample(time.Now())
	})
}

// cutAll ends all running and waiting sequences with finishCut.
func (e *Engine) cutAll() {
	for _, list := range [][]*seq{e.batch.running, e.batch.waiting} {
		for _, s := range append([]*seq(nil), list...) {
			e.batch.remove(s, finishCut)
		}
	}
}
