// Package admission decides at once whether a request may run: by its
// deadline, its priority and its organisation's fair share. It never queues;
// a refusal says when to come back.
package admission

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
)

// Fullness, as a share of the room at the targets, from which requests are
// refused. The room above normalFull are the reserve of high priority.
const (
	lowFull    = 0.70 // requests of low priority
	normalFull = 0.95 // requests of normal priority
	highFull   = 1.00 // requests of high priority

	cautiousFull = 0.90 // requests of normal priority, by the cautious estimate
)

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Ask is what admission decides on.
type Ask struct {
	Doc      *document.Document
	Org      string
	Priority int           // -1, 0, 1
	Cost     float64       // work, in any unit that is the same for all
	Left     time.Duration // until the deadline
	Decision routing.Decision
	Targets  []routing.Target
	// Idle returns the expected finish if all targets were idle. It is called
	// for refusals only.
	Idle func() (time.Duration, bool)
}

// Controller is safe for concurrent use. Its memory grows with the requests
// in flight, not with the organisations known.
type Controller struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*service
}

// New returns a Controller that reads the time from now.
func New(now func() time.Time) *Controller {
	return &Controller{now: now, services: make(map[string]*service)}
}

// Admit returns a function to call once when the request is over, or a
// *code.Error with code.Overloaded, code.DeadlineTooShort or code.OrgOverShare.
func (c *Controller) Admit(a Ask) (func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(a.Doc.Service)
	if a.Decision.TimeToCompletion > a.Left {
		return nil, late(a)
	}
	if wait, late := startsLate(a); late {
		return nil, code.New(code.Overloaded, "the first token would take about %v", a.Decision.TimeToFirstToken.Round(time.Millisecond)).After(wait)
	}
	full := s.fullness(a)
	if over := full.over(a.Priority); over >= 0 {
		return nil, code.New(code.Overloaded, "%.0f%% of the room is taken", full.share*100).
			After(s.retryAfter(over, room(a.Targets)))
	}
	if over := full.excess - 1; over >= 0 && a.Priority <= 0 && s.overShare(a, 1/full.excess, c.now()) {
		return nil, code.New(code.OrgOverShare, "organisation %.80q", a.Org).
			After(s.retryAfter(over, room(a.Targets)))
	}
	return c.enter(s, a), nil
}

// Full returns the refusal for a request that routing found no place for.
func (c *Controller) Full(doc *document.Document, targets []routing.Target) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(doc.Service)
	return code.New(code.Overloaded, "every target is full").
		After(s.retryAfter(0, room(targets)))
}

func (c *Controller) enter(s *service, a Ask) func() {
	s.begin(a, c.now())
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.end(a, c.now())
	}
}

// get returns the state of a service. Names come from documents in force.
func (c *Controller) get(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{orgs: make(map[string]*usage)}
		c.services[name] = s
	}
	return s
}

// over tells by how much the room for a priority is exceeded; negative when
// there is some. Those who leave a reserve to others keep to the cautious
// estimate too: four processes that each fill the same gap would fill the
// reserve as well.
func (f fullness) over(priority int) float64 {
	switch {
	case priority > 0:
		return f.share - highFull
	case priority < 0:
		return max(f.share, f.cautious) - lowFull
	}
	return max(f.share-normalFull, f.cautious-cautiousFull)
}

// late tells a deadline that is too short for any target from one that the
// backlog makes too short.
func late(a Ask) error {
	if idle, ok := a.Idle(); ok && idle > a.Left {
		return code.New(code.DeadlineTooShort, "an idle target needs about %v", idle.Round(time.Millisecond))
	}
	wait := clamp(a.Decision.TimeToCompletion - a.Left)
	return code.New(code.Overloaded, "the answer would take about %v", a.Decision.TimeToCompletion.Round(time.Millisecond)).After(wait)
}

// firstMargin is the share of the first-token objective that the estimate may
// take, since it is some way too low on the whole.
const firstMargin = 0.9

// startsLate reports whether the backlog alone makes the first token miss the
// objective, and how long until it wouldn't. Without it a queue grows at every
// target until deadlines refuse: the same number of requests is answered, but
// each of them late. High priority goes by its deadline, and so does a prompt
// that even an idle target couldn't begin to answer in time.
func startsLate(a Ask) (time.Duration, bool) {
	goal := time.Duration(firstMargin * float64(a.Doc.Objectives.FirstToken))
	over := a.Decision.TimeToFirstToken - goal
	if goal <= 0 || over <= 0 || a.Priority > 0 {
		return 0, false
	}
	idle, ok := a.Idle()
	backlog := a.Decision.TimeToCompletion - idle
	return clamp(over), ok && backlog >= over
}

func clamp(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
