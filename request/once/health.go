package once

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/process/record"
)

// counts are the metrics of this package.
var counts = expvar.NewMap("once")

// probePeriod is the time between two probes of an unavailable log.
const probePeriod = 250 * time.Millisecond

// health records whether the log is available, so that requests fail at once
// instead of each waiting for the same timeout. Requests are not used as probes,
// because the caller of such a request would wait for the log.
type health struct {
	mu       sync.Mutex
	failed   bool
	readable bool // a read has succeeded since the failure
}

// available reports whether the log may be used.
func (h *health) available() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failed || h.readable
}

// markDown records a failure and reports whether the log was available before.
func (h *health) markDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.failed
	h.failed, h.readable = true, false
	counts.Add("log_down", 1)
	return first
}

// markReadable records a successful read, after which appends may be tried.
func (h *health) markReadable() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readable = true
}

// markUp records a successful append.
func (h *health) markUp() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed = false
}

// probe reads from the log periodically while it is unavailable.
func (l *LogDeduplicator) probe() error {
	tick := time.NewTicker(probePeriod)
	defer tick.Stop()
	for {
		select {
		case <-l.tomb.Dying():
			return nil
		case <-tick.C:
		}
		if !l.health.available() {
			l.probeOnce()
		}
	}
}

func (l *LogDeduplicator) probeOnce() {
	ctx, cancel := context.WithTimeout(l.tomb.Context(context.Background()), readTimeout)
	defer cancel()
	if _, _, err := l.o.Log.Read(ctx, record.OnceStream(0), 1<<62, 1, 0); err == nil {
		l.health.markReadable()
	}
}
