package drain

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultIdleTimeout is how long connections may stay idle if nothing else is set.
	defaultIdleTimeout = 2 * time.Minute
	// firstRequestTimeout is how long a new connection may stay without a request.
	firstRequestTimeout = 10 * time.Second
	// sweepsPerLimit is the number of sweeps within the idle timeout.
	sweepsPerLimit   = 16
	minSweepInterval = 50 * time.Millisecond
	maxSweepInterval = time.Second
	// crowdedShare is the share of Options.MaxConns from which on answers ask callers
	// to close their connections.
	crowdedShare = 0.75
	// fullShare is the share of Options.MaxConns from which on connections are closed
	// that callers don't use again.
	fullShare = 0.875
	// reuseShare is the share of the idle timeout up to which callers use an idle
	// connection again.
	reuseShare = 0.8
	// overShare is the part of Options.MaxConns by which the number of connections may
	// exceed it, before new ones are closed.
	overShare = 16
	// batchesPerLimit is the number of batches of connections to close in MaxConns.
	batchesPerLimit = 16
)

func (t *Tracker) idleTimeout() time.Duration {
	if t.o.IdleTimeout != nil {
		if limit := t.o.IdleTimeout(); limit > 0 {
			return limit
		}
	}
	return defaultIdleTimeout
}

func (t *Tracker) headerTimeout() time.Duration {
	if t.o.HeaderTimeout != nil {
		if limit := t.o.HeaderTimeout(); limit > 0 {
			return limit
		}
	}
	if t.server.ReadHeaderTimeout > 0 {
		return t.server.ReadHeaderTimeout
	}
	return defaultHeaderTimeout
}

// sweepUntil closes idle connections until done is closed.
func (t *Tracker) sweepUntil(done <-chan struct{}) {
	timer := time.NewTimer(minSweepInterval)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-timer.C:
		}
		limit := t.idleTimeout()
		t.sweep(limit)
		interval := min(max(limit/sweepsPerLimit, minSweepInterval), maxSweepInterval)
		if t.measureUnread() {
			interval = min(interval, unreadInterval)
		}
		timer.Reset(interval)
	}
}

// sweep closes the connections that have been idle for the limit.
func (t *Tracker) sweep(limit time.Duration) {
	if t.draining.Load() {
		return
	}
	t.mu.Lock()
	now, header := time.Now(), t.headerTimeout()
	for c := range t.conns {
		c.closeAfter(limit, header, now)
	}
	n := len(t.conns)
	t.mu.Unlock()
	if t.o.MaxConns <= 0 {
		return
	}
	if n >= t.o.MaxConns {
		t.evict(n-t.o.MaxConns+t.batch(), 0)
	} else if full := t.nearlyFull(); n >= full {
		t.evict(n-full+t.batch(), t.reuseTime())
	}
}

// full reports whether no further connection is accepted.
func (t *Tracker) full() bool {
	return t.o.MaxConns > 0 && t.count.Load() >= int64(t.o.MaxConns+max(t.o.MaxConns/overShare, 1))
}

// nearlyFull returns the number of connections from which on those are closed that callers
// don't use again.
func (t *Tracker) nearlyFull() int { return int(fullShare * float64(t.o.MaxConns)) }

// reuseTime returns the idle time after which callers don't use a connection again.
func (t *Tracker) reuseTime() time.Duration {
	return time.Duration(reuseShare * float64(t.idleTimeout()))
}

func (t *Tracker) crowded() bool {
	return t.o.MaxConns > 0 && t.count.Load() >= int64(crowdedShare*float64(t.o.MaxConns))
}

// batch returns the number of connections that are closed at once.
func (t *Tracker) batch() int { return max(t.o.MaxConns/batchesPerLimit, 1) }

// makeRoom closes idle connections if the n-th connection exceeds a limit. It does so
// for one connection of a batch.
func (t *Tracker) makeRoom(n int) {
	if t.o.MaxConns <= 0 {
		return
	}
	if over := n - t.o.MaxConns; over >= 0 && over%t.batch() == 0 {
		t.evict(over+t.batch(), 0)
	} else if over := n - t.nearlyFull(); over >= 0 && over%t.batch() == 0 {
		t.evict(over+t.batch(), t.reuseTime())
	}
}

// evict closes up to n of the connections that have been idle for minIdle, the
// longest idle ones first.
func (t *Tracker) evict(n int, minIdle time.Duration) {
	type candidate struct {
		c     *conn
		since time.Time
	}
	var all []candidate
	latest := time.Now().Add(-minIdle)
	t.mu.Lock()
	for c := range t.conns {
		if since, ok := c.idleSince(); ok && !since.After(latest) {
			all = append(all, candidate{c, since})
		}
	}
	t.mu.Unlock()
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	for _, e := range all[:min(n, len(all))] {
		e.c.closeIfWaiting()
	}
	if missing := n - len(all); missing > 0 && minIdle == 0 {
		t.evictCostliest(missing)
	}
}
