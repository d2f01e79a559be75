package front

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/request/ingress"
)

// rateSpan is the number of seconds of which the busiest counts as the rate.
const rateSpan = 5

// rateMeter counts requests. It is safe for concurrent use.
type rateMeter struct {
	now   func() time.Time
	start time.Time

	mu      sync.Mutex
	second  int64 // of the newest count, since start
	seconds [rateSpan]int
}

func newRateMeter(now func() time.Time) *rateMeter {
	return &rateMeter{now: now, start: now()}
}

// add counts one request.
func (m *rateMeter) add() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.seconds[m.second%rateSpan]++
}

// perSecond is the number of requests in the busiest of the last seconds.
func (m *rateMeter) perSecond() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	return float64(slices.Max(m.seconds[:]))
}

// advance clears what is too old. Callers hold m.mu.
func (m *rateMeter) advance() {
	second := int64(m.now().Sub(m.start) / time.Second)
	for range min(second-m.second, rateSpan) {
		m.second++
		m.seconds[m.second%rateSpan] = 0
	}
	m.second = second
}

// observe counts a request that ended.
func (d *Daemon) observe(o ingress.Observation) {
	d.rate.add()
	d.metrics.observe(o)
}
