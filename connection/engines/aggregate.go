package engines

import (
	"cmp"
	"slices"
)

// Known is the number of engines that are known of.
func (b *Book) Known() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.engines)
}

// Sum returns what all daemons together have at the engines.
func (b *Book) Sum() []Work {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var out []Work
	for _, e := range b.engines {
		if w := e.sum(now); !w.Idle() {
			out = append(out, w)
		}
	}
	return out
}

// Streams is the number of requests that decode at the engines whose ids' hashes
// fit.
func (b *Book) Streams(fits func(hash uint64) bool) int {
	n := 0
	for _, w := range b.Sum() {
		if w.Streams > 0 && fits(w.Target) {
			n += int(w.Streams)
		}
	}
	return n
}

// Busiest are the n entries that say most: engines that are down or change their
// role, then those with the most work.
func Busiest(work []Work, n int) []Work {
	if len(work) <= n {
		return work
	}
	slices.SortFunc(work, func(a, b Work) int {
		return cmp.Or(
			cmp.Compare(b.special(), a.special()),
			cmp.Compare(b.Reading, a.Reading), cmp.Compare(b.Streams, a.Streams), cmp.Compare(a.Target, b.Target),
		)
	})
	return work[:n]
}

// special counts what is said of an engine that isn't work.
func (w *Work) special() int {
	n := int(w.Down)
	if w.Becomes != "" {
		n++
	}
	return n
}

// SumOf is the sum of this process's work and of the reports whose names it is
// given.
func (b *Book) SumOf(names func(name string) bool) []Work {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	own := b.work(now)
	sums := make(map[uint64]*tally, len(own))
	put := func(list []Work) {
		for i := range list {
			t := sums[list[i].Target]
			if t == nil {
				t = &tally{Work: Work{Target: list[i].Target}}
				sums[list[i].Target] = t
			}
			t.put(&list[i])
		}
	}
	put(own)
	for name, p := range b.peers {
		if names(name) {
			put(p.work)
		}
	}
	out := make([]Work, 0, len(sums))
	for _, t := range sums {
		out = append(out, t.Work)
	}
	return out
}

// Less is what is left of a sum without a part of it, which may have been
// reported a little earlier.
func Less(sum, part []Work) []Work {
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
