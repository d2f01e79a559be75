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
	// maxUnsent bounds the streams that wait to be shared.
	maxUnsent = 1 << 14
	// maxHandedOver bounds the records that a daemon sends to others when it stops.
	maxHandedOver = 4096
)

// unsent are the keys of own streams whose records other daemons may still need. It is safe for concurrent use.
type unsent struct {
	mu      sync.Mutex
	toShare []Key
	timer   bool // a timer for toShare runs
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

// longestKept returns up to limit of the records, those with the most time left first.
func longestKept(records []Record, limit int) []Record {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(b.LeftMs, a.LeftMs) })
	return records[:min(len(records), limit)]
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
