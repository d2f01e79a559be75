// Package admission decides at once whether a request may run, by its
// deadline, its priority and the fair share of its organisation. It never
// queues requests; a rejection states when to retry.
package admission

import (
	"expvar"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/fairshare"
	"github.com/pomelospool/pomelospool/request/overload"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
)

// counts are the counters of this package.
var counts = expvar.NewMap("admission")

// Thresholds of the fullness of the targets from which on requests are rejected.
// The capacity above normalPriorityFull is reserved for high priority.
const (
	lowPriorityFull    = 0.70 // requests of low priority
	normalPriorityFull = 0.95 // requests of normal priority
	highPriorityFull   = 1.00 // requests of high priority

	normalPriorityCautiousFull = 0.90 // requests of normal priority, by the cautious estimate
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Request is the input of an admission decision.
type Request struct {
	Doc      *document.Document
	Org      string
	Priority int           // -1, 0, 1
	Cost     float64       // work, in any unit that is common to all requests
	TimeLeft time.Duration // until the deadline
	// UsefulFor is the time for which a first token is of use to the caller; 0: not
	// considered.
	UsefulFor time.Duration
	Decision  routing.Decision
	Targets   []routing.Target
	// IdleFinish returns the expected finish if all targets were idle. It is
	// only called if the request may be rejected.
	IdleFinish func() (time.Duration, bool)
}

// Controller makes admission decisions. It is safe for concurrent use. Its
// memory grows with the requests in flight, not with the number of known
// organisations.
type Controller struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*service
}

// New returns a Controller that reads the time from now.
func New(now func() time.Time) *Controller {
	return &Controller{now: now, services: make(map[string]*service)}
}

// Admit returns a function to call once when the request has ended, or a
// *code.Error with code.Overloaded, code.DeadlineTooShort or
// code.OrgOverShare.
func (c *Controller) Admit(a Request) (func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(a.Doc.Service)
	if a.Decision.TimeToCompletion > a.TimeLeft {
		return nil, deadlineError(a)
	}
	if (overload.FirstEvent{Wait: a.Decision.TimeToFirstToken, Left: a.UsefulFor}).Decide() == overload.TooLate {
		counts.Add("rejected_too_late", 1)
		return nil, code.New(code.Overloaded, "the first token would take about %v, and its caller will have left", a.Decision.TimeToFirstToken.Round(time.Millisecond)).
			WithRetryAfter(clamp(a.Decision.TimeToFirstToken - a.UsefulFor))
	}
	if wait, late := missesFirstToken(a); late {
		return nil, code.New(code.Overloaded, "the first token would take about %v", a.Decision.TimeToFirstToken.Round(time.Millisecond)).WithRetryAfter(wait)
	}
	full := s.fullness(a)
	if over := full.excessOver(a.Priority); over >= 0 {
		return nil, code.New(code.Overloaded, "%.0f%% of the room is taken", full.share*100).
			WithRetryAfter(s.retryAfter(over, slotCount(a.Targets)))
	}
	if over := full.excess - 1; over >= 0 && a.Priority <= 0 && s.shares.OverShare(a.Org, 1/full.excess, c.now()) {
		return nil, code.New(code.OrgOverShare, "organisation %.80q", a.Org).
			WithRetryAfter(s.retryAfter(over, slotCount(a.Targets)))
	}
	return c.track(s, a), nil
}

// FullError returns the rejection of a request for which routing found no
// free slot.
func (c *Controller) FullError(doc *document.Document, targets []routing.Target) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(doc.Service)
	return code.New(code.Overloaded, "every target is full").
		WithRetryAfter(s.retryAfter(0, slotCount(targets)))
}

func (c *Controller) track(s *service, a Request) func() {
	s.begin(a, c.now())
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.end(a, c.now())
	}
}

// service returns the state of a service and creates it if there is none.
// Names come from active documents, which bounds their number.
func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{shares: fairshare.NewLedger()}
		c.services[name] = s
	}
	return s
}

// excessOver returns by how much the fullness exceeds the threshold of a
// priority; it is negative below the threshold. Priorities that leave a
// reserve to others are also held to the cautious estimate: otherwise four
// processes that each fill the same free slots would fill the reserve as
// well.
func (f fullness) excessOver(priority int) float64 {
	switch {
	case priority > 0:
		return f.share - highPriorityFull
	case priority < 0:
		return max(f.share, f.cautious) - lowPriorityFull
	}
	return max(f.share-normalPriorityFull, f.cautious-normalPriorityCautiousFull)
}

// deadlineError returns DeadlineTooShort if the deadline is too short even
// for an idle target, and Overloaded if only the backlog makes it too short.
func deadlineError(a Request) error {
	if idle, ok := a.IdleFinish(); ok && idle > a.TimeLeft {
		return code.New(code.DeadlineTooShort, "an idle target needs about %v", idle.Round(time.Millisecond))
	}
	wait := clamp(a.Decision.TimeToCompletion - a.TimeLeft)
	return code.New(code.Overloaded, "the answer would take about %v", a.Decision.TimeToCompletion.Round(time.Millisecond)).WithRetryAfter(wait)
}

// firstTokenMargin is the fraction of the first-token objective that the
// estimate may use, since the estimate is too low on average.
const firstTokenMargin = 0.9

// missesFirstToken reports whether the backlog alone makes the first token
// miss its objective, and how long until it no longer does. Without this
// check queues grow until deadlines cause rejections: as many requests are
// answered, but all of them late. High-priority requests are held to their
// deadline only, and so are prompts that even an idle target couldn't answer
// in time.
func missesFirstToken(a Request) (time.Duration, bool) {
	goal := time.Duration(firstTokenMargin * float64(a.Doc.Objectives.FirstToken))
	over := a.Decision.TimeToFirstToken - goal
	if goal <= 0 || over <= 0 || a.Priority > 0 {
		return 0, false
	}
	idle, ok := a.IdleFinish()
	backlog := a.Decision.TimeToCompletion - idle
	return clamp(over), ok && backlog >= over
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
