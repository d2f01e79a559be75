package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// scale is the range and precision of a histogram. Histograms of the same scale
// have the same buckets and merge exactly.
type scale struct {
	Unit   time.Duration `json:"unit_ns"` // size of one step
	High   int64         `json:"high"`    // highest value in steps
	Digits int           `json:"digits"`  // significant digits
}

// serviceScale covers 10 microseconds to one hour with a precision of 1%.
// orgScale covers 1 ms to ten minutes with a precision of 10%, to save memory
// for the many groups of callers.
var (
	serviceScale = scale{10 * time.Microsecond, 360_000_000, 2}
	orgScale     = scale{time.Millisecond, 600_000, 1}
)

func (s scale) new() *hdrhistogram.Histogram { return hdrhistogram.New(1, s.High, s.Digits) }

// halfLength is the time span of each half of a recorder. A report therefore
// covers between the last 30 and the last 60 minutes.
const halfLength = 30 * time.Minute

// recorder is a histogram of the recent past. It consists of two halves, of
// which the older one is dropped when a new one begins.
type recorder struct {
	scale    scale
	half     int64 // number of the newer half, counted from the Unix epoch
	newer    *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
}

func newRecorder(s scale) *recorder { return &recorder{scale: s, newer: s.new(), previous: s.new()} }

func (r *recorder) record(now time.Time, d time.Duration) {
	r.rotate(now)
	steps := min(max(int64(d/r.scale.Unit), 1), r.scale.High)
	_ = r.newer.RecordValue(steps) // always in range
}

// rotate begins a new half if now is past the newer one.
func (r *recorder) rotate(now time.Time) { r.rotateTo(now.UnixNano() / int64(halfLength)) }

func (r *recorder) rotateTo(half int64) {
	if half <= r.half {
		return
	}
	r.previous, r.newer = r.newer, r.previous
	r.newer.Reset()
	if half > r.half+1 {
		r.previous.Reset()
	}
	r.half = half
}

// merge adds the values of another recorder that are recent enough.
func (r *recorder) merge(o *recorder) {
	r.rotateTo(o.half)
	switch o.half {
	case r.half:
		r.newer.Merge(o.newer)
		r.previous.Merge(o.previous)
	case r.half - 1:
		r.previous.Merge(o.newer)
	}
}

func (r *recorder) export(now time.Time) Histogram {
	r.rotate(now)
	sum := r.scale.new()
	sum.Merge(r.previous)
	sum.Merge(r.newer)
	return exportHistogram(r.scale, sum)
}

// Histogram is the JSON form of a histogram. Histograms of the same scale merge
// exactly.
type Histogram struct {
	scale
	Counts [][2]int64 `json:"counts,omitempty"` // index and count of each non-empty bucket
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

// toHDR converts h to an HDR histogram. It ignores buckets outside the scale.
func (h Histogram) toHDR() *hdrhistogram.Histogram {
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

// Quantile returns the q-quantile of the values, with q from 0 to 1. It returns
// 0 if there are no values.
func (h Histogram) Quantile(q float64) time.Duration {
	if len(h.Counts) == 0 || !h.valid() {
		return 0
	}
	const percent = 100
	return time.Duration(h.toHDR().ValueAtQuantile(q*percent)) * h.Unit
}

// valid reports whether the scale is one that this package uses.
func (h Histogram) valid() bool { return h.scale == serviceScale || h.scale == orgScale }

// mergeHistograms returns the sum of a and b. All daemons of the same version
// use the same scales. If the scales differ, it returns the histogram with more
// values.
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
	sum := a.toHDR()
	sum.Merge(b.toHDR())
	return exportHistogram(a.scale, sum)
}
