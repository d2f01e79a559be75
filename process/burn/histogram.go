package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// scale is the range and precision of a histogram. Histograms of one scale
// merge exactly, since their buckets are the same.
type scale struct {
	Unit   time.Duration `json:"unit_ns"` // of one step
	High   int64         `json:"high"`    // steps
	Digits int           `json:"digits"`  // significant ones
}

// serviceScale covers 10 microseconds to an hour within one in a hundred;
// orgScale, for the many groups of callers, 1 ms to ten minutes within one in
// ten.
var (
	serviceScale = scale{10 * time.Microsecond, 360_000_000, 2}
	orgScale     = scale{time.Millisecond, 600_000, 1}
)

func (s scale) new() *hdrhistogram.Histogram { return hdrhistogram.New(1, s.High, s.Digits) }

// keepFor is how long a recorder's newer half collects. A report therefore
// covers the last half hour to hour.
const keepFor = 30 * time.Minute

// recorder is a histogram of the recent past, in two halves.
type recorder struct {
	scale    scale
	span     int64 // number of the newer half's time since 1970
	newer    *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newRecorder(s scale) *recorder { return &recorder{scale: s, newer: s.new(), previous: s.new()} }

func (r *recorder) record(now time.Time, d time.Duration) {
	r.turn(now)
	steps := min(max(int64(d/r.scale.Unit), 1), r.scale.High)
	_ = r.newer.RecordValue(steps) // always in range
}

// turn begins a new half when the time has come.
func (r *recorder) turn(now time.Time) { r.turnTo(now.UnixNano() / int64(keepFor)) }

func (r *recorder) turnTo(span int64) {
	if span <= r.span {
		return
	}
	r.previous, r.newer = r.newer, r.previous
	r.newer.Reset()
	if span > r.span+1 {
		r.previous.Reset()
	}
	r.span = span
}

// merge adds the values of another recorder as far as they are recent.
func (r *recorder) merge(o *recorder) {
	r.turnTo(o.span)
	switch o.span {
	case r.span:
		r.newer.Merge(o.newer)
		r.previous.Merge(o.previous)
	case r.span - 1:
		r.previous.Merge(o.newer)
	}
}

func (r *recorder) export(now time.Time) Histogram {
	r.turn(now)
	sum := r.scale.new()
	sum.Merge(r.previous)
	sum.Merge(r.newer)
	return exportHistogram(r.scale, sum)
}

// Histogram is a histogram in a form that goes into JSON and merges exactly.
type Histogram struct {
	scale
	Counts [][2]int64 `json:"counts,omitempty"` // index and count of each bucket in use
}

func exportHistogram(s scale, h *hdrhistogram.Histogram) Histogram {
	out := Histogram{scale: s}
	for i, n := range h.Export().Counts {
		if n > 0 {
			out.Counts = append(out.Counts, [2]int64{int64(i), n})
		}
	}
	return out
}

// open returns the HDR histogram. Buckets beyond its scale are left out.
func (h Histogram) open() *hdrhistogram.Histogram {
	snapshot := h.scale.new().Export()
	for _, c := range h.Counts {
		if c[0] >= 0 && c[0] < int64(len(snapshot.Counts)) && c[1] > 0 {
			snapshot.Counts[c[0]] += c[1]
		}
	}
	return hdrhistogram.Import(snapshot)
}

// Count returns the number of values.
func (h Histogram) Count() int64 {
	n := int64(0)
	for _, c := range h.Counts {
		n += c[1]
	}
	return n
}

// Quantile returns the value at or below which a share q of the values lies,
// 0 without values.
func (h Histogram) Quantile(q float64) time.Duration {
	if len(h.Counts) == 0 || !h.valid() {
		return 0
	}
	const percent = 100
	return time.Duration(h.open().ValueAtQuantile(q*percent)) * h.Unit
}

// valid reports whether the scale is one that this package makes.
func (h Histogram) valid() bool { return h.scale == serviceScale || h.scale == orgScale }

// mergeHistograms adds b to a. The scales are the same for every daemon of one
// version; with another one the larger side is kept whole.
func mergeHistograms(a, b Histogram) Histogram {
	if len(b.Counts) == 0 || !b.valid() {
		return a
	}
	if len(a.Counts) == 0 || !a.valid() {
		return b
	}
	if a.scale != b.scale {
		if b.Count() > a.Count() {
			return b
		}
		return a
	}
	sum := a.open()
	sum.Merge(b.open())
	return exportHistogram(a.scale, sum)
}
