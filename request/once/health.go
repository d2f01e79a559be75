package once

import (
	"expvar"
	"sync"
	"time"
)

// counts are the metrics of at most once in this process.
var counts = expvar.NewMap("once")

// Waits of an outage.
const (
	downFirst = 250 * time.Millisecond
	downMost  = 2 * time.Second
)

// health remembers that the log failed, so that requests are refused at once
// instead of waiting for the same time-out one after another. Every so often
// one try is let through.
type health struct {
	now func() time.Time

	mu    sync.Mutex
	wait  time.Duration // 0 while the log is up
	until time.Time
}

// try tells whether the log may be tried now.
func (h *health) try() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.wait == 0 {
		return true
	}
	now := h.now()
	if now.Before(h.until) {
		return false
	}
	h.until = now.Add(h.wait)
	return true
}

// refuses tells whether the log failed a moment ago.
func (h *health) refuses() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wait > 0 && h.now().Before(h.until)
}

// down notes a failure and tells whether the log was up before.
func (h *health) down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := h.wait == 0
	h.wait = min(max(2*h.wait, downFirst), downMost)
	h.until = h.now().Add(h.wait)
	counts.Add("log_down", 1)
	return first
}

// readable notes that a read worked: the next append may be tried at once.
func (h *health) readable() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Time{}
}

// up notes that the log works.
func (h *health) up() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wait = 0
}
