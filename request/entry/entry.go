// Package entry serves callers' HTTP requests. It reads and validates each
// request, passes it through admission control, runs it on a target and writes
// the answer. Every answer has a result code.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/address"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/internal/presence"
	"github.com/pomelospool/pomelospool/process/burn"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/request/admission"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/limit"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/view"
)

// Options configures an Entry. View, Pool, Router, Targets and Addresses are
// required. The other interfaces may be nil.
type Options struct {
	View             *view.Holder
	Gate             view.Gate
	Pool             *pool.Pool
	Router           routing.Router
	Targets          attempt.Targets
	Addresses        *address.Selector
	Once             once.Deduplicator // nil: non-idempotent calls are refused
	Quarantine       quarantine.Tracker
	Burn             burn.Observer
	Verify           func(ctx context.Context, t routing.Target) // see attempt.Options
	KV               attempt.KV                                  // see attempt.Options
	Links            attempt.Links                               // may be nil
	Budget           *budget.Fleet                               // see attempt.Options
	Peers            Peers                                       // nil: requests aren't forwarded
	Limits           settings.Limits
	Zone             string        // availability zone of this process
	MinHeaderTimeout time.Duration // see attempt.Options
	ReadTimeout      time.Duration // see attempt.Options
	// OnModelRequest is called once for each valid model request, including
	// those that are refused later, with the estimated tokens. It may be nil.
	OnModelRequest func(model string, prompt, output int)
	WriteTimeout   time.Duration // longest time a caller may stop reading a stream; default 10s
	// ShedEarly rejects model requests whose first token would come after their
	// callers have left.
	ShedEarly bool
}

// Entry is the HTTP handler for callers. It is safe for concurrent use.
type Entry struct {
	opts      Options
	router    *bunrouter.Router
	runner    *attempt.Runner
	admission *admission.Controller
	streams   *limit.Streams
	tomb      tomb.Tomb
	open      atomic.Int64
	draining  atomic.Bool
	stopAt    atomic.Pointer[time.Time] // when open requests are cut; nil: no stop is planned
	calls     context.Context           // of open requests
	endCalls  context.CancelFunc
}

// Defaults of settings.Limits and Options.
const (
	defaultHeaderBytes   = 32 << 10
	defaultBodyBytes     = 8 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 30 * time.Second
	defaultBufferBytes   = 256 << 10
	defaultStreams       = 100
	defaultWriteTimeout  = 10 * time.Second
)

// New returns an Entry. Call Close to release its resources.
func New(o Options) *Entry {
	o.Limits = withDefaults(o.Limits)
	if o.WriteTimeout <= 0 {
		o.WriteTimeout = defaultWriteTimeout
	}
	e := &Entry{
		opts:      o,
		admission: admission.New(time.Now),
		streams:   limit.NewStreams(),
		runner: attempt.NewRunner(attempt.Options{
			Pool:             o.Pool,
			Router:           o.Router,
			Targets:          o.Targets,
			Quarantine:       o.Quarantine,
			Verify:           o.Verify,
			KV:               o.KV,
			Links:            o.Links,
			Budget:           o.Budget,
			MinHeaderTimeout: o.MinHeaderTimeout,
			ReadTimeout:      o.ReadTimeout,
		}),
	}
	e.calls, e.endCalls = context.WithCancel(context.Background())
	e.router = e.routes()
	e.tomb.Go(func() error {
		<-e.tomb.Dying()
		return nil
	})
	return e
}

func withDefaults(l settings.Limits) settings.Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.ReadHeader <= 0 {
		l.ReadHeader = defaultHeaderTimeout
	}
	if l.ReadBody <= 0 {
		l.ReadBody = defaultBodyTimeout
	}
	if l.Streams <= 0 {
		l.Streams = defaultStreams
	}
	if l.BufferBytes <= 0 {
		l.BufferBytes = defaultBufferBytes
	}
	return l
}

func (e *Entry) routes() *bunrouter.Router {
	r := bunrouter.New(
		bunrouter.WithNotFoundHandler(func(w http.ResponseWriter, _ bunrouter.Request) error {
			writeError(w, code.New(code.UnknownService, "no such path"))
			return nil
		}),
		bunrouter.WithMethodNotAllowedHandler(func(w http.ResponseWriter, req bunrouter.Request) error {
			writeError(w, code.New(code.BadRequest, "method %s isn't for this path", req.Method))
			return nil
		}),
	)
	r.POST("/v1/chat/completions", e.model(true))
	r.POST("/v1/completions", e.model(false))
	r.GET("/v1/addresses", e.addresses)
	r.GET("/v1/models", e.models)
	for _, m := range plainMethods {
		r.Handle(m, "/s/:service/*path", e.plain)
	}
	return r
}

var plainMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id, err := requestID(req)
	w.Header().Set(attempt.HeaderID, id)
	if err == nil {
		err = e.checkHeaderAndPath(req)
	}
	if left := presence.Err(req.Context()); err == nil && left != nil {
		err = code.Wrap(code.CallerGone, left, "before the request was read")
	}
	if err != nil {
		writeError(w, err)
		return
	}
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	e.router.ServeHTTP(w, req)
}

func (e *Entry) finish() { e.open.Add(-1) }

// checkAccepting returns an error if the daemon doesn't accept requests.
func (e *Entry) checkAccepting() error {
	if e.draining.Load() {
		return code.New(code.Draining, "").WithRetryAfter(time.Second)
	}
	if e.opts.Gate != nil {
		return e.opts.Gate.Admit()
	}
	return nil
}

// Open returns the number of open requests.
func (e *Entry) Open() int { return int(e.open.Load()) }

const drainPollInterval = 20 * time.Millisecond

// Drain refuses new requests from now on and waits until the open ones have
// ended. Call it once this daemon has been absent from the published addresses
// for longer than their TTL, so that callers have switched to other daemons.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for e.Open() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// Close refuses new requests and waits for calls that still run after their
// callers have disconnected.
func (e *Entry) Close() error {
	e.draining.Store(true)
	e.tomb.Kill(nil)
	return e.tomb.Wait()
}
