package attempt

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/links"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/view"
)

const (
	defaultHeaderTimeout = 2 * time.Second
	defaultReadTimeout   = 2 * time.Second
	headerTimeoutFactor  = 3 // times the expected time to the first token
	verifyTimeout        = 250 * time.Millisecond
	defaultAttempts      = 3
	capacityRetryDelay   = 20 * time.Millisecond
	claimRetryDelay      = 250 * time.Millisecond
	kvMoveTimeout        = 500 * time.Millisecond
	// The slack and the window of the budget of a process that is the only daemon.
	defaultSlack  = 50
	defaultWindow = 10 * time.Second
)

// Targets returns the current view of a service's targets.
type Targets interface {
	Targets(svc *view.Service) []routing.Target
}

// Metrics over all Runners of the process.
var (
	attemptCount  = expvar.NewInt("attempt_tries")
	failureCounts = expvar.NewMap("attempt_failures") // by failure.Class.Metric
)

// KV transfers the KV cache of a prompt between two engines, by their names.
type KV interface {
	Move(ctx context.Context, from, to string, prefix []uint64) error
}

// Options configures a Runner.
type Options struct {
	Pool       *pool.Pool
	Router     routing.Router
	Targets    Targets
	Quarantine quarantine.Tracker // may be nil; if it is a quarantine.Claimer, suspect content is claimed
	// Verify checks whether a target whose connection broke has crashed. It
	// returns after a crash was reported to the tracker. Nil means a probe over a
	// new connection.
	Verify           func(ctx context.Context, t routing.Target)
	KV               KV            // if nil, KV caches are computed instead of transferred
	MinHeaderTimeout time.Duration // minimum timeout for an answer's header; default 2s
	ReadTimeout      time.Duration // timeout for each read of an answer's body; default 2s
	Links            Links         // may be nil
	Budget           *budget.Fleet // limits repeated sends, with the ratio of each service's document; if nil, this process is the only daemon
	Now              func() time.Time
}

// Links tracks whether this process reaches the targets of a service.
type Links interface {
	Reached(service string)
	Failed(service, target string)
	// Suspect is called if requests find no target, and this process alone may not
	// reach those that there are.
	Suspect(service string)
	// Lost reports whether requests should be sent through another daemon.
	Lost(service string) bool
}

// Request is one request of a caller.
type Request struct {
	ID         string
	Service    *view.Service
	Route      routing.Request
	Deadline   time.Time
	Method     string
	Path       string // with the query
	Header     http.Header
	Body       func(resume int) []byte // returns the body that resumes after so many tokens
	Idempotent bool
	ToEngine   bool // the targets are model engines
	Resumes    bool // the caller has the first tokens from an earlier request
	// ResumedVersion is the model version of the tokens that the caller has, nil if it
	// doesn't state it.
	ResumedVersion *string
	Forwarded      bool // another daemon has forwarded the request and counted it for the budget
	Fingerprint    quarantine.Fingerprint
	Parts          []quarantine.Fingerprint // of the prompt that other requests may share, in order
}

// reuse returns the connection reuse for the request. Calls that can't be
// repeated get a new connection: on an idle connection that has become
// unresponsive their outcome would be unknown.
func (r *Request) reuse() h1.Reuse {
	if r.Idempotent {
		return h1.ReuseIdle
	}
	return h1.ReuseNever
}

// Result describes the attempts of a request.
type Result struct {
	Attempts int
	Written  bool   // some byte reached a connection to a target
	Target   string // of the last attempt
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	opts   Options
	budget *budget.Fleet
}

// NewRunner returns a Runner.
func NewRunner(o Options) *Runner {
	if o.MinHeaderTimeout <= 0 {
		o.MinHeaderTimeout = defaultHeaderTimeout
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = defaultReadTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Links == nil {
		o.Links = links.Intact{}
	}
	if o.Verify == nil {
		p := o.Pool
		o.Verify = func(ctx context.Context, t routing.Target) { p.Verify(ctx, t.Addr) }
	}
	if o.Budget == nil {
		start := o.Now()
		o.Budget = budget.NewFleet(budget.FleetOptions{
			Slack: defaultSlack, Window: defaultWindow, Daemons: func() int { return 1 }, Alone: true,
			// The difference of two readings of time.Now doesn't include steps of
			// the time of day.
			Clock: func() time.Duration { return o.Now().Sub(start) },
		})
	}
	return &Runner{opts: o, budget: o.Budget}
}

// Run makes attempts at q until one succeeds or no other is allowed. first is the
// decision that q was admitted with, or nil. The error is a *code.Error. Its code
// says that nothing ran only if nothing was written to a target.
func (r *Runner) Run(ctx context.Context, q *Request, first *routing.Decision, recv Receiver) (Result, error) {
	run := &run{Runner: r, q: q, recv: recv, route: q.Route, nextDecision: first}
	if q.Forwarded {
		run.budget = r.budget.NewForwardedCall(q.Service.Doc.Service)
	} else {
		run.budget = r.budget.NewCall(q.Service.Doc.Service)
	}
	run.budget.SetRatio(q.Service.Doc.Retry.Budget)
	defer run.budget.SentAll()
	err := run.loop(ctx)
	run.releaseClaim(err == nil)
	return run.result, err
}
