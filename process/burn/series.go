package burn

import (
	"sort"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// Two rings hold the counts: one-minute buckets for the short windows and
// half-hour buckets for the long ones. Each ring has one bucket more than its
// longest window needs, so that no window includes a bucket that is being
// overwritten.
const (
	fineWidth     = time.Minute
	fineBuckets   = 61
	coarseWidth   = 30 * time.Minute
	coarseBuckets = 145
)

// windowLengths are the windows over which the burn rate is measured.
var windowLengths = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Count holds the numbers of requests that met and missed an objective.
type Count struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

// CodeCount is the number of requests that ended with a code.
type CodeCount struct {
	Code  code.Code `json:"code"`
	Count uint64    `json:"count"`
}

// bucket counts the requests of one time span.
type bucket struct {
	index  int64 // number of the span, counted from the Unix epoch
	counts [objectiveCount]Count
	codes  []CodeCount // a short list, in order of first occurrence
}

func (b *bucket) add(v grading, c code.Code) {
	for i, g := range v.grades {
		switch g {
		case good:
			b.counts[i].Good++
		case bad:
			b.counts[i].Bad++
		}
	}
	b.codes = addCode(b.codes, c, 1)
}

func (b *bucket) merge(o bucket) {
	for i, c := range o.counts {
		b.counts[i].Good += c.Good
		b.counts[i].Bad += c.Bad
	}
	for _, c := range o.codes {
		b.codes = addCode(b.codes, c.Code, c.Count)
	}
}

func addCode(list []CodeCount, c code.Code, n uint64) []CodeCount {
	for i := range list {
		if list[i].Code == c {
			list[i].Count += n
			return list
		}
	}
	return append(list, CodeCount{c, n})
}

// ring holds the newest buckets of one width in a circular buffer.
type ring struct {
	width   time.Duration
	buckets []bucket
}

// at returns the bucket of a span, and resets it if it held an older span. It
// returns nil if the span is too old for the ring.
func (r *ring) at(index int64) *bucket {
	b := &r.buckets[index%int64(len(r.buckets))]
	if b.index > index {
		return nil
	}
	if b.index < index {
		*b = bucket{index: index, codes: b.codes[:0]}
	}
	return b
}

func (r *ring) indexAt(t time.Time) int64 { return t.UnixNano() / int64(r.width) }

// sum merges the buckets of the window that ends with the current bucket.
func (r *ring) sum(now time.Time, length time.Duration) bucket {
	var total bucket
	newest := r.indexAt(now)
	oldest := newest - int64(length/r.width)
	for _, b := range r.buckets {
		if b.index > oldest && b.index <= newest {
			total.merge(b)
		}
	}
	sort.Slice(total.codes, func(i, j int) bool { return total.codes[i].Code < total.codes[j].Code })
	return total
}

// series holds the counts of one service or one group of its callers.
type series struct{ fine, coarse ring }

func newSeries() *series {
	return &series{
		fine:   ring{fineWidth, make([]bucket, fineBuckets)},
		coarse: ring{coarseWidth, make([]bucket, coarseBuckets)},
	}
}

func (s *series) add(now time.Time, v grading, c code.Code) {
	for _, r := range []*ring{&s.fine, &s.coarse} {
		if b := r.at(r.indexAt(now)); b != nil {
			b.add(v, c)
		}
	}
}

// merge adds the counts of another series.
func (s *series) merge(o *series) {
	mergeRing(&s.fine, &o.fine)
	mergeRing(&s.coarse, &o.coarse)
}

func mergeRing(to, from *ring) {
	for _, b := range from.buckets {
		if b.index == 0 {
			continue
		}
		if t := to.at(b.index); t != nil {
			t.merge(b)
		}
	}
}

func (s *series) windows(now time.Time) []Window {
	out := make([]Window, len(windowLengths))
	for i, length := range windowLengths {
		r := &s.coarse
		if length < time.Duration(fineBuckets)*fineWidth {
			r = &s.fine
		}
		total := r.sum(now, length)
		out[i] = Window{Length: length, Counts: total.counts, Codes: total.codes}
	}
	return out
}
