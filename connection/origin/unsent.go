package origin

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// shareDelay is the time after which the record of a stream that is still open is
	// sent to other daemons while its service has a single version. A second version
	// may appear once the stream's daemon has died. Most streams end before.
	shareDelay = 100 * time.Millisecond
	// SaveDelay is the time after which the record of an open stream is saved.
	SaveDelay = 300 * time.Millisecond
	// maxUnsent bounds the streams that wait to be shared or saved.
	maxUnsent = 1 << 14
	// maxSaved bounds the records of one save. At about 50 bytes each they fit into one
	// record of the store.
	maxSaved = 2048
	// maxHandedOver bounds the records that a daemon sends to others when it stops.
	maxHandedOver = 4096
)

// unsent are the keys of own streams whose records other daemons or the store may still
// need. It is safe for concurrent use.
type unsent struct {
	mu      sync.Mutex
	toShare []Key
	timer   bool // a timer for toShare runs
	toSave  []Key
	saved   map[Key]bool // open streams that were passed to a save
}

// addToShare queues a key and reports whether a timer has to be started.
func (u *unsent) addToShare(k Key) (start bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.toShare) < maxUnsent {
		u.toShare = append(u.toShare, k)
	}
	start, u.timer = !u.timer, true
	return start
}

func (u *unsent) takeToShare() []Key {
	u.mu.Lock()
	defer u.mu.Unlock()
	keys := u.toShare
	u.toShare, u.timer = nil, false
	return keys
}

func (u *unsent) addToSave(k Key) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.toSave) < maxUnsent {
		u.toSave = append(u.toSave, k)
	}
}

// shareOpen sends the queued records of streams that are still open.
func (t *Tracker) shareOpen() {
	var records []Record
	for _, k := range t.unsent.takeToShare() {
		if r, _, open := t.records.open(k); open {
			t.records.setShared(k)
			records = append(records, r)
		}
	}
	if len(records) > 0 {
		t.o.Peers.ShareOrigins(records)
	}
}

// Unsaved returns the records of all streams that began at this daemon and have been
// open for SaveDelay. changed reports whether some weren't in the previous result. The
// caller saves the records for the case that all daemons are lost, and calls Unsaved
// again with retry set if it failed.
func (t *Tracker) Unsaved(retry bool) (records []Record, changed bool) {
	u := &t.unsent
	u.mu.Lock()
	defer u.mu.Unlock()
	now, waiting := t.o.Now(), u.toSave[:0]
	for _, k := range u.toSave {
		_, began, open := t.records.open(k)
		switch {
		case !open || u.saved[k]:
		case now-began < SaveDelay:
			waiting = append(waiting, k)
		default:
			u.saved[k], changed = true, true
		}
	}
	u.toSave = waiting
	if !changed && !retry {
		return nil, false
	}
	for k := range u.saved {
		r, _, open := t.records.open(k)
		if !open {
			delete(u.saved, k)
			continue
		}
		records = append(records, r)
	}
	return longestKept(records, maxSaved), changed
}

// longestKept returns up to limit of the records, those with the most time left first.
func longestKept(records []Record, limit int) []Record {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(b.LeftMs, a.LeftMs) })
	return records[:min(len(records), limit)]
}

// Restore stores saved records of daemons that may be lost, and sends them to the
// daemons that keep them.
func (t *Tracker) Restore(records []Record) {
	t.Store(records)
	if t.o.Peers != nil && len(records) > 0 {
		t.o.Peers.ShareOrigins(records)
	}
}

// HandOver sends all records to the daemons that keep them, also those of streams that
// began elsewhere. It is called when this daemon stops: in a restart of all daemons in
// turn, those that were sent a record when its stream began end one after the other.
func (t *Tracker) HandOver() {
	if t.o.Peers == nil {
		return
	}
	if records := longestKept(t.records.unfinished(), maxHandedOver); len(records) > 0 {
		t.o.Peers.ShareOrigins(records)
	}
}
