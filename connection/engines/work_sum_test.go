package engines

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelospool/pomelospool/port"
)

// receivedReport is a report with the time of its receipt.
type receivedReport struct {
	at   time.Time
	work []Work
}

// TestSumEqualsUnexpiredReports checks that the incremental sums equal the sums of
// the unexpired reports after any sequence of reports. A sum that drifts would
// make an engine look busy or unreachable until the process restarts.
func TestSumEqualsUnexpiredReports(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr, c := newTestTracker()
		reports := map[string]receivedReport{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			c.t = c.t.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			name := fmt.Sprint("d", rapid.IntRange(0, 4).Draw(rt, "daemon"))
			work := drawWork(rt)
			tr.Merge(name, work, nil)
			reports[name] = receivedReport{at: c.t, work: work}
			if rapid.IntRange(0, 9).Draw(rt, "forget") == 0 {
				tr.Retain(func(uint64) bool { return false })
			}
			for e := range uint64(4) {
				want := Load{}
				for _, w := range reports {
					want.count(e, w, c.t)
				}
				got := tr.LoadOf(e, nil)
				if got.Streams != want.Streams || got.Down != want.Down || (got.Becomes != "") != (want.Becomes != "") {
					rt.Fatalf("engine %d: %+v, want %+v", e, got, want)
				}
			}
		}
	})
}

func drawWork(rt *rapid.T) []Work {
	var out []Work
	for e := range uint64(4) {
		if !rapid.Bool().Draw(rt, "named") {
			continue
		}
		out = append(out, Work{
			Target: e, Streams: uint32(rapid.IntRange(0, 3).Draw(rt, "streams")), Down: uint16(rapid.IntRange(0, 1).Draw(rt, "down")),
			Becomes: rapid.SampledFrom([]port.Role{"", port.RoleDecode, port.RolePrefill}).Draw(rt, "becomes"),
		})
	}
	return out
}

func (l *Load) count(engine uint64, s receivedReport, now time.Time) {
	if now.Sub(s.at) > reportTTL {
		return
	}
	for _, w := range s.work {
		if w.Target != engine {
			continue
		}
		l.Streams += int(w.Streams)
		l.Down += int(w.Down)
		if w.Becomes != "" {
			l.Becomes = w.Becomes
		}
	}
}
