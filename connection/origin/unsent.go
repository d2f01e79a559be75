package origin

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// shareDelay is the time after which the record of a stream that is still open is
	// sent to other daemons while its service has a single version. A second version
	// may appear once the stream's daemon has died. Most streams end before.
	shareDelay = 100 * time.Millisecond
	// saveDelay is the time after which the record of an open stream is saved.
	saveDelay = 300 * time.Millisecond
	// maxUnsent bounds the streams that wait to be shared or saved.
	maxUnsent = 1 << 14
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

// Unsaved returns the encoded records of the streams that began at this daemon and have
// been open for saveDelay, if there are new ones. It implements saved.State.
func (t *Tracker) Unsaved(retry bool, maxBytes int) ([]byte, error) {
	records := t.unsaved(retry)
	if len(records) == 0 {
		return nil, nil
	}
	for {
		data, err := cbor.Marshal(records)
		if err != nil {
			return nil, fmt.Errorf("origin: encode records: %w", err)
		}
		if len(data) <= maxBytes {
			return data, nil
		}
		records = longestKept(records, len(records)/2)
	}
}

// unsaved returns all records to save if there are new ones or retry is set.
func (t *Tracker) unsaved(retry bool) (records []Record) {
	u := &t.unsent
	u.mu.Lock()
	defer u.mu.Unlock()
	changed := retry
	now, waiting := t.o.Now(), u.toSave[:0]
	for _, k := range u.toSave {
		_, began, open := t.records.open(k)
		switch {
		case !open || u.saved[k]:
		case now-began < saveDelay:
			waiting = append(waiting, k)
		default:
			u.saved[k], changed = true, true
		}
	}
	u.toSave = waiting
	if !changed {
		return nil
	}
	for k := range u.saved {
		r, _, open := t.records.open(k)
		if !open {
			delete(u.saved, k)
			continue
		}
		records = append(records, r)
	}
	return records
}

// Restore stores the saved records of a daemon that may be lost, and sends them to the
// daemons that keep them. It implements saved.State.
func (t *Tracker) Restore(data []byte, age time.Duration, _ bool) (adopted bool, err error) {
	records, err := decodeSaved(data, age)
	if err != nil {
		return false, err
	}
	t.Store(records)
	if t.o.Peers != nil && len(records) > 0 {
		t.o.Peers.ShareOrigins(records)
	}
	return false, nil
}

// Expired implements saved.State.
func (t *Tracker) Expired(data []byte, age time.Duration) bool {
	records, err := decodeSaved(data, age)
	return err == nil && len(records) == 0
}

// decodeSaved returns the records that are still kept after the given time.
func decodeSaved(data []byte, age time.Duration) (out []Record, err error) {
	var records []Record
	if err := cbor.Unmarshal(data, &records); err != nil {
		return nil, fmt.Errorf("origin: decode saved records: %w", err)
	}
	for _, r := range records {
		if left := time.Duration(r.LeftMs)*time.Millisecond - age; left > 0 {
			out = append(out, r.withTimeLeft(left))
		}
	}
	return out, nil
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
