package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/targets"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/placement"
	"github.com/pomelospool/pomelospool/version/route"
)

// manyEngines adds engines that nothing serves. Half of them decode.
func (h *harness) manyEngines(n int) {
	for i := range n {
		role := port.RolePrefill
		if i%2 == 0 {
			role = port.RoleDecode
		}
		id := fmt.Sprint("engine", i)
		h.entries["llm"] = append(h.entries["llm"], port.TargetEntry{
			ID: id, Addr: id, Service: "llm", Zone: string(rune('a' + i%5)), Slots: 64, Role: role,
		})
	}
	h.set = targets.NewSet(h.entries["llm"])
}

// newExecution returns the execution of a call at the daemon on that VM.
func (h *harness) newExecution(self string) *execution {
	c := h.newCall(route.Stream, 1, 3*time.Second)
	x := &execution{Runner: h.runner, call: c}
	x.opts.Self = self
	return x
}

// Guards against a call whose cost grows with the number of engines, and
// against equal prompts that are prefilled on different engines when there
// are many.
func TestManyEnginesAreSampled(t *testing.T) {
	for _, n := range []int{100, 2 * sampleThreshold, 2400, 20_000} {
		withHarness(t, 0, func(t *testing.T, h *harness) {
			h.manyEngines(n)
			homes := make(map[string]int)
			for i := range 50 {
				x := h.newExecution(fmt.Sprint("vm", i))
				p := x.prompt()
				cands := x.candidates(p, port.RolePrefill, "b")
				if n/2 <= sampleThreshold && len(cands) != n/2 || n/2 > sampleThreshold && len(cands) > 64 {
					t.Fatalf("%d of %d engines are considered", len(cands), n)
				}
				seen := make(map[string]bool)
				inZone := 0
				for _, c := range cands {
					if seen[c.Entry.ID] || c.Entry.Role != port.RolePrefill {
						t.Fatalf("considered %+v", c.Entry)
					}
					seen[c.Entry.ID] = true
					if c.Entry.Zone == "b" {
						inZone++
					}
				}
				if inZone < preferredTargets {
					t.Errorf("%d considered in the requested zone", inZone)
				}
				ch := placement.Prefill(p.Prompt, cands, cands, x.call.Service.Engine, h.speed.Estimates("llm"))
				homes[cands[ch.Index].Entry.ID]++
			}
			if len(homes) != 1 {
				t.Errorf("%d engines: a new prompt goes to %v", n, homes)
			}
		})
	}
}

// Guards against a new connection for each call when there are many engines
// without connections.
func TestDaemonAlwaysConsidersItsPreferredTargets(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.manyEngines(5000)
		counts := make(map[string]int)
		for range 50 {
			x := h.newExecution("vm1")
			p := x.prompt()
			for _, c := range x.candidates(p, port.RoleDecode, "a") {
				counts[c.Entry.ID]++
			}
		}
		always := 0
		for _, n := range counts {
			if n == 50 {
				always++
			}
		}
		if always < preferredTargets {
			t.Errorf("%d engines are always considered, want %d", always, preferredTargets)
		}
	})
}

// Guards against ignoring engines that are known to hold parts of the
// prompt.
func TestCacheHoldersAreConsidered(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.manyEngines(5000)
		x := h.newExecution("vm1")
		p := x.prompt()
		x.opts.Engines.Prefill("engine4001", 0, p.parts, 0, time.Millisecond)()
		for _, c := range x.candidates(p, port.RolePrefill, "a") {
			if c.Entry.ID == "engine4001" && c.Load.Cached > 0 {
				return
			}
		}
		t.Error("the engine that holds the prompt isn't considered")
	})
}

// BenchmarkShortlistManyEngines measures the choice among engines whose load
// is unknown.
func BenchmarkShortlistManyEngines(b *testing.B) {
	for _, n := range []int{240, 2400, 9675, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHarness(0)
			h.manyEngines(n)
			x := h.newExecution("vm1")
			p := x.prompt()
			est := h.speed.Estimates("llm")
			b.ReportAllocs()
			for b.Loop() {
				cands := x.candidates(p, port.RolePrefill, "a")
				placement.Shortlist(p.Prompt, cands, cands, x.call.Service.Engine, est)
			}
		})
	}
}
