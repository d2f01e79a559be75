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

// An engine gets a change twice, a change that is over, or two at once, if one
// of these decisions is wrong. Each case differs from a plain one in one thing.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name   string
		open   *fold.OpenOrder
		change func(*Input)
		want   Action
	}{
		{"differs", nil, func(*Input) {}, Log},
		{"as it should be", nil, func(in *Input) { in.Seen.Spec = newSpec }, Wait},
		{"drained", nil, func(in *Input) { in.Wanted = false }, Wait},
		{"leaving", nil, func(in *Input) { in.Seen.Leaving = true }, Wait},
		{"changing without an order", nil, func(in *Input) { in.Seen.Changing = true }, Wait},
		{"doesn't answer", nil, func(in *Input) { in.Known = false }, Wait},
		{"new in the group", nil, func(in *Input) { in.Memory.Since = in.Now - time.Second }, Wait},
		{"copy of the last order on its way", nil, func(in *Input) { in.Memory.Quiet = in.Now + 1 }, Wait},
		{"no slot for a load", nil, func(in *Input) { in.Ahead = 1 }, Wait},
		{"no slot, role only", nil, func(in *Input) { in.Ahead = 1; in.Want = oldSpec; in.Want.Role = port.RoleDecode }, Log},
		{"came after the claim", nil, func(in *Input) { in.Memory.Moved = 6 }, Reclaim},
		{"fence behind", nil, func(in *Input) { in.Seen.LastFence = 9 }, Reclaim},
		{"fence from nowhere", nil, func(in *Input) { in.Seen.LastFence = 1 << 40 }, Log},

		{"open", open, func(*Input) {}, Send},
		{"open, just sent", open, func(in *Input) { in.Memory.Sent, in.Memory.SentAt = true, in.Now }, Wait},
		{"open, loads before it", open, func(in *Input) { in.Ahead = 1 }, Wait},
		{"open, new in the group", open, func(in *Input) { in.Memory.Since = in.Now - time.Second }, Wait},
		{"open, busy with another", open, func(in *Input) { in.Seen.Changing = true }, Wait},
		{"open, being carried out", open, func(in *Input) { in.Seen.LastOrder, in.Seen.Changing = "o", true }, Wait},
		{"open, carried out", open, func(in *Input) { in.Seen.LastOrder, in.Seen.Spec = "o", newSpec }, Done},
		{"open, carried out, copy on its way", open, func(in *Input) { in.Seen.LastOrder, in.Memory.Quiet = "o", in.Now+1 }, Wait},
		{"open, refused", open, func(in *Input) { in.Memory.Refused = "no" }, Done},
		{"open, engine there without it", open, func(in *Input) { in.Seen.Spec = newSpec }, Send},
		{"open, not wanted any more", open, func(in *Input) { in.Want = oldSpec }, Send},
		{"open, its end appended, engine restarted", open, func(in *Input) { in.Memory.Ending = true }, Done},
	} {
		in := Input{
			Now: time.Minute, Rule: lease.Rule{}.WithDefaults(), Fence: 5, Applied: 20,
			Want: newSpec, Wanted: true, Open: c.open, Known: true, Slots: 1,
			Seen: port.EngineState{Spec: oldSpec},
		}
		c.change(&in)
		if d := Decide(in); d.Action != c.want {
			t.Errorf("%s: action %d (%s), want %d", c.name, d.Action, d.Why, c.want)
		}
	}
}

// Forty engines in two zones and two services, one engine in both. Every
// engine must be in one group, or two holders would order it in turns.
func TestGroups(t *testing.T) {
	doc := func(name string, n int) *view.Service {
		d := &document.Document{Service: name, Kind: document.KindModel}
		for i := range n {
			d.Targets = append(d.Targets, document.Target{Addr: fmt.Sprint(i), Zone: []string{"x", "y"}[i%2]})
		}
		return &view.Service{Doc: d}
	}
	groups := Groups(view.NewSnapshot(1, []*view.Service{doc("b", 3), doc("a", 40)}, nil))
	seen := map[string]string{}
	for _, g := range groups {
		for _, m := range g.Engines {
			if old, ok := seen[m.Engine]; ok {
				t.Errorf("engine %s in %s and %s", m.Engine, old, g.Name)
			}
			seen[m.Engine] = g.Name
		}
	}
	if got := fmt.Sprint(Names(groups)); got != "[a/x/0 a/x/1 a/y/0 a/y/1]" || len(seen) != 40 {
		t.Errorf("groups %s with %d engines", got, len(seen))
	}
}

// A target leaves by its document, by the VM list or by its own word. Each
// must take it out of the traffic.
func TestLeaving(t *testing.T) {
	d := &document.Document{Service: "s", Targets: []document.Target{{Addr: "a:1"}, {Addr: "b:1", Drain: true}, {Addr: "c:1"}, {Addr: "d:1"}}}
	snap := view.NewSnapshot(1, []*view.Service{{Doc: d}}, nil)
	got := Leaving(snap, []port.VM{{Addr: "a"}, {Addr: "c", Leaving: true}}, map[string]bool{"d:1": true})
	if fmt.Sprint(got) != "map[b:1:true c:1:true d:1:true]" {
		t.Errorf("leaving %v", got)
	}
}
