package reconcile

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Guards against engines that are changed twice or in the wrong order. Daemons
// crash, lose the connection to the log or lose responses at each step between
// the decision and the end of an order. The remaining daemon must finish the
// started order, and the engine must carry out each order once.
func TestOrdersSurviveFaults(t *testing.T) {
	for _, c := range []struct {
		name     string
		fault    func(f *fleet)
		versions string // versions that the engine carried out
	}{
		{"no fault", func(*fleet) {}, "v1 v2 "},
		{"planned stop", func(f *fleet) {
			d := f.daemons[0]
			err := errors.Join(d.rec.Stop(), d.lease.Release(context.Background()))
			advance(3 * time.Second)
			if l := d.follow.State().Leases["s/z/0"]; err != nil || (l.Holder == d.id && !l.Released) {
				f.t.Errorf("lease after Release: %+v, %v", l, err)
			}
			f.kill(d)
		}, "v1 v2 "},
		{"holder dies between log and send", func(f *fleet) {
			f.engines["e0"].restart(port.EngineSpec{})
			f.engines["e0"].set(func(e *fakeEngine) { e.unreachable = true })
			advance(3 * time.Second)
			f.kill(f.daemons[0])
			f.engines["e0"].set(func(e *fakeEngine) { e.unreachable = false })
		}, "v1 v1 v2 "},
		{"engine has seen a newer claim", func(f *fleet) {
			f.engines["e0"].set(func(e *fakeEngine) { e.state.ChecksFence, e.state.LastFence = true, f.daemons[0].follow.Applied() })
		}, "v1 v2 "},
		{"engine refuses a version", func(f *fleet) {
			advance(10 * time.Second) // v1 is in effect
			before, _ := f.log.Counts()
			f.publish("bad")
			advance(10 * time.Minute)
			if after, _ := f.log.Counts(); after-before > 40 {
				f.t.Errorf("%d appends for an order that is always rejected", after-before)
			}
		}, "v1 v2 "},
		{"holder dies in the middle of a change", func(f *fleet) { f.kill(f.daemons[0]) }, "v1 v2 "},
		{"two takeovers in a row", func(f *fleet) {
			f.kill(f.daemons[0])
			advance(2 * time.Second)
			f.kill(f.daemons[0])
			f.add("c")
		}, "v1 v2 "},
		{"engine crashes in the middle of a change", func(f *fleet) {
			f.engines["e0"].restart(port.EngineSpec{})
			// Wait until the engine is restored to v1. Otherwise the order
			// after the crash would already be for the next version.
			advance(10 * time.Second)
		}, "v1 v1 v2 "},
		{"answer of the log lost", func(f *fleet) { f.log.LoseAnswers(5) }, "v1 v2 "},
		{"answer of the engine lost", func(f *fleet) { f.engines["e0"].loseAnswers = 3 }, "v1 v2 "},
		{"log down for minutes", func(f *fleet) {
			f.log.SetDown(true)
			advance(3 * time.Minute)
			f.log.SetDown(false)
		}, "v1 v2 "},
		{"holder cut off from the log, not dead", func(f *fleet) {
			f.daemons[0].link.set(true)
			f.markDead(f.daemons[0])
		}, "v1 v2 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				first := f.add("a")
				f.add("b")
				f.publish("v1")
				advance(12 * time.Second) // the order is being carried out
				c.fault(f)
				f.publish("v2")
				advance(40 * time.Second)
				if e := f.engines["e0"]; !e.is("v2") || e.versions() != c.versions {
					t.Errorf("engine carried out %q, state %+v; want %q", e.versions(), e.state, c.versions)
				}
				f.stop()
				_ = first.follow.Stop() // may have been cut off and not stopped by f.stop
				_ = first.lease.Stop()
				_ = first.rec.Stop()
			})
		})
	}
}

// An engine that restarts with an old version must be changed to the current
// version without an operator, each time.
func TestRestartedEngineIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.add("a")
		f.publish("v1")
		advance(20 * time.Second)
		for range 3 {
			f.engines["e0"].restart(port.EngineSpec{Model: "m", Version: "v0"})
			advance(10 * time.Second)
			if !f.engines["e0"].is("v1") {
				t.Errorf("engine was not restored: %+v", f.engines["e0"].state)
			}
		}
		f.engines["e0"].set(func(e *fakeEngine) { e.state.Leaving = true })
		advance(2 * time.Second)
		if !f.daemons[0].rec.EnginesLeaving()["e0"] {
			t.Error("EnginesLeaving lacks an engine that reports that it is leaving")
		}
		f.stop()
	})
}

// The document drops a target while its order is open and its engine doesn't
// respond. The order must end, or it would stay open forever.
func TestOrphanedOrderEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.engines["e1"].unreachable = true
		d := f.add("a")
		f.publish("v1")
		advance(30 * time.Second)
		if d.follow.State().Engines["e1"].Open == nil {
			t.Fatal("no order is open")
		}
		f.publishOf("v2", 1)
		advance(30 * time.Second)
		if e := d.follow.State().Engines["e1"]; e.Open != nil || e.Done.Detail != "target left" {
			t.Errorf("engine of the removed target: %+v", e)
		}
		f.stop()
	})
}

// Guards against more concurrent loads than the weight store's rate allows, when
// two daemons hold one group each. Twenty engines need a new version and the
// store has the rate for four loads.
func TestLoadsWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20)
		f.rate = 4e9
		f.add("a")
		f.add("b")
		f.publish("v1")
		maxLoads := 0
		for range 600 {
			advance(100 * time.Millisecond)
			maxLoads = max(maxLoads, f.countChanging())
		}
		if maxLoads > 4 || maxLoads < 3 {
			t.Errorf("%d loads at once with four slots", maxLoads)
		}
		for id, e := range f.engines {
			if !e.is("v1") {
				t.Errorf("%s was not loaded", id)
			}
		}
		f.stop()
	})
}

func (f *fleet) countChanging() int {
	n := 0
	for _, e := range f.engines {
		if s, _ := e.State(context.Background()); s.Changing {
			n++
		}
	}
	return n
}
