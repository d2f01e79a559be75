// Package dispatch runs one request at its service's targets: it chooses them,
// sends the request, repeats it where that is allowed, and passes the answer
// on. A request that may run once at most goes to a second target only when
// the first said itself that it ran nothing, or when no byte was written.
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
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/connection/targets"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/placement"
	"github.com/pomelospool/pomelospool/version/route"
)

// Call is one request of a caller, read and matched to its route.
type Call struct {
	Ask     port.Ask
	Route   *route.Route
	Service *route.Service
	Version int64 // of the configuration
	Arrived time.Time
	GiveUp  time.Time // the earlier of the caller's deadline and the end of the route's timeout
	Method  string
	URI     string // path and query as they came
	Host    string
	Header  http.Header // what goes on to a target
	Body    []byte
	// Organisation holds the caller's key; empty: the route is public.
	Organisation string
	Priority     int // of the organisation or the route, 0 is the most urgent
	// OnStart is called once, when the first target is known to run the call:
	// that long ago. It may be nil.
	OnStart func(ago time.Duration)
}

// Answer is a target's whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Stream takes a streamed answer. It is used by one goroutine.
type Stream interface {
	// Begin passes on the status and the headers.
	Begin(status int, h http.Header)
	// Write passes on whole events. An error means that the caller is gone.
	Write(events []byte) error
}

// Targets gives the entries of a service's targets.
type Targets interface {
	Targets(service string) *targets.Set
}

// Queues knows engines' queues better than the books, which get reports late in a
// large fleet.
type Queues interface {
	// Queues returns how long a prompt will wait at each engine, -1 where that
	// isn't known; nil if the books know as well.
	Queues(ctx context.Context, targets []string) []time.Duration
	// Asks reports whether there is anything to be asked.
	Asks() bool
}

// Options of a Runner. All are needed.
type Options struct {
	Wire    port.TargetWire
	Pool    *h1.Pool
	Targets Targets
	Engines *engines.Tracker
	Health  *health.Tracker
	Budget  *budget.Fleet
	Control port.EngineControl
	Queues  Queues
	Speed   *speed.Book
	Demand  *demand.Book
	Zone    string // availability zone of this process
	Self    string // name of this process's VM: the targets that it prefers follow from it
}

// Runner runs calls. It is safe for concurrent use.
type Runner struct {
	opts Options

	mu      sync.Mutex
	usuals  map[string]*placement.Usual // by service
	lengths map[string]*answerLength    // by route
}

// New returns a Runner.
func New(o Options) *Runner {
	return &Runner{opts: o, usuals: make(map[string]*placement.Usual), lengths: make(map[string]*answerLength)}
}

// usual returns what is usual for a service's prompts.
func (r *Runner) usual(service string) *placement.Usual {
	return learnt(&r.mu, r.usuals, service)
}

// learnt returns what is kept under a name, an empty one at first. Names come
// from the configuration, so the map stays as small as their number.
func learnt[T any](mu *sync.Mutex, kept map[string]*T, name string) *T {
	mu.Lock()
	defer mu.Unlock()
	one := kept[name]
	if one == nil {
		one = new(T)
		kept[name] = one
	}
	return one
}

// Plain runs a call whose answer is passed on whole. The error is a
// *code.Error; a code that says that nothing ran is given only when that holds.
func (r *Runner) Plain(ctx context.Context, c *Call) (*Answer, Trace, error) {
	ctx, cancel := context.WithDeadline(ctx, c.GiveUp)
	defer cancel()
	u := r.begin(c)
	a, err := u.plain(ctx)
	return a, u.trace, err
}

// Streamed runs a call that is answered by events.
func (r *Runner) Streamed(ctx context.Context, c *Call, out Stream) (Trace, error) {
	ctx, cancel := context.WithDeadline(ctx, c.GiveUp)
	defer cancel()
	u := r.begin(c)
	err := u.streamed(ctx, out)
	u.trace.LastEvent = u.lastID
	return u.trace, err
}

// Trace says how a call went, for its log line.
type Trace struct {
	Sends     int           // requests sent to targets
	Targets   []string      // their ids, in order
	Causes    []string      // why those that failed did
	Predicted time.Duration // time to the first event, when the call was taken
	Lasts     time.Duration // from the decoding engine's first work to the last event, predicted from the stated output
	Prefill   Prefill       // the last one
	First     time.Duration // from the arrival to the first event
	Begun     bool          // the caller got a part of the answer
	// LastEvent is the id of the last event that the caller got, empty for none.
	LastEvent string
}

// Prefill says how the reading of a prompt was predicted and went.
type Prefill struct {
	Prompt  int           // tokens of the prompt
	Shared  int           // of them, those that other prompts may begin with too
	Missing int           // of them, those that the engine had to read
	Fetched int           // of them, those that it fetched from another engine
	Guessed bool          // it was to fetch from an engine that might keep more
	Wait    time.Duration // predicted until it begins to read them
	Read    time.Duration // predicted for reading them
	Took    time.Duration // in all
}

func (r *Runner) begin(c *Call) *run {
	r.opts.Budget.Request(c.Service.Name)
	return &run{Runner: r, c: c}
}

// run is the state of one call over its sends. It belongs to one goroutine.
type run struct {
	*Runner
	c      *Call
	trace  Trace
	ran    int      // targets that may have run it
	avoid  []string // targets that failed it
	first  *reading // the choice at admission, until it is used
	last   *failed
	lastID string // id of the last event that the caller got

	started bool // Call.OnStart was called
}

// start notes that a target runs the call, since that long ago.
func (u *run) start(ago time.Duration) {
	if u.started {
		return
	}
	u.started = true
	if u.c.OnStart != nil {
		u.c.OnStart(ago)
	}
}

// startedBy reports whether a send that failed shows that the target ran the
// call. A caller that left, or a target that is silent, shows nothing: the call
// may still have waited.
func startedBy(f *failed) bool {
	switch f.Class {
	case failure.NoAnswer, failure.Cut, failure.Mismatch, failure.Failed:
		return true
	}
	return false
}
