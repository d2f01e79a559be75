package policy

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/routing"
)

// report is the state that an engine reported at a time.
type report struct {
	at       float64
	load     port.Load
	role     port.Role
	changing bool
	live     bool
}

const (
	reportInterval = 0.250 // seconds between two reports of an engine
	reportLag      = 0.200 // seconds until processes receive a report
	queueLimit     = 160   // requests in flight at one target
)

// sentWork is the work of one request that a process sent to an engine, in
// tokens.
type sentWork struct {
	at      float64
	prefill int
	decode  int
}

// view is the knowledge of one entry process: the last report of each engine, and
// the work that the process has sent since then.
type view struct {
	targets  []routing.Target
	reported []float64
	sends    [][]sentWork
}

func newView(engines []*engine, now *float64) *view {
	v := &view{
		targets:  make([]routing.Target, len(engines)),
		reported: make([]float64, len(engines)),
		sends:    make([][]sentWork, len(engines)),
	}
	for i, e := range engines {
		v.targets[i] = routing.Target{
			Name: e.name, Zone: e.zone, Model: modelName, Role: e.role, Live: true, Limit: queueLimit,
			CachedTokens: func(prefix []uint64) int { return e.cache.visible(prefix[0], *now) },
		}
	}
	return v
}

const modelName = "m"

// applyReport updates the view of engine i from a report. Work that was sent
// before the report is dropped, because the report includes it.
func (v *view) applyReport(i int, r report) {
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
		addSent(t, s)
	}
	v.sends[i] = keep
}

// addSent adds to the work that was sent since the last report.
func addSent(t *routing.Target, s sentWork) {
	t.SentPrefill += s.prefill
	t.SentDecode += s.decode
	t.SentCount++
}

func (v *view) recordSend(i int, s sentWork) {
	v.sends[i] = append(v.sends[i], s)
	addSent(&v.targets[i], s)
	v.targets[i].InFlight++
}

// setAges sets the ages of the reports.
func (v *view) setAges(now float64) {
	for i := range v.targets {
		v.targets[i].LoadAge = time.Duration((now - v.reported[i]) * float64(time.Second))
	}
}
