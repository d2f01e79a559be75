package budget

import (
	"sync"
	"time"
)

// Fleet limits the extra sends of all daemons together without communication
// between them. Each daemon may spend a share of its own requests and, unless
// it has just started, its part of a common allowance.
type Fleet struct {
	w       *windows
	warmup  time.Duration
	daemons func() int

	clock   Clock
	started time.Duration // by clock

	mu    sync.Mutex
	ratio float64
	slack float64
}

// FleetOptions configures a Fleet. All fields are required.
type FleetOptions struct {
	Ratio   float64       // extra sends for each request
	Slack   float64       // additional extra sends of all daemons in a window
	Window  time.Duration // time over which the limit holds
	Daemons func() int    // upper bound of the present number of daemons
	Clock   Clock
}

// warmupWindows is the number of windows for which a new process has no part of
// the common allowance. In the first one the sends of the process that it
// replaces still count. In the rest the daemons learn of each other.
const warmupWindows = 1.5

// SpendableShare is the fraction of the limit that daemons spend. The rest is a
// margin, since traffic shifts between daemons and a send may take longer to
// its target than another.
const SpendableShare = 0.8

func NewFleet(o FleetOptions) *Fleet {
	warmup := time.Duration(warmupWindows * float64(o.Window))
	return &Fleet{w: newWindows(o.Window, o.Clock, (*window).requestsOfAnyWindow), warmup: warmup, daemons: o.Daemons, clock: o.Clock, started: o.Clock(), ratio: o.Ratio, slack: o.Slack}
}

// Set changes the ratio and the slack.
func (f *Fleet) Set(ratio, slack float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ratio, f.slack = ratio, slack
}

// Request counts a request of the service.
func (f *Fleet) Request(service string) { f.w.request(service) }

// State is the state of a service's limit at this daemon.
type State struct {
	Requests float64       // counted in the window
	Spent    float64       // extra sends in the window
	Limit    float64       // allowed extra sends in the window
	Daemons  int           // daemons that share the allowance
	Uptime   time.Duration // since the limit was created
}

// Take reports whether n extra sends are allowed and counts them if so. It
// returns the state that decided this, without the n sends.
func (f *Fleet) Take(service string, n int) (bool, State) {
	s := f.newState()
	ok := f.w.take(service, n, f.limit(&s), &s)
	return ok, s
}

// State returns the present state of a service's limit.
func (f *Fleet) State(service string) State {
	s := f.newState()
	f.w.take(service, 0, f.limit(&s), &s)
	return s
}

func (f *Fleet) newState() State {
	return State{Daemons: max(f.daemons(), 1), Uptime: f.clock() - f.started}
}

// limit returns the allowed number of extra sends as a function of the number
// of requests.
func (f *Fleet) limit(s *State) func(requests float64) float64 {
	f.mu.Lock()
	ratio, slack := f.ratio, f.slack
	f.mu.Unlock()
	if s.Uptime < f.warmup {
		slack = 0
	}
	return func(requests float64) float64 {
		return SpendableShare * (ratio*requests + slack/float64(s.Daemons))
	}
}
