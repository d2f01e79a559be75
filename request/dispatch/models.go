package dispatch

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/request/placement"
)

// models holds the figures learnt of each service's engines.
type models struct {
	mu        sync.Mutex
	byService map[string]*placement.Model
}

func (m *models) get(service string) *placement.Model {
	if m.byService == nil {
		m.byService = make(map[string]*placement.Model)
	}
	one := m.byService[service]
	if one == nil {
		def := placement.DefaultModel()
		one = &def
		m.byService[service] = one
	}
	return one
}

// load returns a copy of a service's figures.
func (m *models) load(service string) placement.Model {
	m.mu.Lock()
	defer m.mu.Unlock()
	return *m.get(service)
}

// readIn notes how long a prompt took to be read.
func (m *models) readIn(service string, foreseen, seen time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.get(service).Seen(foreseen, seen)
}

// firstIn notes how long the first event took from the request to the
// decoding engine on, without the move of KV cache.
func (m *models) firstIn(service string, seen time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	one := m.get(service)
	seen = min(max(seen, 0), maxFirst)
	one.First += time.Duration(firstShare * float64(seen-one.First))
}

// The weight of the newest first event, and the longest that counts.
const (
	firstShare = 0.05
	maxFirst   = 500 * time.Millisecond
)
