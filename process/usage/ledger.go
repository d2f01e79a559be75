package usage

import (
	"maps"
	"slices"
	"sync"
)

// Counts are requests that began to run, by organisation.
type Counts map[string]uint32

func (c Counts) total() uint32 {
	var sum uint32
	for _, n := range c {
		sum += n
	}
	return sum
}

// Source is one process of a daemon.
type Source struct {
	VM          string
	Incarnation uint64
}

// row is what one process counted in one window. Counts only grow, so rows of
// any age can be merged in any order.
type row struct {
	counts Counts
	total  uint32 // as its process stated with closed
	closed bool   // its process counts nothing more there
}

// whole reports whether nothing of the row is missing.
func (r *row) whole() bool { return r.closed && r.counts.total() == r.total }

// update is a part of a row, as it is sent and stored.
type update struct {
	Source Source
	First  int64 // window in which the process began
	Window int64
	Total  uint32
	Closed bool
	Counts Counts
}

// ledger holds the rows of all processes. It is safe for concurrent use.
type ledger struct {
	mu      sync.Mutex
	windows map[int64]map[Source]*row
	first   map[Source]int64
	floor   int64 // windows before it are forgotten
	changes int
}

func newLedger() *ledger {
	return &ledger{windows: make(map[int64]map[Source]*row), first: make(map[Source]int64)}
}

// merge takes a part of a row.
func (l *ledger) merge(u *update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first[u.Source] = u.First
	if u.Window < l.floor {
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
		l.changes++
	}
	for org, n := range u.Counts {
		if n > r.counts[org] {
			r.counts[org] = n
			l.changes++
		}
	}
	if u.Closed && !r.closed {
		r.closed, r.total = true, u.Total
		l.changes++
	}
}

// sum returns the counts of a window.
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

// missing returns a process whose row of the window isn't whole: one of the
// living, or one that has reported and was not replaced by a later process of its
// VM.
func (l *ledger) missing(window int64, living []Source) (Source, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range living {
		first, known := l.first[s]
		if known && first > window {
			continue
		}
		if r := l.windows[window][s]; r == nil || !r.whole() {
			return s, true
		}
	}
	for s, r := range l.windows[window] {
		if !r.whole() && !l.replaced(s) {
			return s, true
		}
	}
	return Source{}, false
}

// replaced reports whether a later process of the VM is known. Callers hold
// l.mu.
func (l *ledger) replaced(s Source) bool {
	for other := range l.first {
		if other.VM == s.VM && other.Incarnation > s.Incarnation {
			return true
		}
	}
	return false
}

// rows returns all rows from a window on, and a number that changes with them.
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
	return out, l.changes
}

// oldest returns the first window with a row.
func (l *ledger) oldest() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.windows) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(l.windows))), true
}

// forget drops the windows before one, and the processes that counted only there.
func (l *ledger) forget(before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before <= l.floor {
		return
	}
	l.floor = before
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
