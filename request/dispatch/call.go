// Package dispatch executes one request at the targets of its service. It
// chooses targets, sends the request, retries it where that is allowed, and
// relays the answer. A request that isn't idempotent is sent to a second
// target only if the first one stated that it ran nothing, or if no byte of
// the request was written.
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/connection/links"
	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/connection/targets"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/overload"
	"github.com/pomelospool/pomelospool/request/placement"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/version/route"
)

// Call is one request of a caller, read and matched to its route.
type Call struct {
	Meta     port.RequestMeta
	Route    *route.Route
	Service  *route.Service
	Version  int64 // of the configuration
	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's deadline and the end of the route's timeout
	Method   string
	URI      string // path and query as received
	Host     string
	Header   http.Header // forwarded to the target
	Body     []byte
	// CallerHeader returns the header for another daemon that the call is
	// forwarded to.
	CallerHeader func() http.Header
	// Forwarded reports that another daemon has forwarded the call to this one.
	Forwarded bool
	// PriorRuns is the number of targets that may have run the call before it
	// was forwarded.
	PriorRuns int
	// Organisation is the one that the caller's API key belongs to; empty if
	// the route is public.
	Organisation string
	Priority     int // of the organisation or the route; 0 is the most urgent
	// OnStart is called once, when it is known that a target has started the
	// call. ago is the time since that start. OnStart may be nil.
	OnStart func(ago time.Duration)
}

// TakesUp reports whether the call goes on with a stream that an earlier request of
// its caller began.
func (c *Call) TakesUp() bool { return c.Meta.LastEventID != "" || c.Meta.Resumes != "" }

// Answer is the complete answer of a target.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Stream receives a streamed answer. It is used by a single goroutine.
type Stream interface {
	// Begin sends the status and the headers.
	Begin(status int, h http.Header)
	// Write sends complete events. An error means that the caller has disconnected.
	Write(events []byte) error
}

// Targets returns the entries of a service's targets.
type Targets interface {
	Targets(service string) *targets.Set
}

// Queues queries the present queues of engines. In a large fleet they are
// more accurate than the load that the process tracks from reports, which
// arrive late.
type Queues interface {
	// Queues returns how long a prompt will wait at each engine, or -1 if
	// that is unknown. It returns nil if the tracked load is as accurate.
	Queues(ctx context.Context, targets []string) []time.Duration
	// CanQueryQueues reports whether the queues are worth a query.
	CanQueryQueues() bool
}

// Options configures a Runner. All fields but Factors, Links and Peers are required.
type Options struct {
	Protocol port.TargetProtocol
	Pool     *h1.Pool
	Targets  Targets
	Engines  *engines.Tracker
	Health   *health.Tracker
	Budget   *budget.Fleet
	Control  port.EngineControl
	Queues   Queues
	Speed    *speed.Tracker
	Demand   *demand.Tracker
	Factors  *speed.Factors // nil: engines of a service count as equally fast
	Zone     string         // availability zone of this process
	Self     string         // name of this process's VM, which determines its preferred targets
	Links    Links          // nil: links are never lost
	// Reports enables choices that account for the work that other daemons have
	// sent since their reports. It may be nil.
	Reports Reports
	Peers   Peers // nil: calls aren't forwarded
	// Quarantine refuses content that crashes targets. It may be nil.
	Quarantine Quarantine
	// Origins tracks at which software version streams began. If it is nil, only those
	// that began at this Runner are known.
	Origins Origins
	// Shares limits organisations to their fair shares in contention. If it is nil,
	// they aren't limited.
	Shares Shares
	// TargetAddrs returns addresses of targets of any service. If it is nil, those
	// of a call's own service are used.
	TargetAddrs func() []string
	// ShedEarly rejects and cancels streams whose first event would come after
	// their callers have left, and reserves engines for short prompts while
	// prompts wait.
	ShedEarly bool
}

// Runner executes calls. It is safe for concurrent use.
type Runner struct {
	opts Options

	mu                   sync.Mutex
	promptStatsByService map[string]*placement.PromptStats
	mixes                map[string]*overload.Mix // by service
	answerLengths        map[string]*answerLength // by route
	verifying            map[string]bool          // targets that are being verified, by id
	plainTimes           plainTimes               // by route
	plainServiceTimes    plainTimes               // by service
	plainRates           map[string]*decayingRate // of this daemon's plain calls, by service

	ctx        context.Context // of the verifications
	cancel     context.CancelFunc
	background sync.WaitGroup
}

func New(o Options) *Runner {
	if o.Links == nil {
		o.Links = links.Intact{}
	}
	if o.Origins == nil {
		o.Origins = origin.New(origin.Options{})
	}
	r := &Runner{
		opts:                 o,
		promptStatsByService: make(map[string]*placement.PromptStats),
		mixes:                make(map[string]*overload.Mix),
		answerLengths:        make(map[string]*answerLength),
		verifying:            make(map[string]bool),
		plainRates:           make(map[string]*decayingRate),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Stop ends what goes on in the background. Calls may still run.
func (r *Runner) Stop() {
	r.mu.Lock()
	r.cancel()
	r.mu.Unlock()
	r.background.Wait()
}

// promptStats returns the statistics of a service's prompts.
func (r *Runner) promptStats(service string) *placement.PromptStats {
	return getOrCreate(&r.mu, r.promptStatsByService, service)
}

// getOrCreate returns the entry with that name and creates it if there is
// none. Names come from the configuration, which bounds the size of the map.
func getOrCreate[T any](mu *sync.Mutex, entries map[string]*T, name string) *T {
	mu.Lock()
	defer mu.Unlock()
	e := entries[name]
	if e == nil {
		e = new(T)
		entries[name] = e
	}
	return e
}

// Plain executes a call whose answer is relayed as a whole. The error is a
// *code.Error. Its code states that nothing ran only if that is certain.
func (r *Runner) Plain(ctx context.Context, c *Call) (*Answer, Trace, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	x := r.newExecution(c)
	defer x.budget.SentAll()
	defer x.leaveRun()
	a, err := x.runPlain(ctx)
	return a, x.trace, err
}

// Streamed executes a call whose answer is a stream of events.
func (r *Runner) Streamed(ctx context.Context, c *Call, out Stream) (Trace, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	x := r.newExecution(c)
	defer x.budget.SentAll()
	defer x.leaveRun()
	err := x.runStream(ctx, out)
	if err == nil {
		x.recordComplete()
	}
	x.trace.LastEvent = x.lastID
	return x.trace, err
}

// Trace describes how a call was executed, for its log line.
type Trace struct {
	Sends             int           // requests sent to targets
	Targets           []string      // ids of the targets, in order of the sends
	Software          []string      // software versions of these targets
	OriginSource      origin.Source // how the origin of a stream that the call takes up was found
	Causes            []string      // one for each failed send
	Exchanges         []Exchange    // one for each send
	PredictedFirst    time.Duration // time to the first event, predicted at admission
	PredictedDuration time.Duration // from the start of decoding to the last event, predicted from the stated output
	Prefill           Prefill       // of the last prefill
	UsefulFor         time.Duration // from the arrival until a first event is of no use to the caller; 0: not considered
	Reserved          int           // prefill engines that were reserved for shorter prompts at the last choice
	PredictedWait     time.Duration // part of PredictedFirst: the wait for the prefill and for a slot
	TimeToFirst       time.Duration // from the arrival to the first event
	AnswerStarted     bool          // the caller received a part of the answer
	ForwardedTo       string        // VM of the daemon that answered in place of this one
	// LastEvent is the id of the last event that the caller received; empty if
	// there is none.
	LastEvent string
	// Quarantined is the content for which the call was refused; nil if it wasn't.
	Quarantined *quarantine.Ruling
}

// Prefill compares the prediction for a prefill with its outcome.
type Prefill struct {
	PromptTokens     int
	SharedTokens     int           // tokens of the prefix that other prompts may share
	MissingTokens    int           // tokens that the engine had to compute
	FetchedTokens    int           // tokens fetched from another engine
	Speculative      bool          // the fetch was from an engine not known to hold more of the prompt
	PredictedWait    time.Duration // predicted time in the engine's queue
	PredictedPrefill time.Duration // predicted time of the prefill itself
	Duration         time.Duration // measured, from send to answer
}

// newExecution returns the state of a call. A forwarded call has been counted
// for the budget by the daemon that forwarded it.
func (r *Runner) newExecution(c *Call) *execution {
	x := &execution{Runner: r, call: c, possibleRuns: c.PriorRuns, content: r.content(c)}
	if c.Forwarded {
		x.budget = r.opts.Budget.NewForwardedCall(c.Service.Name)
	} else {
		x.budget = r.opts.Budget.NewCall(c.Service.Name)
	}
	return x
}

// execution is the state of one call across its sends. It is used by a
// single goroutine.
type execution struct {
	*Runner
	call          *Call
	budget        *budget.Call
	trace         Trace
	possibleRuns  int            // number of targets that may have run the call
	failedTargets []string       // ids of the targets whose send failed
	admitted      *prefillChoice // choice made at admission, until it is used
	lastFailure   *sendFailure
	lastID        string // id of the last event that the caller received

	content quarantine.Content
	running *run // the send that goes on; nil: none

	started bool // Call.OnStart has been called

	sendingTo string  // software version of the target of the last send
	began     bool    // the caller was sent events of this call
	origin    *string // software version at which the stream began; nil: it hasn't begun
}

// markStarted records that a target started the call that long ago.
func (x *execution) markStarted(ago time.Duration) {
	if x.started {
		return
	}
	x.started = true
	if x.call.OnStart != nil {
		x.call.OnStart(ago)
	}
}

// provesStart reports whether a failed send shows that the target started
// the call. It doesn't if the caller left or the target didn't answer in time:
// the call may still have been queued.
func provesStart(f *sendFailure) bool {
	switch f.Class {
	case failure.NoAnswer, failure.Cut, failure.Mismatch, failure.Failed:
		return true
	}
	return false
}
