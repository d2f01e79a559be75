package front

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/request/ingress"
)

// rateWindowSeconds is the number of recent seconds of which the busiest one is
// reported as the rate.
const rateWindowSeconds = 5

// rateMeter measures the rate of requests. It is safe for concurrent use.
type rateMeter struct {
	now   func() time.Time
	start time.Time

	mu      sync.Mutex
	second  int64 // of the newest count, as an offset from start
	seconds [rateWindowSeconds]int
}

func newRateMeter(now func() time.Time) *rateMeter {
	return &rateMeter{now: now, start: now()}
}

// add counts one request.
func (m *rateMeter) add() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.seconds[m.second%rateWindowSeconds]++
}

// perSecond returns the number of requests in the busiest second of the window.
func (m *rateMeter) perSecond() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	return float64(slices.Max(m.seconds[:]))
}

// advance clears the counts of expired seconds. Callers must hold m.mu.
func (m *rateMeter) advance() {
	second := int64(m.now().Sub(m.start) / time.Second)
	for range min(second-m.second, rateWindowSeconds) {
		m.second++
		m.seconds[m.second%rateWindowSeconds] = 0
	}
	m.second = second
}

// observe records a finished request.
func (d *Daemon) observe(o ingress.Observation) {
	d.rate.add()
	d.metrics.observe(o)
}
