package duration

import "time"

// cohorts is the number of cohorts into which the answers within the horizon are
// divided by the time at which they began.
const cohorts = 17

// history holds the durations of the answers of one key. Times are since the
// origin of Tracker.
type history struct {
	width   time.Duration // length of the time in which a cohort's answers begin
	recent  [cohorts]cohort
	overdue int // answers that have been open for longer than all cohorts last
	period  int64
	older   [2]sample // of the present and of the previous period
}

// cohort is the answers that began within the same short time.
type cohort struct {
	index    int64 // time at which it begins, in widths
	open     int
	complete sample
}

// sample is a number of complete answers, and the longest duration among
// these and others that were cut or are still open.
type sample struct {
	count   int
	longest time.Duration
}

func (s *sample) add(o sample) {
	s.count += o.count
	s.longest = max(s.longest, o.longest)
}

// begin adds an open answer.
func (h *history) begin(began, now time.Duration) {
	h.advance(now)
	if c := h.cohortOf(began); c != nil {
		c.open++
		return
	}
	h.overdue++
}

// end records that an answer has ended. One that was cut, or that failed, would
// have taken at least as long.
func (h *history) end(began, now time.Duration, complete bool) {
	h.advance(now)
	s := sample{longest: now - began}
	if complete {
		s.count = 1
	}
	if c := h.cohortOf(began); c != nil {
		c.open--
		c.complete.add(s)
		return
	}
	h.overdue--
	h.older[0].add(s)
}

// cohortOf returns the cohort of answers that began at the given time, or nil if
// that was too long ago.
func (h *history) cohortOf(began time.Duration) *cohort {
	if began < 0 {
		return nil
	}
	i := int64(began / h.width)
	if c := &h.recent[i%cohorts]; c.index == i {
		return c
	}
	return nil
}

// advance makes room for the answers that begin now. Cohorts that are older than
// the horizon are added to the older answers.
func (h *history) advance(now time.Duration) {
	last := int64(now / h.width)
	for i := max(last-cohorts+1, 0); i <= last; i++ {
		if c := &h.recent[i%cohorts]; c.index != i {
			h.overdue += c.open
			h.older[0].add(c.complete)
			*c = cohort{index: i}
		}
	}
	if p := int64(now / period); p != h.period {
		h.older[1], h.older[0] = h.older[0], sample{}
		if p != h.period+1 {
			h.older[1] = sample{}
		}
		h.period = p
	}
}

// look returns the answers that began at least age ago, and the longest time that
// the others have taken until now.
func (h *history) look(now, age time.Duration) (known sample, recent time.Duration) {
	h.advance(now)
	known.add(h.older[0])
	known.add(h.older[1])
	if h.overdue > 0 {
		known.longest = max(known.longest, cohorts*h.width)
	}
	for i := range h.recent {
		c := &h.recent[i]
		youngest := now - time.Duration(c.index+1)*h.width
		longest := c.complete.longest
		if c.open > 0 {
			longest = max(longest, youngest)
		}
		if youngest < age {
			recent = max(recent, longest)
			continue
		}
		known.add(sample{c.complete.count, longest})
	}
	return known, recent
}

// unused reports whether the history holds no answers.
func (h *history) unused(now time.Duration) bool {
	known, recent := h.look(now, 0)
	open := h.overdue
	for i := range h.recent {
		open += h.recent[i].open
	}
	return known == sample{} && recent == 0 && open == 0
}
