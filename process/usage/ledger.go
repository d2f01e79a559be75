package usage

import (
	"maps"
	"slices"
	"sync"
)

// Counts holds the number of requests that started to run, by organisation.
type Counts map[string]uint32

func (c Counts) total() uint32 {
	var sum uint32
	for _, n := range c {
		sum += n
	}
	return sum
}

// Source identifies a process of the daemon on a VM.
type Source struct {
	VM          string
	Incarnation uint64
}

// row holds the counts of one process in one window. Counts only grow, so rows
// can be merged in any order.
type row struct {
	counts Counts
	total  uint32 // sum of the counts, as stated by the process when it closed the window
	closed bool   // the process counts no further requests in the window
}

// complete reports whether all counts of the row have been received.
func (r *row) complete() bool { return r.closed && r.counts.total() == r.total }

// update is a part of a row, as sent between daemons and stored.
type update struct {
	Source Source
	First  int64 // window in which the process started
	Window int64
	Total  uint32
	Closed bool
	Counts Counts
}

// ledger holds the rows of all processes. It is safe for concurrent use.
type ledger struct {
	mu        sync.Mutex
	windows   map[int64]map[Source]*row
	first     map[Source]int64
	minWindow int64 // earlier windows have been removed
	revision  int   // incremented with each change
}

func newLedger() *ledger {
	return &ledger{windows: make(map[int64]map[Source]*row), first: make(map[Source]int64)}
}

// merge adds a part of a row to the ledger.
func (l *ledger) merge(u *update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first[u.Source] = u.First
	if u.Window < l.minWindow {
		return
	}
	rows := l.windows[u.Window]
	if rows == nil {
		rows = make(map[Source]*row)
		l.windows[u.Window] = rows
	}
	r := rows[u.Source]
	if r == nil {
		r = &row{counts: make(Counts)}
		rows[u.Source] = r
		l.revision++
	}
	for org, n := range u.Counts {
		if n > r.counts[org] {
			r.counts[org] = n
			l.revision++
		}
	}
	if u.Closed && !r.closed {
		r.closed, r.total = true, u.Total
		l.revision++
	}
}

// sum returns the counts of a window, summed over all processes.
func (l *ledger) sum(window int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(Counts)
	for _, r := range l.windows[window] {
		for org, n := range r.counts {
			out[org] += n
		}
	}
	return out
}

// incompleteSource returns a process whose row of the window is incomplete, if
// there is one. It considers the live processes, and those that have reported and
// weren't superseded by a later process on their VM.
func (l *ledger) incompleteSource(window int64, live []Source) (Source, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range live {
		first, known := l.first[s]
		if known && first > window {
			continue
		}
		if r := l.windows[window][s]; r == nil || !r.complete() {
			return s, true
		}
	}
	for s, r := range l.windows[window] {
		if !r.complete() && !l.superseded(s) {
			return s, true
		}
	}
	return Source{}, false
}

// superseded reports whether a later process on the VM is known. The caller must
// hold l.mu.
func (l *ledger) superseded(s Source) bool {
	for other := range l.first {
		if other.VM == s.VM && other.Incarnation > s.Incarnation {
			return true
		}
	}
	return false
}

// rows returns all rows from the given window on, and the revision of the ledger.
func (l *ledger) rows(from int64) ([]update, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []update
	for _, window := range slices.Sorted(maps.Keys(l.windows)) {
		if window < from {
			continue
		}
		for s, r := range l.windows[window] {
			out = append(out, update{Source: s, First: l.first[s], Window: window, Total: r.total, Closed: r.closed, Counts: maps.Clone(r.counts)})
		}
	}
	return out, l.revision
}

// oldest returns the first window with a row, if there is one.
func (l *ledger) oldest() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.windows) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(l.windows))), true
}

// prune removes the windows before the given one, and the processes that have
// rows only in those.
func (l *ledger) prune(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before <= l.minWindow {
		return
	}
	l.minWindow = before
	present := make(map[Source]bool)
	for window, rows := range l.windows {
		if window < before {
			delete(l.windows, window)
			continue
		}
		for s := range rows {
			present[s] = true
		}
	}
	maps.DeleteFunc(l.first, func(s Source, first int64) bool { return !present[s] && first < before })
}
