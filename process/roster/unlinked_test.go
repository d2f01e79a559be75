package roster

import (
	"testing"
	"time"
)

// Guards against callers that are sent to daemons without links to the targets,
// and against such a daemon leading: its orders wouldn't arrive.
func TestDaemonsWithoutLinksAreAvoided(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *testFleet) {
		set := func(on bool, vms ...int) {
			for _, vm := range vms {
				f.unlinked[vm].Store(on)
			}
			time.Sleep(2 * heartbeatInterval)
		}
		set(true, 1, 2)
		for i, r := range f.all {
			if addrs(r) != 3 {
				t.Errorf("two without links: daemon %d names %d daemons", i, addrs(r))
			}
			if lead := i == 2; r.MayLead() != lead || r.Leaders(1)[0].VM != "vm003" || !r.Ready() {
				t.Errorf("two without links: daemon %d leads %v, ready %v, %s leads", i, r.MayLead(), r.Ready(), r.Leaders(1)[0].VM)
			}
			if len(r.ReadyPeers()) != 4 {
				t.Errorf("two without links: daemon %d has %d peers", i, len(r.ReadyPeers()))
			}
		}
		set(true, 3)
		for i, r := range f.all {
			if addrs(r) != 5 {
				t.Errorf("most without links: daemon %d names %d daemons", i, addrs(r))
			}
		}
		set(true, 4, 5)
		if !f.all[0].MayLead() || f.all[3].MayLead() {
			t.Error("nobody leads while all are without links")
		}
		set(false, 1, 2, 3, 4, 5)
		for i, r := range f.all {
			if addrs(r) != 5 || r.MayLead() != (i == 0) {
				t.Errorf("links are back: daemon %d names %d daemons, leads %v", i, addrs(r), r.MayLead())
			}
		}
	})
}
