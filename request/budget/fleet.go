package budget

import (
	"sync"
	"time"
)

// Fleet limits the extra sends of all daemons together without communication
// between them, as targets receive them. Each daemon may spend a share of its
// own requests and, unless it has just begun to serve, its part of a common
// allowance.
type Fleet struct {
	w       *windows // guarded by mu
	warmup  time.Duration
	daemons func() int
	clock   Clock

	mu          sync.Mutex
	ratio       float64
	slack       float64
	served      bool               // a request has been counted
	firstServed time.Duration      // by clock
	size        fleetSize          // daemons that share the allowance
	lost        map[string][]*Send // by the target's address, sends that were given up and may yet be received
	lostInOrder []*Send            // the same, and some that are known by now
}

// FleetOptions configures a Fleet. All fields but Alone are required; Ratio
// may be set for each call instead.
type FleetOptions struct {
	Ratio   float64       // extra sends for each request
	Slack   float64       // additional extra sends of all daemons in a window
	Window  time.Duration // time over which the limit holds
	Daemons func() int    // upper bound of the present number of daemons
	Clock   Clock
	// Alone states that the process replaces no other one and shares the slack
	// with none, so that it has it from the beginning.
	Alone bool
}

// warmupWindows is the number of windows after its first request for which a
// process has no part of the common allowance. In the first one the sends of the
// process that it replaces still count. In the rest the daemons learn of each
// other.
const warmupWindows = 1.5

// SpendableShare is the fraction of the limit that daemons spend. The rest is a
// margin, since traffic shifts between daemons.
const SpendableShare = 0.8

// deferrableShare is the fraction that TakeDeferrable spends.
const deferrableShare = 0.6

// NewFleet returns a Fleet.
func NewFleet(o FleetOptions) *Fleet {
	warmup := time.Duration(warmupWindows * float64(o.Window))
	if o.Alone {
		warmup = 0
	}
	return &Fleet{
		w:       newWindows(o.Window, o.Clock),
		warmup:  warmup,
		daemons: o.Daemons,
		clock:   o.Clock,
		ratio:   o.Ratio,
		slack:   o.Slack,
		size:    fleetSize{hold: warmup},
		lost:    make(map[string][]*Send),
	}
}

// Set changes the ratio and the slack.
func (f *Fleet) Set(ratio, slack float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ratio, f.slack = ratio, slack
}

// State is the state of a service's limit at this daemon.
type State struct {
	Requests float64       // counted in the window
	Spent    float64       // extra sends in the window, with the open ones
	Open     float64       // extra sends that targets may yet receive
	Limit    float64       // allowed extra sends in the window
	Daemons  int           // daemons that share the allowance
	Serving  time.Duration // since the first request
}

// State returns the present state of a service's limit.
func (f *Fleet) State(service string) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, _ := f.take(service, f.ratio, SpendableShare, 0, f.clock())
	return s
}

// request counts a request of the service.
func (f *Fleet) request(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	if !f.served {
		f.served, f.firstServed = true, now
	}
	f.size.observe(f.daemons(), now)
	f.w.request(service)
}

// take opens n extra sends of the service if they are allowed. The caller must
// hold f.mu.
func (f *Fleet) take(service string, ratio, share float64, n int, now time.Duration) (State, bool) {
	f.size.observe(f.daemons(), now)
	s := State{Daemons: f.size.most}
	if f.served {
		s.Serving = now - f.firstServed
	}
	slack := f.slack
	if s.Serving < f.warmup {
		slack = 0
	}
	ok := f.w.open(service, n, func(requests float64) float64 {
		return share * (ratio*requests + slack/float64(s.Daemons))
	}, &s)
	return s, ok
}

// fleetSize is the largest number of daemons whose sends may still count.
type fleetSize struct {
	hold time.Duration // for which the sends of a daemon that has left count

	most  int
	next  int           // the largest number since fewer were seen
	since time.Duration // when fewer were seen first; valid if next isn't 0
}

// observe records the present number of daemons.
func (s *fleetSize) observe(n int, now time.Duration) {
	n = max(n, 1)
	switch {
	case n >= s.most:
		s.most, s.next = n, 0
	case s.next == 0:
		s.next, s.since = n, now
	case now-s.since < s.hold:
		s.next = max(s.next, n)
	default:
		s.most, s.next = max(s.next, n), 0
		if n < s.most {
			s.next, s.since = n, now
		}
	}
}
