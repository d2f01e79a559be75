package daemon

import (
	"fmt"
	"testing"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/standin/plain"
)

// leavingHost is the host of a target whose VM the platform removes.
const leavingHost = "127.0.42.1"

// callAll sends n calls through each daemon. All must be answered in full.
func (f *fleet) callAll(n int) {
	f.t.Helper()
	for i := range f.daemons {
		for range n {
			if a := f.call(i, "", "b"); !a.Complete {
				f.t.Fatalf("daemon %d: %+v", i, a)
			}
		}
	}
}

// Guards against calls to a target that leaves, which would be cut when its VM
// ends. The platform removes the target's VM, or an operator drains the target,
// while callers call through every daemon. All calls must go to the remaining
// target.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 3, settings.TLS{})
	vm, drained, stays := plain.New(plain.Options{Name: "vm"}), f.startPlain(), f.startPlain()
	f.run(func(string) error { return vm.Run(leavingHost + ":0") }, vm.Close)
	const doc = "service: feed\nkind: plain\nowner: o\ntargets:\n  - {name: vm, addr: %q, zone: z}\n" +
		"  - {name: drained, addr: %q, zone: z%s}\n  - {name: stays, addr: %q, zone: z}\nobjectives: {answer: 1s}\n"
	publish := func(drain string) {
		f.waitForVersion("feed", f.publish("feed", fmt.Sprintf(doc, vm.Addr(), drained.Addr(), drain, stays.Addr())))
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
			eventually(t, "the target gets work", func() bool { f.callAll(1); return c.target.Record().Runs > 0 })
			c.leave()
			for i, d := range f.daemons {
				eventually(t, fmt.Sprintf("daemon %d knows that the target leaves", i), func() bool {
					return d.view.Load().Leaving[c.target.Addr()]
				})
			}
			before, kept := c.target.Record().Runs, stays.Record().Runs
			f.callAll(20)
			if n := c.target.Record().Runs - before; n != 0 {
				t.Errorf("%d calls went to the target that leaves", n)
			}
			if stays.Record().Runs == kept {
				t.Error("the target that stays got nothing")
			}
		})
	}
}
