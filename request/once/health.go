package once

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/process/record"
)

// counts are the metrics of at most once in this process.
var counts = expvar.NewMap("once")

// probePeriod is the time between two looks at a log that is down.
const probePeriod = 250 * time.Millisecond

// health remembers that the log failed, so that requests are refused at once
// instead of each waiting for the same time-out. No request is a probe: one
// that was would wait for the log in its caller's stead.
type health struct {
	mu       sync.Mutex
	failed   bool
	readable bool // again, since it failed
}

// ok reports whether the log may be used now.
func (h *health) ok() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failed || h.readable
}

// down notes a failure and reports whether the log was up before.
func (h *health) down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.failed
	h.failed, h.readable = true, false
	counts.Add("log_down", 1)
	return first
}

// canRead notes that a read worked: appends may be tried.
func (h *health) canRead() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readable = true
}

// up notes that an append worked.
func (h *health) up() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = false
}

// probe looks at the log while it is down.
func (l *Log) probe() error {
	tick := time.NewTicker(probePeriod)
	defer tick.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			return nil
		case <-tick.C:
		}
		if !l.health.ok() {
			l.look()
		}
	}
}

func (l *Log) look() {
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	if _, _, err := l.o.Log.Read(ctx, record.OnceStream(0), 1<<62, 1, 0); err == nil {
		l.health.canRead()
	}
}
