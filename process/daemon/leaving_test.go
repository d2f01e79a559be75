package daemon

import (
	"fmt"
	"testing"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/standin/plain"
)

// leavingHost is the VM of a target that the platform takes away.
const leavingHost = "127.0.42.1"

// spread sends n calls through each daemon; all must be answered whole.
func (f *fleet) spread(n int) {
	f.t.Helper()
	for i := range f.daemons {
		for range n {
			if a := f.call(i, "", "b"); !a.Whole {
				f.t.Fatalf("daemon %d: %+v", i, a)
			}
		}
	}
}

// The platform takes a target's VM away, or an operator drains the target.
// Callers go on calling, through every daemon. A call that still went to the
// target would be cut when its VM ends, so all go to the one that stays.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 3, settings.TLS{})
	vm, drained, stays := plain.New(plain.Options{Name: "vm"}), f.plain(), f.plain()
	f.run(func(string) error { return vm.Run(leavingHost + ":0") }, vm.Close)
	const doc = "service: feed\nkind: plain\nowner: o\ntargets:\n  - {name: vm, addr: %q, zone: z}\n" +
		"  - {name: drained, addr: %q, zone: z%s}\n  - {name: stays, addr: %q, zone: z}\nobjectives: {answer: 1s}\n"
	publish := func(drain string) {
		f.inForce("feed", f.publish("feed", fmt.Sprintf(doc, vm.Addr(), drained.Addr(), drain, stays.Addr())))
	}
	publish("")
	cases := []struct {
		name   string
		target *plain.Service
		leave  func()
	}{
		{"the VM list shows its VM leaving", vm, func() {
			f.vms.Put(port.VM{ID: "vm-t", Addr: leavingHost, Zone: "z", Leaving: true})
		}},
		{"the document drains it", drained, func() { publish(", drain: true") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			eventually(t, "the target gets work", func() bool { f.spread(1); return c.target.Record().Runs > 0 })
			c.leave()
			for i, d := range f.daemons {
				eventually(t, fmt.Sprintf("daemon %d knows that the target leaves", i), func() bool {
					return d.view.Load().Leaving[c.target.Addr()]
				})
			}
			before, kept := c.target.Record().Runs, stays.Record().Runs
			f.spread(20)
			if n := c.target.Record().Runs - before; n != 0 {
				t.Errorf("%d calls went to the target that leaves", n)
			}
			if stays.Record().Runs == kept {
				t.Error("the target that stays got nothing")
			}
		})
	}
}
