package roster

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against calls to the store that grow faster than the fleet as it starts,
// and against a fleet whose daemons don't find each other by its contacts.
func TestFewContactsFindAWholeFleet(t *testing.T) {
	const size = 300
	withLarge(t, size, 5, func(t *testing.T, d *daemons) {
		d.expect(t, size, "after the start", nil)
		if d.store.puts > size/4 || len(d.store.records) < leastContacts || d.store.lists > 2*size+2*d.store.puts {
			t.Errorf("%d writes, %d listings, %d contacts", d.store.puts, d.store.lists, len(d.store.records))
		}
	})
}

// Guards against a daemon that finds only contacts that are gone, and that nobody
// finds.
func TestContactsThatAreGoneAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons()
		for vm := range 30 {
			d.add(vm+1, 1)
		}
		rest(5 * time.Second)
		d.stop()
		d.all = nil
		gone := d.store.puts
		for vm := range 3 {
			d.add(vm+101, 1)
		}
		defer d.stop()
		rest(2*unheardAfter + forgetAfter)
		if d.store.puts != gone+3 {
			t.Errorf("%d of 3 daemons wrote themselves", d.store.puts-gone)
		}
		d.expect(t, 3, "after the contacts were replaced", nil)
	})
}
