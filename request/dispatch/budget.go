package dispatch

import (
	"sync"
	"time"
)

// Budget bounds the sends beyond the first, over all daemons together and
// without a word between them: each spends a share of its own requests, and
// its part of what is allowed on top.
//
// The failure it stops: when all targets fail, each retry adds load to what is
// failing, and the load stays when its cause has gone.
type Budget struct {
	opts BudgetOptions

	mu       sync.Mutex
	services map[string]*window
}

// BudgetOptions of a Budget.
type BudgetOptions struct {
	Ratio   float64       // extra sends a request
	Slack   float64       // extra sends in a window on top, of all daemons
	Window  time.Duration // span that the bound holds for
	Daemons func() int    // most daemons that there can be now
	Now     func() time.Time
}

// keep is the part of the budget that is spent: the daemons' windows don't
// begin together, and requests may end at other daemons than they began at.
const keep = 0.7

// window counts in slots, so that what lies longer ago than the window leaves
// little by little.
type window struct {
	slots [windowSlots]slot
}

const windowSlots = 10

type slot struct {
	number   int64
	requests float64
	extras   float64
}

// NewBudget returns a Budget.
func NewBudget(o BudgetOptions) *Budget {
	return &Budget{opts: o, services: make(map[string]*window)}
}

// Set changes the bounds.
func (b *Budget) Set(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.Ratio, b.opts.Slack = ratio, slack
}

// Request counts a request of a caller.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(service).requests++
}

// Take allows n sends beyond the first, or not.
func (b *Budget) Take(service string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slot(service)
	requests, extras := b.services[service].sum(s.number)
	allowed := keep * (b.opts.Ratio*requests + b.opts.Slack/float64(max(b.opts.Daemons(), 1)))
	if extras+float64(n) > allowed {
		return false
	}
	s.extras += float64(n)
	return true
}

func (w *window) sum(now int64) (requests, extras float64) {
	for _, s := range w.slots {
		if s.number > now-windowSlots {
			requests += s.requests
			extras += s.extras
		}
	}
	return requests, extras
}

// slot returns the slot of this moment. Callers hold b.mu.
func (b *Budget) slot(service string) *slot {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	number := b.opts.Now().UnixNano() / int64(b.opts.Window/windowSlots)
	s := &w.slots[number%windowSlots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}
