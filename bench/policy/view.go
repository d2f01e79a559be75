package policy

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/routing"
)

// report is what an engine told of itself at a time.
type report struct {
	at       float64
	load     port.Load
	role     port.Role
	changing bool
	live     bool
}

// How often engines report, and how late a report is seen.
const (
	reportEvery = 0.250
	reportLag   = 0.200
	queueLimit  = 160 // requests in flight at one target
)

// sent is what one process sent to an engine.
type sent struct {
	at      float64
	prefill int
	decode  int
}

// view is what one entry process knows: the last report of each engine and
// what it sent itself.
type view struct {
	targets  []routing.Target
	reported []float64
	sends    [][]sent
}

func newView(engines []*engine, now *float64) *view {
	v := &view{
		targets:  make([]routing.Target, len(engines)),
		reported: make([]float64, len(engines)),
		sends:    make([][]sent, len(engines)),
	}
	for i, e := range engines {
		v.targets[i] = routing.Target{
			Name: e.name, Zone: e.zone, Model: modelName, Role: e.role, Live: true, Limit: queueLimit,
			CachedTokens: func(prefix []uint64) int { return e.cache.seen(prefix[0], *now) },
		}
	}
	return v
}

const modelName = "m"

// take replaces what is known of engine i by a report.
func (v *view) take(i int, r report) {
	t := &v.targets[i]
	t.Load, t.Role, t.Changing, t.Live = r.load, r.role, r.changing, r.live
	v.reported[i] = r.at
	keep := v.sends[i][:0]
	t.SentPrefill, t.SentDecode, t.SentCount = 0, 0, 0
	for _, s := range v.sends[i] {
		if s.at < r.at {
			continue
		}
		keep = append(keep, s)
		count(t, s)
	}
	v.sends[i] = keep
}

// count adds to what was sent since the report.
func count(t *routing.Target, s sent) {
	t.SentPrefill += s.prefill
	t.SentDecode += s.decode
	t.SentCount++
}

func (v *view) send(i int, s sent) {
	v.sends[i] = append(v.sends[i], s)
	count(&v.targets[i], s)
	v.targets[i].InFlight++
}

// at sets the ages of the reports.
func (v *view) at(now float64) {
	for i := range v.targets {
		v.targets[i].LoadAge = time.Duration((now - v.reported[i]) * float64(time.Second))
	}
}
