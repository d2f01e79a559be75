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

// manyEngines adds engines without anybody behind them, half of which decode.
func (r *rig) manyEngines(n int) {
	for i := range n {
		role := port.RolePrefill
		if i%2 == 0 {
			role = port.RoleDecode
		}
		id := fmt.Sprint("engine", i)
		r.entries["llm"] = append(r.entries["llm"], port.TargetEntry{
			ID: id, Addr: id, Service: "llm", Zone: string(rune('a' + i%5)), Slots: 64, Role: role,
		})
	}
	r.set = targets.NewSet(r.entries["llm"])
}

// runOf is a call as a daemon sees it.
func (r *rig) runOf(self string) *run {
	c := r.call(route.Stream, 1, 3*time.Second)
	u := &run{Runner: r.runner, c: c}
	u.opts.Self = self
	return u
}

// Guards against a call whose cost grows with the number of engines, and against
// equal prompts that don't meet where there are many.
func TestManyEnginesAreNotAllLookedAt(t *testing.T) {
	for _, n := range []int{100, 2 * lookAtAll, 2400, 20_000} {
		withRig(t, 0, func(t *testing.T, r *rig) {
			r.manyEngines(n)
			homes := make(map[string]int)
			for i := range 50 {
				u := r.runOf(fmt.Sprint("vm", i))
				p := u.prompt()
				cands := u.candidates(p, port.RolePrefill, "b")
				if n/2 <= lookAtAll && len(cands) != n/2 || n/2 > lookAtAll && len(cands) > 64 {
					t.Fatalf("%d of %d engines are looked at", len(cands), n)
				}
				seen := make(map[string]bool)
				near := 0
				for _, c := range cands {
					if seen[c.Entry.ID] || c.Entry.Role != port.RolePrefill {
						t.Fatalf("looks at %+v", c.Entry)
					}
					seen[c.Entry.ID] = true
					if c.Entry.Zone == "b" {
						near++
					}
				}
				if near < regulars {
					t.Errorf("%d in the zone asked for", near)
				}
				ch := placement.Prefill(p.Prompt, cands, cands, u.c.Service.Engine, r.speed.Estimates("llm"))
				homes[cands[ch.At].Entry.ID]++
			}
			if len(homes) != 1 {
				t.Errorf("%d engines: a new prompt goes to %v", n, homes)
			}
		})
	}
}

// Guards against a new connection for each call where there are many engines that
// nobody uses.
func TestDaemonHasItsRegulars(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		r.manyEngines(5000)
		at := make(map[string]int)
		for range 50 {
			u := r.runOf("vm1")
			p := u.prompt()
			for _, c := range u.candidates(p, port.RoleDecode, "a") {
				at[c.Entry.ID]++
			}
		}
		always := 0
		for _, n := range at {
			if n == 50 {
				always++
			}
		}
		if always < regulars {
			t.Errorf("%d engines are always considered, want %d", always, regulars)
		}
	})
}

// Guards against engines that are known to keep a prompt's parts and aren't looked
// at.
func TestKeepersAreLookedAt(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		r.manyEngines(5000)
		u := r.runOf("vm1")
		p := u.prompt()
		u.opts.Engines.Prefill("engine4001", 0, p.parts, 0, time.Millisecond)()
		for _, c := range u.candidates(p, port.RolePrefill, "a") {
			if c.Entry.ID == "engine4001" && c.Load.Cached > 0 {
				return
			}
		}
		t.Error("the engine that keeps the prompt isn't looked at")
	})
}

// BenchmarkConsider is the choice among engines of which nothing is known.
func BenchmarkConsider(b *testing.B) {
	for _, n := range []int{240, 2400, 9675, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRig(0)
			r.manyEngines(n)
			u := r.runOf("vm1")
			p := u.prompt()
			f := r.speed.Estimates("llm")
			b.ReportAllocs()
			for b.Loop() {
				cands := u.candidates(p, port.RolePrefill, "a")
				placement.Shortlist(p.Prompt, cands, cands, u.c.Service.Engine, f)
			}
		})
	}
}
