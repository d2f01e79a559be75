package attempt

import (
	"sync"
	"time"
)

const (
	budgetReserve  = 10 // retries that are always allowed in one half-life
	budgetHalfLife = 30 * time.Second
)

// Budgets bounds the retries of each service to a share of its requests.
//
// When all targets fail, each retry adds load to what is failing already, and
// the load stays after its cause has gone. The bound is the greater of share ×
// requests and a small reserve, not their sum, so that the number of attempts
// stays within 1+share times the requests. Both counts halve together, which
// keeps their ratio and forgets the past.
type Budgets struct {
	now func() time.Time

	mu       sync.Mutex
	services map[string]*budget
}

type budget struct {
	requests float64
	retries  float64
	halved   time.Time
}

// NewBudgets returns empty Budgets that read the time from now.
func NewBudgets(now func() time.Time) *Budgets {
	return &Budgets{now: now, services: make(map[string]*budget)}
}

// Request counts a request of service.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).requests++
}

// Take allows one retry of service, or not. share is its retry budget.
func (b *Budgets) Take(service string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(service)
	if s.retries+1 > max(share*s.requests, budgetReserve) {
		return false
	}
	s.retries++
	return true
}

// Count counts a retry of service that is made in any case. Others have to
// make up for it.
func (b *Budgets) Count(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(service).retries++
}

// get returns the budget of service, decayed. Callers hold b.mu. Services come
// from documents in force, so the map stays as small as their number.
func (b *Budgets) get(service string) *budget {
	now := b.now()
	s, ok := b.services[service]
	if !ok {
		s = &budget{halved: now}
		b.services[service] = s
	}
	for now.Sub(s.halved) >= budgetHalfLife {
		s.requests /= 2
		s.retries /= 2
		s.halved = s.halved.Add(budgetHalfLife)
		if s.requests < 1 && s.retries < 1 {
			*s = budget{halved: now}
		}
	}
	return s
}
