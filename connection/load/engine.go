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

// engine holds the state of one polled engine.
type engine struct {
	name   string
	addr   string
	client port.Engine
	stop   context.CancelFunc

	mu         sync.RWMutex
	load       port.Load
	loadAt     time.Time // time of load by this process's clock
	state      port.EngineState
	stateKnown bool // state has been read
	crashKnown bool // the incarnation in load is known to have crashed
	cache      cacheView
}

func (w *Watcher) poll(ctx context.Context, e *engine) {
	defer e.close()
	for i := 0; ; i++ {
		w.pollOnce(ctx, e, i%pollsPerState == 0 || w.opts.Pool.Status(e.addr).Refusing)
		select {
		case <-w.tomb.Dying():
			return
		case <-ctx.Done():
			return
		case <-time.After(w.interval()):
		}
	}
}

// callsPerPoll is the mean number of calls of one poll: load, cache events and,
// every pollsPerState polls, the state.
const callsPerPoll = 2 + 1.0/pollsPerState

// interval returns the time between two polls of one engine. It grows with the
// number of watched engines, so that polling hundreds of them stays within the
// daemon's budget of network traffic and CPU time. Between polls, answers carry
// load reports.
func (w *Watcher) interval() time.Duration {
	w.mu.RLock()
	n := len(w.watched)
	w.mu.RUnlock()
	budget := time.Duration(float64(n) * callsPerPoll / w.opts.CallRate * float64(time.Second))
	return max(w.opts.PollInterval, budget)
}

// HandleResponse stores the load report in the header of an answer from the
// target at addr, if there is one. It is the callback for
// pool.Options.OnResponse.
func (w *Watcher) HandleResponse(addr string, h http.Header) {
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
		e.storeReport(l)
	}
}

// storeReport stores a load report from an answer.
func (e *engine) storeReport(l port.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.Engine, l.Incarnation = e.load.Engine, e.load.Incarnation
	e.load, e.loadAt = l, l.At
}

// close closes the client, if it is an io.Closer.
func (e *engine) close() {
	if c, ok := e.client.(io.Closer); ok {
		_ = c.Close()
	}
}

func (w *Watcher) pollOnce(ctx context.Context, e *engine, withState bool) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
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

// readLoad polls the load and reports whether the engine answered.
func (w *Watcher) readLoad(ctx context.Context, e *engine) bool {
	begun := time.Now()
	l, err := e.client.Load(ctx)
	if err != nil {
		return false
	}
	if e.storeLoad(l, begun) {
		w.reportCrash(e.name)
	}
	return true
}

// storeLoad stores a polled load. It returns true if the load shows a crash that
// was not known. The age of the load is computed from the engine's clock and
// bounded by maxReportLag, as that clock may differ from this process's.
func (e *engine) storeLoad(l port.Load, begun time.Time) bool {
	lag := min(max(begun.Sub(l.At), 0), maxReportLag)
	e.mu.Lock()
	defer e.mu.Unlock()
	restarted := e.load.Incarnation != "" && e.load.Incarnation != l.Incarnation
	unknown := restarted && !e.crashKnown
	if restarted {
		e.crashKnown = false
		e.cache = cacheView{}
		e.stateKnown = false
	}
	e.load, e.loadAt = l, begun.Add(-lag)
	return unknown
}

// recordCrash records that the current incarnation has crashed. It returns false
// if this was known.
func (e *engine) recordCrash() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	isNew := !e.crashKnown
	e.crashKnown = true
	return isNew
}

func (e *engine) readCache(ctx context.Context) {
	e.mu.RLock()
	after := e.cache.seq
	e.mu.RUnlock()
	events, err := e.client.CacheEvents(ctx, after)
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
	s, err := e.client.State(ctx)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state, e.stateKnown = s, true
}

// addTo sets the fields of r that the engine itself reports.
func (e *engine) addTo(r *routing.Target, p *pool.Pool, now time.Time) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	r.CachedTokens = e.cachedTokens
	if !e.loadAt.IsZero() {
		r.Load = e.load
		r.LoadAge = now.Sub(e.loadAt)
		sent := p.SentSince(e.addr, e.loadAt)
		r.SentCount, r.SentPrefill, r.SentDecode = sent.Count, sent.Prefill, sent.Decode
	}
	if !e.stateKnown {
		return
	}
	r.Changing = e.state.Changing
	r.Live = r.Live && !e.state.Leaving
	if spec := e.state.Spec; spec.Model != "" {
		r.Model, r.Adapter, r.Version, r.Role = spec.Model, spec.Adapter, spec.Version, spec.Role
	}
}

func (e *engine) cachedTokens(prefix []uint64) int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.cache.tokens(prefix)
}
