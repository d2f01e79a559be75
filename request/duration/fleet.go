package duration

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// maxRows is the number of rows in a report.
	maxRows = 200
	// refreshInterval is the interval at which received rows are taken over.
	refreshInterval = 250 * time.Millisecond
	// replaceShare is the least number of answers, as a share of the known number,
	// with which a sum replaces the known one. A sum with fewer lacks the parts of
	// many daemons.
	replaceShare = 0.5
)

// Row holds the answers of a route that state about the same maximum
// output, as daemons exchange them.
type Row struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Count   uint32 // complete answers that were followed for the whole horizon
	Longest uint32 // longest of these, in ms
	Recent  uint32 // longest time of the others until now, in ms
}

// Key implements summary.Entry.
func (r Row) Key() uint64 { return r.ID }

// Add implements summary.Entry.
func (r Row) Add(o Row) Row {
	r.Count += min(o.Count, math.MaxUint32-r.Count)
	r.Longest, r.Recent = max(r.Longest, o.Longest), max(r.Recent, o.Recent)
	return r
}

// hash returns the ID of the key's row.
func (k group) hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(k.route))
	_, _ = h.Write([]byte{0, byte(k.size)})
	return h.Sum64()
}

// fleetSample is what was received of a key.
type fleetSample struct {
	sample
	recent time.Duration
	at     time.Time
}

// rows returns this daemon's rows. It is called for each report, and takes over what
// was received before it expires.
func (d *Tracker) rows() []Row {
	d.refresh()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep()
	now := time.Since(d.origin)
	out := make([]Row, 0, len(d.byKey))
	for key, h := range d.byKey {
		s, recent := h.look(now, d.horizon)
		if s.count > 0 || s.longest > 0 || recent > 0 {
			out = append(out, Row{ID: key.hash(), Count: uint32(s.count), Longest: milliseconds(s.longest), Recent: milliseconds(recent)})
		}
	}
	return out
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// limitRows returns the rows with the most answers.
func limitRows(rows []Row) []Row {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.ID, b.ID))
	})
	return rows[:min(len(rows), maxRows)]
}

// refresh takes over the received rows when it is time. What was received of
// daemons that have ended counts for a period.
func (d *Tracker) refresh() {
	now := time.Now()
	d.mu.Lock()
	due := now.Sub(d.checked) >= refreshInterval
	if due {
		d.checked = now
	}
	d.mu.Unlock()
	if !due {
		return
	}
	rows := d.table.Sum()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range rows {
		f := fleetSample{
			sample: sample{int(r.Count), time.Duration(r.Longest) * time.Millisecond},
			recent: time.Duration(r.Recent) * time.Millisecond,
			at:     now,
		}
		if old := d.fleet[r.ID]; float64(f.count) < replaceShare*float64(old.count) {
			f.count, f.at = old.count, old.at
			f.longest, f.recent = max(f.longest, old.longest), max(f.recent, old.recent)
		}
		d.fleet[r.ID] = f
	}
	for id, f := range d.fleet {
		if now.Sub(f.at) > period {
			delete(d.fleet, id)
		}
	}
}
