package engines

import (
	"cmp"
	"slices"
)

// Count returns the number of engines that the Tracker has state for.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.engines)
}

// Sum returns the work of all daemons at each engine.
func (t *Tracker) Sum() []Work {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var out []Work
	for _, e := range t.engines {
		if w := e.sum(now); !w.Idle() {
			out = append(out, w)
		}
	}
	return out
}

// Streams returns the number of requests that decode at the engines for whose
// hashes match returns true.
func (t *Tracker) Streams(match func(hash uint64) bool) int {
	n := 0
	for _, w := range t.Sum() {
		if w.Streams > 0 && match(w.Target) {
			n += int(w.Streams)
		}
	}
	return n
}

// Busiest returns the n most important entries of work: first engines that are
// down or change their role, then those with the most work. It sorts work.
func Busiest(work []Work, n int) []Work {
	if len(work) <= n {
		return work
	}
	slices.SortFunc(work, func(a, b Work) int {
		return cmp.Or(
			cmp.Compare(b.exceptions(), a.exceptions()),
			cmp.Compare(b.Reading, a.Reading), cmp.Compare(b.Streams, a.Streams), cmp.Compare(a.Target, b.Target),
		)
	})
	return work[:n]
}

// exceptions returns the number of reports that the engine is down or changes its
// role.
func (w *Work) exceptions() int {
	n := int(w.Down)
	if w.Becomes != "" {
		n++
	}
	return n
}

// SumOf returns the sum of this process's work and of the reports for whose names
// include returns true.
func (t *Tracker) SumOf(include func(name string) bool) []Work {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	own := t.localWork(now)
	sums := make(map[uint64]*workSum, len(own))
	addAll := func(list []Work) {
		for i := range list {
			t := sums[list[i].Target]
			if t == nil {
				t = &workSum{Work: Work{Target: list[i].Target}}
				sums[list[i].Target] = t
			}
			t.include(&list[i])
		}
	}
	addAll(own)
	for name, p := range t.peers {
		if include(name) {
			addAll(p.work)
		}
	}
	out := make([]Work, 0, len(sums))
	for _, t := range sums {
		out = append(out, t.Work)
	}
	return out
}

// Subtract returns sum without part. The values of part may be slightly older than
// the sum, so the differences are clamped at 0.
func Subtract(sum, part []Work) []Work {
	taken := make(map[uint64]*Work, len(part))
	for i := range part {
		taken[part[i].Target] = &part[i]
	}
	out := make([]Work, 0, len(sum))
	for _, w := range sum {
		if t := taken[w.Target]; t != nil {
			w.Reading -= min(w.Reading, t.Reading)
			w.Prompts -= min(w.Prompts, t.Prompts)
			w.Streams -= min(w.Streams, t.Streams)
			w.Down -= min(w.Down, t.Down)
			if t.Becomes != "" {
				w.Becomes = ""
			}
		}
		if !w.Idle() {
			out = append(out, w)
		}
	}
	return out
}
