// Package entry takes callers' requests over HTTP: it reads and checks them,
// has them admitted, run and answered, and gives every answer a result code.
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
	"github.com/pomelospool/pomelospool/process/burn"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/request/admission"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/limit"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/view"
)

// Options of an Entry. View, Pool, Router, Targets and Addresses are needed;
// the other interfaces may be nil.
type Options struct {
	View       *view.Holder
	Gate       view.Gate
	Pool       *pool.Pool
	Router     routing.Router
	Targets    attempt.Targets
	Addresses  *address.Selector
	Once       once.Deduplicator // nil: non-idempotent calls are refused
	Quarantine quarantine.Tracker
	Burn       burn.Observer
	Verify     func(ctx context.Context, t routing.Target) // see attempt.Options
	KV         attempt.KV                                  // see attempt.Options
	Limits     settings.Limits
	Zone       string        // availability zone of this process
	First      time.Duration // see attempt.Options
	Between    time.Duration // see attempt.Options
	// Asked is called once for each model request of good form, refused ones
	// included, with its estimated tokens; nil: nobody asks.
	Asked func(model string, prompt, output int)
	Write time.Duration // longest stall of a caller that reads a stream; 10s
}

// Entry is the callers' HTTP handler. It is safe for concurrent use.
type Entry struct {
	opts      Options
	router    *bunrouter.Router
	runner    *attempt.Runner
	admission *admission.Controller
	streams   *limit.Streams
	tomb      tomb.Tomb
	open      atomic.Int64
	draining  atomic.Bool
}

// The defaults of settings.Limits and of Options.
const (
	defaultHeaderBytes = 32 << 10
	defaultBodyBytes   = 8 << 20
	defaultReadHeader  = 5 * time.Second
	defaultReadBody    = 30 * time.Second
	defaultBuffer      = 256 << 10
	defaultWrite       = 10 * time.Second
)

// New returns an Entry. Close ends what it started.
func New(o Options) *Entry {
	o.Limits = withDefaults(o.Limits)
	if o.Write <= 0 {
		o.Write = defaultWrite
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
			MinHeaderTimeout: o.First,
			ReadTimeout:      o.Between,
		}),
	}
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
		l.ReadHeader = defaultReadHeader
	}
	if l.ReadBody <= 0 {
		l.ReadBody = defaultReadBody
	}
	if l.BufferBytes <= 0 {
		l.BufferBytes = defaultBuffer
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

// ServeHTTP answers one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id, err := requestID(req)
	w.Header().Set(attempt.HeaderID, id)
	if err == nil {
		err = e.checkForm(req)
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

// enter counts a request that is about to run, or refuses it. The count goes
// up before the flag is read, so that Drain can't miss a request that saw no
// drain.
func (e *Entry) enter() error {
	e.open.Add(1)
	err := e.gate()
	if err != nil {
		e.open.Add(-1)
	}
	return err
}

func (e *Entry) leave() { e.open.Add(-1) }

func (e *Entry) gate() error {
	if e.draining.Load() {
		return code.New(code.Draining, "").WithRetryAfter(time.Second)
	}
	if e.opts.Gate != nil {
		return e.opts.Gate.Admit()
	}
	return nil
}

// Open returns the number of requests that are running.
func (e *Entry) Open() int { return int(e.open.Load()) }

const drainPoll = 20 * time.Millisecond

// Drain refuses new requests from now on and waits for the open ones to end.
// Call it when this process has left the address answers for longer than
// their time to live, so that callers have gone elsewhere before.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	tick := time.NewTicker(drainPoll)
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

// Close refuses new requests and waits for the calls that outlived their
// callers.
func (e *Entry) Close() error {
	e.draining.Store(true)
	e.tomb.Kill(nil)
	return e.tomb.Wait()
}
