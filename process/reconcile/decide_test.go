package reconcile

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

var (
	oldSpec = port.EngineSpec{Role: port.RoleMixed, Model: "m", Version: "1"}
	newSpec = port.EngineSpec{Role: port.RoleMixed, Model: "m", Version: "2"}
	open    = &fold.OpenOrder{ID: "o", Offset: 8, Spec: newSpec, Load: true}
)

// Guards against an engine that gets a change twice, a change that has ended, or
// two changes at once. Each case changes one aspect of a base input.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name   string
		open   *fold.OpenOrder
		change func(*Input)
		want   Action
	}{
		{"differs", nil, func(*Input) {}, AppendOrder},
		{"as it should be", nil, func(in *Input) { in.Observed.Spec = newSpec }, Wait},
		{"drained", nil, func(in *Input) { in.HasDesired = false }, Wait},
		{"leaving", nil, func(in *Input) { in.Observed.Leaving = true }, Wait},
		{"changing without an order", nil, func(in *Input) { in.Observed.Changing = true }, Wait},
		{"doesn't answer", nil, func(in *Input) { in.ObservedKnown = false }, Wait},
		{"new in the group", nil, func(in *Input) { in.Progress.JoinedAt = in.Now - time.Second }, Wait},
		{"copy of the last order on its way", nil, func(in *Input) { in.Progress.InFlightUntil = in.Now + 1 }, Wait},
		{"no slot for a load", nil, func(in *Input) { in.Ahead = 1 }, Wait},
		{"no slot, role only", nil, func(in *Input) { in.Ahead = 1; in.Desired = oldSpec; in.Desired.Role = port.RoleDecode }, AppendOrder},
		{"came after the claim", nil, func(in *Input) { in.Progress.JoinedVersion = 6 }, Reclaim},
		{"fence behind", nil, func(in *Input) { in.Observed.LastFence = 9 }, Reclaim},
		{"fence from nowhere", nil, func(in *Input) { in.Observed.LastFence = 1 << 40 }, AppendOrder},

		{"open", open, func(*Input) {}, SendOrder},
		{"open, just sent", open, func(in *Input) { in.Progress.Sent, in.Progress.SentAt = true, in.Now }, Wait},
		{"open, loads before it", open, func(in *Input) { in.Ahead = 1 }, Wait},
		{"open, new in the group", open, func(in *Input) { in.Progress.JoinedAt = in.Now - time.Second }, Wait},
		{"open, busy with another", open, func(in *Input) { in.Observed.Changing = true }, Wait},
		{"open, being carried out", open, func(in *Input) { in.Observed.LastOrder, in.Observed.Changing = "o", true }, Wait},
		{"open, carried out", open, func(in *Input) { in.Observed.LastOrder, in.Observed.Spec = "o", newSpec }, EndOrder},
		{"open, carried out, copy on its way", open, func(in *Input) { in.Observed.LastOrder, in.Progress.InFlightUntil = "o", in.Now+1 }, Wait},
		{"open, refused", open, func(in *Input) { in.Progress.RefusedReason = "no" }, EndOrder},
		{"open, engine there without it", open, func(in *Input) { in.Observed.Spec = newSpec }, SendOrder},
		{"open, not wanted any more", open, func(in *Input) { in.Desired = oldSpec }, SendOrder},
		{"open, its end appended, engine restarted", open, func(in *Input) { in.Progress.EndAppended = true }, EndOrder},
	} {
		in := Input{
			Now: time.Minute, Rule: lease.Rule{}.WithDefaults(), Fence: 5, Applied: 20,
			Desired: newSpec, HasDesired: true, Open: c.open, ObservedKnown: true, Slots: 1,
			Observed: port.EngineState{Spec: oldSpec},
		}
		c.change(&in)
		if d := Decide(in); d.Action != c.want {
			t.Errorf("%s: action %d (%s), want %d", c.name, d.Action, d.Reason, c.want)
		}
	}
}

// Guards against an engine in two groups, to which two holders would send
// conflicting orders. Two services with engines in two zones share three
// engines.
func TestGroups(t *testing.T) {
	doc := func(name string, n int) *view.Service {
		d := &document.Document{Service: name, Kind: document.KindModel}
		for i := range n {
			d.Targets = append(d.Targets, document.Target{Addr: fmt.Sprint(i), Zone: []string{"x", "y"}[i%2]})
		}
		return &view.Service{Doc: d}
	}
	groups := Groups(view.NewSnapshot(1, []*view.Service{doc("b", 3), doc("a", 40)}, nil))
	groupOf := map[string]string{}
	for _, g := range groups {
		for _, m := range g.Engines {
			if old, ok := groupOf[m.Engine]; ok {
				t.Errorf("engine %s in %s and %s", m.Engine, old, g.Name)
			}
			groupOf[m.Engine] = g.Name
		}
	}
	if got := fmt.Sprint(Names(groups)); got != "[a/x/0 a/x/1 a/y/0 a/y/1]" || len(groupOf) != 40 {
		t.Errorf("groups %s with %d engines", got, len(groupOf))
	}
}

// A target is leaving if its document drains it, if its VM is leaving, or if its
// engine reports that it is leaving.
func TestLeavingTargets(t *testing.T) {
	d := &document.Document{Service: "s", Targets: []document.Target{{Addr: "a:1"}, {Addr: "b:1", Drain: true}, {Addr: "c:1"}, {Addr: "d:1"}}}
	snap := view.NewSnapshot(1, []*view.Service{{Doc: d}}, nil)
	got := Leaving(snap, []port.VM{{Addr: "a"}, {Addr: "c", Leaving: true}}, map[string]bool{"d:1": true})
	if fmt.Sprint(got) != "map[b:1:true c:1:true d:1:true]" {
		t.Errorf("leaving %v", got)
	}
}

// Guards against a failed order that stands in the log as a success: the first
// append of its end was lost, and the repeated one had no reason.
func TestRepeatedEndKeepsItsReason(t *testing.T) {
	open := &fold.OpenOrder{ID: "o", Spec: port.EngineSpec{Model: "m", Version: "2"}}
	for name, change := range map[string]func(in *Input){
		"refused":        func(in *Input) { in.Progress.RefusedReason = "no" },
		"another spec":   func(in *Input) { in.Observed.LastOrder, in.Observed.Spec.Version = "o", "3" },
		"it carried out": func(in *Input) { in.Observed.LastOrder, in.Observed.Spec = "o", open.Spec },
	} {
		t.Run(name, func(t *testing.T) {
			in := Input{Now: time.Minute, Rule: lease.Rule{}.WithDefaults(), Fence: 5, Applied: 20, Open: open, ObservedKnown: true, Slots: 1}
			change(&in)
			first := Decide(in)
			in.Progress.RecordEnd(open, first.Reason, in.Now)
			if again := Decide(in); first.Action != EndOrder || again != first {
				t.Errorf("first %+v, again %+v", first, again)
			}
		})
	}
}
