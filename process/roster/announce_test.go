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
	withLargeFleet(t, size, 5, func(t *testing.T, f *testFleet) {
		f.expect(t, size, "after the start", nil)
		if f.store.puts > size/4 || len(f.store.records) < minContacts || f.store.lists > 2*size+2*f.store.puts {
			t.Errorf("%d writes, %d listings, %d contacts", f.store.puts, f.store.lists, len(f.store.records))
		}
	})
}

// Guards against a daemon that finds only contacts that are gone, and that no other daemon
// finds.
func TestContactsThatAreGoneAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		for vm := range 30 {
			f.add(vm+1, 1)
		}
		sleep(5 * time.Second)
		f.stop()
		f.all = nil
		before := f.store.puts
		for vm := range 3 {
			f.add(vm+101, 1)
		}
		defer f.stop()
		sleep(2*noContactTimeout + peerExpiry)
		if f.store.puts != before+3 {
			t.Errorf("%d of 3 daemons wrote themselves", f.store.puts-before)
		}
		f.expect(t, 3, "after the contacts were replaced", nil)
	})
}
