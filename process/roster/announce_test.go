package roster

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against calls to the store that grow faster than the fleet while it starts, and
// against daemons that don't find each other by the contacts.
func TestFewContactsSufficeForWholeFleet(t *testing.T) {
	const size = 300
	withLarge(t, size, 5, func(t *testing.T, d *testFleet) {
		d.expect(t, size, "after the start", nil)
		if d.store.puts > size/4 || len(d.store.records) < minContacts || d.store.lists > 2*size+2*d.store.puts {
			t.Errorf("%d writes, %d listings, %d contacts", d.store.puts, d.store.lists, len(d.store.records))
		}
	})
}

// Guards against a daemon that finds only contacts that are gone, and that no other daemon
// finds.
func TestContactsThatAreGoneAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons()
		for vm := range 30 {
			d.add(vm+1, 1)
		}
		sleep(5 * time.Second)
		d.stop()
		d.all = nil
		gone := d.store.puts
		for vm := range 3 {
			d.add(vm+101, 1)
		}
		defer d.stop()
		sleep(2*noContactTimeout + peerExpiry)
		if d.store.puts != gone+3 {
			t.Errorf("%d of 3 daemons wrote themselves", d.store.puts-gone)
		}
		d.expect(t, 3, "after the contacts were replaced", nil)
	})
}
