package attempt

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/view"
)

const (
	defaultFirst    = 2 * time.Second
	defaultBetween  = 2 * time.Second
	firstPatience   = 3 // times the expected time to the first token
	verifyLimit     = 250 * time.Millisecond
	defaultAttempts = 3
	roomPause       = 20 * time.Millisecond
	claimPause      = 250 * time.Millisecond
	moveLimit       = 500 * time.Millisecond
)

// Targets gives what is known of a service's targets now.
type Targets interface {
	Targets(svc *view.Service) []routing.Target
}

// Metrics of all runners of the process.
var (
	tries    = expvar.NewInt("attempt_tries")
	failures = expvar.NewMap("attempt_failures") // by failure.Class.Metric
)

// KV moves the KV cache of a prompt between two engines, by their names.
type KV interface {
	Move(ctx context.Context, from, to string, prefix []uint64) error
}

// Options of a Runner.
type Options struct {
	Pool       *pool.Pool
	Router     routing.Router
	Targets    Targets
	Quarantine quarantine.Tracker // may be nil; a quarantine.Claimer is asked for claims
	// Verify checks at once whether a target whose connection broke has died,
	// and returns after the tracker was told. Nil: a probe over a new connection.
	Verify  func(ctx context.Context, t routing.Target)
	KV      KV            // may be nil: caches are computed, not moved
	First   time.Duration // least wait for an answer's header; 2s
	Between time.Duration // longest wait between two reads of an answer; 2s
	Now     func() time.Time
}

// Request is one request of a caller.
type Request struct {
	ID          string
	Service     *view.Service
	Route       routing.Request
	Deadline    time.Time
	Method      string
	Path        string // with the query
	Header      http.Header
	Body        func(resume int) []byte // the body that goes on after so many tokens
	Idempotent  bool
	Model       bool // goes to an engine
	Fingerprint uint64
}

// reuse gives calls that can't be repeated a connection of their own: on an
// idle one that has gone silent they would end as outcome unknown.
func (q *Request) reuse() h1.Reuse {
	if q.Idempotent {
		return h1.Idle
	}
	return h1.Never
}

// Result says how a request went.
type Result struct {
	Attempts int
	Written  bool   // some byte reached a connection to a target
	Target   string // of the last attempt
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	opts    Options
	budgets *budget.Shares
}

// NewRunner returns a Runner.
func NewRunner(o Options) *Runner {
	if o.First <= 0 {
		o.First = defaultFirst
	}
	if o.Between <= 0 {
		o.Between = defaultBetween
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Verify == nil {
		p := o.Pool
		o.Verify = func(ctx context.Context, t routing.Target) { p.Verify(ctx, t.Addr) }
	}
	return &Runner{opts: o, budgets: budget.NewShares(o.Now)}
}

// Run runs q until it is answered, or may not be repeated. first is the
// decision that admission was made on, or nil. The error is a *code.Error; one
// whose code says that nothing ran is given only when nothing was written.
func (r *Runner) Run(ctx context.Context, q *Request, first *routing.Decision, recv Receiver) (Result, error) {
	run := &run{Runner: r, q: q, recv: recv, route: q.Route, next: first}
	r.budgets.Request(q.Service.Doc.Service)
	err := run.loop(ctx)
	run.endClaim(err == nil)
	return run.result, err
}
