package usage

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// closeDelay is how long after its end a window still accepts requests, since
	// the clock estimate shifts by some milliseconds.
	closeDelay = 300 * time.Millisecond
	// changeRepeats is the number of reports that include a change, since
	// datagrams can be lost.
	changeRepeats = 4
	// closedRepeatInterval is the number of reports after which the counts of a
	// closed window are repeated.
	closedRepeatInterval = 4
	// retainedWindows is the number of windows kept before the current one.
	retainedWindows = 3
)

// counter counts the requests of this process. It is safe for concurrent use.
type counter struct {
	source Source
	period time.Duration

	mu    sync.Mutex
	first int64 // window in which the process started
	rows  map[int64]*localRow
}

// localRow holds the counts of this process in a window.
type localRow struct {
	counts  Counts
	changed map[string]int // by organisation, the number of reports since its count changed
	closed  bool
	reports int // sent since the window was closed
}

func newCounter(source Source, period time.Duration, now time.Time) *counter {
	c := &counter{source: source, period: period, rows: make(map[int64]*localRow)}
	c.first = c.window(now)
	c.row(c.first)
	return c
}

// window returns the number of the window that contains t.
func (c *counter) window(t time.Time) int64 { return t.UnixNano() / int64(c.period) }

// end returns the end of a window.
func (c *counter) end(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.period)) }

// row returns the row of a window and creates it if necessary. The caller must
// hold c.mu or have exclusive access to c.
func (c *counter) row(window int64) *localRow {
	r := c.rows[window]
	if r == nil {
		r = &localRow{counts: make(Counts), changed: make(map[string]int)}
		c.rows[window] = r
	}
	return r
}

// add counts a request that started to run at the given time. If that window is
// closed, the request counts in the next open one.
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

// close closes all windows of this process.
func (c *counter) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.rows {
		r.closed = true
	}
}

// report closes the windows that have ended and returns the updates to send. The
// updates hold the changed counts, or every count if all is set.
func (c *counter) report(now time.Time, all bool) []update {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.window(now)
	c.row(current)
	var out []update
	for _, window := range slices.Sorted(maps.Keys(c.rows)) {
		r := c.rows[window]
		if window < current-retainedWindows {
			delete(c.rows, window)
			continue
		}
		if !r.closed && now.Sub(c.end(window)) >= closeDelay {
			r.closed = true
		}
		u := update{Source: c.source, First: c.first, Window: window, Closed: r.closed, Total: r.counts.total()}
		repeat := r.closed && (r.reports < changeRepeats || r.reports%closedRepeatInterval == 0)
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

// changes returns the counts that changed within the last changeRepeats reports,
// or every count if all is set.
func (r *localRow) changes(all bool) Counts {
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
