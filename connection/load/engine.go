package load

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/routing"
)

// engine is what is known of one engine.
type engine struct {
	name string
	addr string
	api  port.Engine
	stop context.CancelFunc

	mu     sync.RWMutex
	load   port.Load
	loadAt time.Time // on this process's clock
	state  port.EngineState
	known  bool // state was read
	died   bool // the incarnation in load is known to be dead
	cache  cacheView
}

func (w *Watcher) poll(ctx context.Context, e *engine) {
	defer e.close()
	for i := 0; ; i++ {
		w.pollOnce(ctx, e, i%stateEvery == 0 || w.opts.Pool.Status(e.addr).Refusing)
		select {
		case <-w.tomb.Dying():
			return
		case <-ctx.Done():
			return
		case <-time.After(w.interval()):
		}
	}
}

// callsAPoll is the mean number of calls of one poll: load, cache events, and
// every stateEvery-th time the state.
const callsAPoll = 2 + 1.0/stateEvery

// interval is the time between two polls of one engine. It grows with the
// number of engines watched, so that a daemon before hundreds of them keeps
// within its share of bytes and processor time; between the polls the reports
// on answers tell the load.
func (w *Watcher) interval() time.Duration {
	w.mu.RLock()
	n := len(w.watched)
	w.mu.RUnlock()
	budget := time.Duration(float64(n) * callsAPoll / w.opts.Reads * float64(time.Second))
	return max(w.opts.Poll, budget)
}

// Answered takes the load report on an answer of the target at addr, if there
// is one. pool.Options.Answered calls it.
func (w *Watcher) Answered(addr string, h http.Header) {
	value := h.Get(port.LoadHeader)
	if value == "" {
		return
	}
	w.mu.RLock()
	e := w.watched[addr]
	w.mu.RUnlock()
	if e == nil {
		return
	}
	if l, err := port.ParseLoad(value, time.Now()); err == nil {
		e.takeReport(l)
	}
}

// takeReport stores the load that an answer reported.
func (e *engine) takeReport(l port.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.Engine, l.Incarnation = e.load.Engine, e.load.Incarnation
	e.load, e.loadAt = l, l.At
}

// close ends the adapter's connections, if it has any.
func (e *engine) close() {
	if c, ok := e.api.(io.Closer); ok {
		_ = c.Close()
	}
}

func (w *Watcher) pollOnce(ctx context.Context, e *engine, withState bool) {
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	if !w.readLoad(ctx, e) {
		w.opts.Pool.Verify(ctx, e.addr)
		return
	}
	e.readCache(ctx)
	if withState {
		e.readState(ctx)
	}
}

// readLoad reads the load and reports whether the engine answered.
func (w *Watcher) readLoad(ctx context.Context, e *engine) bool {
	begun := time.Now()
	l, err := e.api.Load(ctx)
	if err != nil {
		return false
	}
	if e.takeLoad(l, begun) {
		w.crashed(e.name)
	}
	return true
}

// takeLoad stores a report and reports whether it shows a death that was not
// known. The report is as old as the engine's clock says, within bounds, since
// the two clocks need not agree.
func (e *engine) takeLoad(l port.Load, begun time.Time) bool {
	lag := min(max(begun.Sub(l.At), 0), maxLag)
	e.mu.Lock()
	defer e.mu.Unlock()
	restarted := e.load.Incarnation != "" && e.load.Incarnation != l.Incarnation
	unknown := restarted && !e.died
	if restarted {
		e.died = false
		e.cache = cacheView{}
		e.known = false
	}
	e.load, e.loadAt = l, begun.Add(-lag)
	return unknown
}

// noteDeath reports whether the death of the present incarnation wasn't known.
func (e *engine) noteDeath() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	news := !e.died
	e.died = true
	return news
}

func (e *engine) readCache(ctx context.Context) {
	e.mu.RLock()
	after := e.cache.seq
	e.mu.RUnlock()
	events, err := e.api.CacheEvents(ctx, after)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache.seq == after {
		e.cache.apply(events)
	}
}

func (e *engine) readState(ctx context.Context) {
	s, err := e.api.State(ctx)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state, e.known = s, true
}

// fill adds the engine's word to r.
func (e *engine) fill(r *routing.Target, p *pool.Pool, now time.Time) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	r.CachedTokens = e.cachedTokens
	if !e.loadAt.IsZero() {
		r.Load = e.load
		r.LoadAge = now.Sub(e.loadAt)
		sent := p.SentSince(e.addr, e.loadAt)
		r.SentCount, r.SentPrefill, r.SentDecode = sent.Count, sent.Prefill, sent.Decode
	}
	if !e.known {
		return
	}
	r.Changing = e.state.Changing
	r.Live = r.Live && !e.state.Leaving
	if spec := e.state.Spec; spec.Model != "" {
		r.Model, r.Adapter, r.Role = spec.Model, spec.Adapter, spec.Role
	}
}

func (e *engine) cachedTokens(prefix []uint64) int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.cache.tokens(prefix)
}
