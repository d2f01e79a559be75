package reconcile

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// A caller sees an engine go away in the middle of a change, or get changes in
// the wrong order. Daemons die, are cut off or lose answers at each step
// between the decision and the end of an order; the one that goes on must end
// what was begun and send each order once.
func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name     string
		fault    func(f *fleet)
		versions string // what the engine carried out
	}{
		{"no fault", func(*fleet) {}, "v1 v2 "},
		{"planned stop", func(f *fleet) {
			d := f.daemons[0]
			err := errors.Join(d.rec.Stop(), d.lease.Release(context.Background()))
			advance(3 * time.Second)
			if l := d.follow.State().Leases["s/z/0"]; err != nil || (l.Holder == d.id && !l.Released) {
				f.t.Errorf("lease after a release: %+v, %v", l, err)
			}
			f.kill(d)
		}, "v1 v2 "},
		{"holder dies between log and send", func(f *fleet) {
			f.engines["e0"].restart(port.EngineSpec{})
			f.engines["e0"].set(func(e *fakeEngine) { e.deaf = true })
			advance(3 * time.Second)
			f.kill(f.daemons[0])
			f.engines["e0"].set(func(e *fakeEngine) { e.deaf = false })
		}, "v1 v1 v2 "},
		{"engine has seen a newer claim", func(f *fleet) {
			f.engines["e0"].set(func(e *fakeEngine) { e.state.ChecksFence, e.state.LastFence = true, f.daemons[0].follow.Applied() })
		}, "v1 v2 "},
		{"engine refuses a version", func(f *fleet) {
			advance(10 * time.Second) // v1 is in force
			before, _ := f.log.Counts()
			f.publish("bad")
			advance(10 * time.Minute)
			if after, _ := f.log.Counts(); after-before > 40 {
				f.t.Errorf("%d appends for an order that is always refused", after-before)
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
			// Time to be brought back, so that the next version isn't already
			// what the order after the crash asks for.
			advance(10 * time.Second)
		}, "v1 v1 v2 "},
		{"answer of the log lost", func(f *fleet) { f.log.LoseAnswers(5) }, "v1 v2 "},
		{"answer of the engine lost", func(f *fleet) { f.engines["e0"].lose = 3 }, "v1 v2 "},
		{"log down for minutes", func(f *fleet) {
			f.log.SetDown(true)
			advance(3 * time.Minute)
			f.log.SetDown(false)
		}, "v1 v2 "},
		{"holder cut off from the log, not dead", func(f *fleet) {
			f.daemons[0].link.set(true)
			f.forget(f.daemons[0])
		}, "v1 v2 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				first := f.add("a")
				f.add("b")
				f.publish("v1")
				advance(12 * time.Second) // the order is under way
				c.fault(f)
				f.publish("v2")
				advance(40 * time.Second)
				if e := f.engines["e0"]; !e.is("v2") || e.versions() != c.versions {
					t.Errorf("engine carried out %q, state %+v; want %q", e.versions(), e.state, c.versions)
				}
				f.stop()
				_ = first.follow.Stop() // one that was cut off
				_ = first.lease.Stop()
				_ = first.rec.Stop()
			})
		})
	}
}

// An engine restarts with an old version at night. It must be brought back
// without anyone's doing, and again the next time.
func TestBroughtBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.add("a")
		f.publish("v1")
		advance(20 * time.Second)
		for range 3 {
			f.engines["e0"].restart(port.EngineSpec{Model: "m", Version: "v0"})
			advance(10 * time.Second)
			if !f.engines["e0"].is("v1") {
				t.Errorf("engine was not brought back: %+v", f.engines["e0"].state)
			}
		}
		f.engines["e0"].set(func(e *fakeEngine) { e.state.Leaving = true })
		advance(2 * time.Second)
		if !f.daemons[0].rec.EnginesLeaving()["e0"] {
			t.Error("the engine's word that it leaves is not passed on")
		}
		f.stop()
	})
}

// A target is taken out of the document while its order is open and the
// engine doesn't answer. The order must end, or it would count for ever.
func TestTargetLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.engines["e1"].deaf = true
		d := f.add("a")
		f.publish("v1")
		advance(30 * time.Second)
		if d.follow.State().Engines["e1"].Open == nil {
			t.Fatal("no order is open")
		}
		f.publishOf("v2", 1)
		advance(30 * time.Second)
		if e := d.follow.State().Engines["e1"]; e.Open != nil || e.Done.Detail != "target left" {
			t.Errorf("order of the target that left: %+v", e)
		}
		f.stop()
	})
}

// Twenty engines need a new version at once and the store feeds four. No more
// than four may load at any time, although two daemons hold a group each.
func TestLoadsWithinRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 20)
		f.rate = 4e9
		f.add("a")
		f.add("b")
		f.publish("v1")
		most := 0
		for range 600 {
			advance(100 * time.Millisecond)
			most = max(most, f.changing())
		}
		if most > 4 || most < 3 {
			t.Errorf("%d loads at once with four slots", most)
		}
		for id, e := range f.engines {
			if !e.is("v1") {
				t.Errorf("%s was not loaded", id)
			}
		}
		f.stop()
	})
}

func (f *fleet) changing() int {
	n := 0
	for _, e := range f.engines {
		if s, _ := e.State(context.Background()); s.Changing {
			n++
		}
	}
	return n
}
