package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/topic"
)

// minChanges is the number of changes of a topic that are always kept. Beyond
// it, at most as many changes are kept as there are keys, since a listing would
// be smaller.
const minChanges = 64

// TopicCache caches one topic as this daemon has read it: the newest record of
// each key and the latest changes. It drops records that don't change their
// key's content, such as heartbeats, so that neither the next sink nor the
// daemons that read from this one process them. It is safe for concurrent use.
type TopicCache struct {
	next   topic.Sink
	same   func(a, b port.KeyedRecord) bool
	now    func() time.Duration
	packer packer

	mu            sync.Mutex
	newest        map[string]port.KeyedRecord // by key; the record of the last change
	changes       []change                    // by increasing offset
	firstComplete int64                       // changes holds all changes from this offset on
	end           int64                       // offset after the newest record; -1 if unknown
	version       int64                       // increases with each change
	changed       chan struct{}
	lost          bool
	asOf          time.Duration // all records written up to then, by now, are included; -1 before the first read
	available     time.Duration // the store is known to have been available from then to asOf
}

// change is a record that changed its key's content. Its offset is that of the
// record or, for changes found by a listing, a later one.
type change struct {
	at     int64
	record port.KeyedRecord
}

// NewTopicCache returns a TopicCache that passes changes on to next. same
// reports whether two records of a key have the same content; nil means that
// all records differ.
func NewTopicCache(next topic.Sink, same func(a, b port.KeyedRecord) bool) *TopicCache {
	if same == nil {
		same = func(a, b port.KeyedRecord) bool { return a.Offset == b.Offset }
	}
	return &TopicCache{
		next: next, same: same, now: clock.Boot{}.Now,
		newest: make(map[string]port.KeyedRecord), end: -1, asOf: -1, changed: make(chan struct{}),
	}
}

// Reset implements topic.Sink. Daemons that read from this one get the
// differences from the previous content, so that they needn't list the topic
// too.
func (t *TopicCache) Reset(records []port.KeyedRecord, next int64) {
	t.mu.Lock()
	changes := t.diff(records, next)
	if t.end < 0 || next < t.end || next == t.end && len(changes) > 0 {
		t.changes, t.firstComplete = nil, next
	} else {
		t.changes = append(t.changes, changes...)
	}
	clear(t.newest)
	t.updateNewest(records)
	t.version++
	t.end = next
	t.trim()
	t.notify()
	t.mu.Unlock()
	t.next.Reset(records, next)
}

// updateNewest stores the newest record of each key. Callers hold t.mu.
func (t *TopicCache) updateNewest(records []port.KeyedRecord) {
	for _, r := range records {
		if r.Value == nil {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
}

// diff returns the changes between the current content and a listing that ends
// at next. Callers hold t.mu.
func (t *TopicCache) diff(records []port.KeyedRecord, next int64) []change {
	var out []change
	present := make(map[string]bool, len(records))
	for _, r := range records {
		if r.Value == nil {
			continue
		}
		present[r.Key] = true
		if old, known := t.newest[r.Key]; !known || !t.same(old, r) {
			out = append(out, change{at: max(r.Offset, t.end), record: r})
		}
	}
	for key := range t.newest {
		if !present[key] {
			out = append(out, change{at: next - 1, record: port.KeyedRecord{Key: key, Offset: next - 1}})
		}
	}
	slices.SortStableFunc(out, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	return out
}

// Apply implements topic.Sink.
func (t *TopicCache) Apply(records []port.KeyedRecord) {
	changed := t.filterChanged(records)
	if len(changed) > 0 {
		t.next.Apply(changed)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.end < 0 {
		t.firstComplete = records[0].Offset
	}
	for _, r := range changed {
		t.changes = append(t.changes, change{at: r.Offset, record: r})
	}
	t.updateNewest(changed)
	t.version += int64(len(changed))
	t.end = max(t.end, records[len(records)-1].Offset+1)
	t.trim()
	t.notify()
}

// filterChanged returns the records that change the content of their key.
func (t *TopicCache) filterChanged(records []port.KeyedRecord) []port.KeyedRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []port.KeyedRecord
	latest := make(map[string]port.KeyedRecord)
	for _, r := range records {
		old, known := latest[r.Key]
		if !known {
			old, known = t.newest[r.Key]
		}
		if known && old.Value != nil && r.Value != nil && t.same(old, r) {
			continue
		}
		latest[r.Key] = r
		out = append(out, r)
	}
	return out
}

// trim drops the oldest changes. Callers hold t.mu.
func (t *TopicCache) trim() {
	over := len(t.changes) - max(len(t.newest), minChanges)
	if over <= 0 {
		return
	}
	t.firstComplete = t.changes[over-1].at + 1
	t.changes = slices.Clone(t.changes[over:])
}

// cachedListing is the content of a topic as cached by a daemon.
type cachedListing struct {
	page         port.KeyedPage
	version      int64         // of the records; the same version means the same records
	readAt       time.Duration // when the store was read, relative to now (negative)
	availableFor time.Duration // how long the store is known to have been available up to then
}

// listing returns the cached topic. The result is false if this daemon never
// read it as a whole.
func (t *TopicCache) listing() (cachedListing, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listLocked()
}

// listLocked is listing for callers that hold t.mu.
func (t *TopicCache) listLocked() (cachedListing, bool) {
	l := cachedListing{version: t.version, readAt: t.asOf - t.now(), availableFor: t.availableFor()}
	l.page = port.KeyedPage{End: t.end, Records: make([]port.KeyedRecord, 0, len(t.newest))}
	for _, r := range t.newest {
		l.page.Records = append(l.page.Records, r)
	}
	return l, t.end >= 0
}

// current returns the cached topic if it is fresh enough to be used in place of
// the store's. The result is false if it is at least maxAge old or this daemon
// has lost the store.
func (t *TopicCache) current(maxAge time.Duration) (cachedListing, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known := t.listLocked()
	return l, known && !t.lost && t.asOf >= 0 && -l.readAt < maxAge
}

// awaitFirstRead waits until this daemon, which may just have started, has read
// the topic.
func (t *TopicCache) awaitFirstRead(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		t.mu.Lock()
		read, changed := t.asOf >= 0 && t.end >= 0, t.changed
		t.mu.Unlock()
		if read {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// notify wakes up all goroutines that wait for a change. Callers hold t.mu.
func (t *TopicCache) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// StoreLost implements topic.Sink.
func (t *TopicCache) StoreLost(err error) {
	t.setStoreLost(true)
	t.next.StoreLost(err)
}

// StoreRecovered implements topic.Sink.
func (t *TopicCache) StoreRecovered() {
	t.setStoreLost(false)
	t.next.StoreRecovered()
}

func (t *TopicCache) setStoreLost(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = on
	t.notify()
}

// Confirm records that all records before the offset next were passed to this
// TopicCache, including all that were written up to asOf, by CLOCK_BOOTTIME, and
// that the store was available from availableSince to asOf.
func (t *TopicCache) Confirm(asOf, availableSince time.Duration, next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asOf, t.available = max(t.asOf, asOf), availableSince
	if t.end >= 0 {
		t.end = max(t.end, next)
	}
	t.notify()
}

// CoveredSince reports whether a time is before the end of the cached data.
func (t *TopicCache) CoveredSince(at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.asOf >= 0 && at <= t.asOf
}

// availableFor returns how long, up to the end of the cached data, the store is
// known to have been available. Callers hold t.mu.
func (t *TopicCache) availableFor() time.Duration {
	return max(t.asOf-t.available, 0)
}

// nextOffset returns the offset after the newest record, or false before the first listing.
func (t *TopicCache) nextOffset() (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.end, t.end >= 0
}

// Age returns the age of the cached data. The result is false before the first
// read.
func (t *TopicCache) Age() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now() - t.asOf, t.asOf >= 0
}

// read returns the changes from an offset on and waits for some if there are
// none. The status is ok only if the cached data is fresh enough.
//
// A lack of data must not be taken for a lack of changes. A daemon that the
// store doesn't answer, or that has just begun to read, can't know what was
// written. If it answered that nothing is new, other daemons would send
// requests to targets that left seconds before. So read returns no data that is
// at least maxAge old or that precedes a loss of the store, and a waiting
// reader gets an error at once.
//
// A daemon that hasn't read the topic yet, or not as far as the requester, may
// catch up within the wait. Otherwise all daemons that start together would
// read the store themselves.
//
// It also returns when the store was read again at least settle after the start.
// The requester then knows of no changes as of that read. If it waited for a fixed
// time instead, its data would be up to two waits old: the reader's and its own.
func (t *TopicCache) read(ctx context.Context, from int64, wait, settle, maxAge time.Duration) (batch, status) {
	start := t.now()
	known := start + t.readFrom(from, start, maxAge).batch.readAt
	for {
		v := t.readFrom(from, start, maxAge)
		if v.status == stale || v.status == gap || len(v.batch.changes) > 0 {
			return v.batch, v.status
		}
		if v.status == ok && start+v.batch.readAt > known && t.now() >= start+settle {
			return v.batch, v.status
		}
		rest := start + wait - t.now()
		if rest <= 0 {
			return v.batch, v.status
		}
		ok := true
		next := time.NewTimer(min(rest, v.validFor))
		select {
		case <-v.changed:
		case <-next.C:
		case <-ctx.Done():
			ok = false
		}
		next.Stop()
		if !ok {
			return batch{}, stale
		}
	}
}

// batch is the changes from an offset up to next.
type batch struct {
	changes []change
	next    int64
	readAt  time.Duration // when the store was read, relative to the request
	// availableFor is how long the store is known to have been available up to
	// readAt.
	availableFor time.Duration
}

func (b *batch) records() []port.KeyedRecord {
	out := make([]port.KeyedRecord, 0, len(b.changes))
	for i := range b.changes {
		out = append(out, b.changes[i].record)
	}
	return out
}

// status reports whether a daemon can return the records from an offset on.
type status int

const (
	stale  status = iota // the cached data is too old
	behind               // the daemon hasn't read up to the offset yet
	gap                  // the daemon no longer holds all changes from the offset on
	ok
)

// view is the cached data from an offset on.
type view struct {
	status   status
	batch    batch
	validFor time.Duration   // the longest that the view stays valid
	changed  <-chan struct{} // closed at the next change
}

func (t *TopicCache) readFrom(from int64, start, maxAge time.Duration) view {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := view{validFor: maxAge, changed: t.changed}
	if t.lost {
		return v
	}
	if t.asOf < 0 || t.end < 0 {
		v.status = behind
		return v
	}
	v.validFor = t.asOf + maxAge - t.now()
	switch {
	case v.validFor <= 0:
	case from < t.firstComplete:
		v.status = gap
	case from > t.end:
		v.status = behind
	default:
		v.status = ok
		first, _ := slices.BinarySearchFunc(t.changes, from, func(c change, from int64) int { return cmp.Compare(c.at, from) })
		v.batch = batch{changes: t.changes[first:len(t.changes):len(t.changes)], next: t.end, readAt: t.asOf - start, availableFor: t.availableFor()}
	}
	return v
}
