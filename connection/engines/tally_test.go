package engines

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelospool/pomelospool/port"
)

// spoken is a report as a summing up at each look would hold it.
type spoken struct {
	at   time.Time
	work []Work
}

// A sum that is kept up to date drifts from what the daemons said: an engine
// looks busy, or is left out as unreachable, for as long as the process runs.
// Whatever is said, repeated, left out or expires, it must equal the sum over
// the reports that count.
func TestSumsEqualTheWordsThatCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b, c := book()
		reports := map[string]spoken{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			c.t = c.t.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			name := fmt.Sprint("d", rapid.IntRange(0, 4).Draw(rt, "daemon"))
			work := drawWork(rt)
			b.Merge(name, work, nil)
			reports[name] = spoken{at: c.t, work: work}
			if rapid.IntRange(0, 9).Draw(rt, "forget") == 0 {
				b.Retain(func(uint64) bool { return false })
			}
			for e := range uint64(4) {
				want := Load{}
				for _, w := range reports {
					want.count(e, w, c.t)
				}
				got := b.LoadOf(e, nil)
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

func (l *Load) count(engine uint64, s spoken, now time.Time) {
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
