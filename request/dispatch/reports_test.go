package dispatch

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// Guards against daemons that have lost their links and stop all others from
// serving by their reports of targets.
func TestReportsAgainstAllTargetsDontStopCalls(t *testing.T) {
	for name, daemons := range map[string]int{"of two daemons": 2, "of most of a large fleet": 984} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 100, func(t *testing.T, h *harness) {
				for range 2 {
					h.addTarget("llm", port.RolePrefill)
					h.addTarget("app", "")
				}
				for range 2 {
					h.addTarget("llm", port.RoleDecode)
				}
				h.reportDown(daemons, "llm0", "llm1", "llm2", "llm3", "app0", "app1")
				if out, _, err := h.runStream(t.Context(), false); err != nil || out.text != eventText(1, 3) {
					t.Errorf("stream: text %q, %v", out.text, err)
				}
				a, _, err := h.runner.Plain(t.Context(), h.newCall(route.Unsafe, 1, time.Second))
				if err != nil || string(a.Body) != standin.Answer("req-1") {
					t.Errorf("plain call: %v", err)
				}
			})
		})
	}
}

// Guards against a daemon that takes the reports of others for better evidence
// than an answer that it has just received from the target.
func TestAnswerOutweighsEarlierReports(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RolePrefill)
		decoder := h.addTarget("llm", port.RoleDecode)
		decoder.Set(func(b *standin.Behaviour) { b.Gap = 50 * time.Millisecond })
		reported := time.AfterFunc(10*time.Millisecond, func() { h.reportDown(2, "llm1") })
		defer reported.Stop()
		for range 2 {
			if _, _, err := h.runStream(t.Context(), false); err != nil {
				t.Error(err)
			}
		}
	})
}

// reportDown merges the reports of that many daemons that can't reach the
// targets.
func (h *harness) reportDown(daemons int, ids ...string) {
	var down []engines.Work
	for _, id := range ids {
		down = append(down, engines.Work{Target: engines.Hash(id), Down: uint16(daemons - 1)})
	}
	h.runner.opts.Engines.Merge("sum of a", down, nil)
	for i := range down {
		down[i].Down = 1
	}
	h.runner.opts.Engines.Merge("peer", down, nil)
}
