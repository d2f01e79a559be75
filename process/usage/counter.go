package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// closeAfter is how long after its end a window still takes requests: the
	// estimate of the time moves by some milliseconds.
	closeAfter = 300 * time.Millisecond
	// changeRepeats is the number of reports that a change is sent in, so that
	// lost datagrams hardly hide it.
	changeRepeats = 4
	// closedEvery is the number of reports between two that repeat a closed
	// window.
	closedEvery = 4
	// keepWindows is how many windows are kept after their end.
	keepWindows = 3
)

// counter counts the requests of this process. It is safe for concurrent use.
type counter struct {
	source Source
	period time.Duration

	mu    sync.Mutex
	first int64
	own   map[int64]*ownRow
}

// ownRow is a row of this process.
type ownRow struct {
	counts  Counts
	changed map[string]int // reports since an organisation's count changed
	closed  bool
	reports int // since it was closed
}

func newCounter(source Source, period time.Duration, now time.Time) *counter {
	c := &counter{source: source, period: period, own: make(map[int64]*ownRow)}
	c.first = c.window(now)
	c.row(c.first)
	return c
}

// window is the number of the window of a time.
func (c *counter) window(t time.Time) int64 { return t.UnixNano() / int64(c.period) }

// end is the end of a window.
func (c *counter) end(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.period)) }

// row returns the row of a window. Callers hold c.mu, or own c alone.
func (c *counter) row(window int64) *ownRow {
	r := c.own[window]
	if r == nil {
		r = &ownRow{counts: make(Counts), changed: make(map[string]int)}
		c.own[window] = r
	}
	return r
}

// add counts a request that began to run at a time.
func (c *counter) add(org string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(max(c.window(at), c.first))
	for w := c.window(at); r.closed; w++ {
		r = c.row(w + 1)
	}
	r.counts[org]++
	r.changed[org] = 0
}

// close closes all windows.
func (c *counter) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.own {
		r.closed = true
	}
}

// report returns what has changed, or with all every count, and closes windows
// that have ended.
func (c *counter) report(now time.Time, all bool) []update {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.window(now)
	c.row(current)
	var out []update
	for _, window := range slices.Sorted(maps.Keys(c.own)) {
		r := c.own[window]
		if window < current-keepWindows {
			delete(c.own, window)
			continue
		}
		if !r.closed && now.Sub(c.end(window)) >= closeAfter {
			r.closed = true
		}
		u := update{Source: c.source, First: c.first, Window: window, Closed: r.closed, Total: r.counts.total()}
		repeat := r.closed && (r.reports < changeRepeats || r.reports%closedEvery == 0)
		u.Counts = r.changes(all || repeat)
		if r.closed {
			r.reports++
		}
		if all || repeat || len(u.Counts) > 0 {
			out = append(out, u)
		}
	}
	return out
}

// changes returns the counts that changed in the last reports, or all.
func (r *ownRow) changes(all bool) Counts {
	out := make(Counts)
	for org, age := range r.changed {
		if age < changeRepeats {
			out[org] = r.counts[org]
			r.changed[org] = age + 1
		} else {
			delete(r.changed, org)
		}
	}
	if all {
		return maps.Clone(r.counts)
	}
	return out
}
