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

// leastChanges is the number of changes of a topic that are always kept. Above
// it, no more are kept than there are keys: a listing is smaller.
const leastChanges = 64

// Tail is one topic as this daemon has read it: the newest record of each key and
// the latest changes. Records that repeat what their key said before, as
// heartbeats do, end here, so that neither next nor the daemons that read from
// this one spend anything on them. It is safe for concurrent use.
type Tail struct {
	next   topic.Sink
	same   func(a, b port.KeyedRecord) bool
	now    func() time.Duration
	packer packer

	mu       sync.Mutex
	newest   map[string]port.KeyedRecord // by key, as of its last change
	changes  []change                    // by rising offset
	complete int64                       // all changes from this offset on are in changes
	end      int64                       // offset after the newest record; -1: not known
	version  int64                       // rises with each change
	changed  chan struct{}
	lost     bool
	asOf     time.Duration // by now: all records that were written until then are in; -1: none was read
}

// change is a record that changed something, at an offset at or after its own.
type change struct {
	at     int64
	record port.KeyedRecord
}

// NewTail returns a Tail that hands changes on to next. same reports whether two
// records of a key say the same; nil: no two do.
func NewTail(next topic.Sink, same func(a, b port.KeyedRecord) bool) *Tail {
	if same == nil {
		same = func(a, b port.KeyedRecord) bool { return a.Offset == b.Offset }
	}
	return &Tail{
		next: next, same: same, now: clock.Boot{}.Now,
		newest: make(map[string]port.KeyedRecord), end: -1, asOf: -1, changed: make(chan struct{}),
	}
}

// Reset implements topic.Sink. Daemons that read from this one get what differs
// from before, so that they needn't list the topic too.
func (t *Tail) Reset(records []port.KeyedRecord, next int64) {
	t.mu.Lock()
	changes := t.difference(records, next)
	if t.end < 0 || next < t.end || next == t.end && len(changes) > 0 {
		t.changes, t.complete = nil, next
	} else {
		t.changes = append(t.changes, changes...)
	}
	clear(t.newest)
	t.note(records)
	t.version++
	t.end = next
	t.trim()
	t.wake()
	t.mu.Unlock()
	t.next.Reset(records, next)
}

// note keeps the newest record of each key. Callers hold t.mu.
func (t *Tail) note(records []port.KeyedRecord) {
	for _, r := range records {
		if r.Value == nil {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
}

// difference returns what a listing that ends at next changes. Callers hold t.mu.
func (t *Tail) difference(records []port.KeyedRecord, next int64) []change {
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
func (t *Tail) Apply(records []port.KeyedRecord) {
	changed := t.changedBy(records)
	if len(changed) > 0 {
		t.next.Apply(changed)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.end < 0 {
		t.complete = records[0].Offset
	}
	for _, r := range changed {
		t.changes = append(t.changes, change{at: r.Offset, record: r})
	}
	t.note(changed)
	t.version += int64(len(changed))
	t.end = max(t.end, records[len(records)-1].Offset+1)
	t.trim()
	t.wake()
}

// changedBy returns the records that change something.
func (t *Tail) changedBy(records []port.KeyedRecord) []port.KeyedRecord {
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
func (t *Tail) trim() {
	over := len(t.changes) - max(len(t.newest), leastChanges)
	if over <= 0 {
		return
	}
	t.complete = t.changes[over-1].at + 1
	t.changes = slices.Clone(t.changes[over:])
}

// listed is a topic as a daemon knows it.
type listed struct {
	page    port.KeyedPage
	version int64         // of the records: equal ones have the same
	readAt  time.Duration // when the store was read, from now on: negative
}

// listing is the topic as this daemon knows it; false: it never read it whole.
func (t *Tail) listing() (listed, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list()
}

// list does it. Callers hold t.mu.
func (t *Tail) list() (listed, bool) {
	l := listed{version: t.version, readAt: t.asOf - t.now()}
	l.page = port.KeyedPage{End: t.end, Records: make([]port.KeyedRecord, 0, len(t.newest))}
	for _, r := range t.newest {
		l.page.Records = append(l.page.Records, r)
	}
	return l, t.end >= 0
}

// current is the same if it may be taken for the store's; false: it is older than
// maxAge, or this daemon has lost the store.
func (t *Tail) current(maxAge time.Duration) (listed, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known := t.list()
	return l, known && !t.lost && t.asOf >= 0 && -l.readAt < maxAge
}

// await waits until this daemon has read the topic: it may only start.
func (t *Tail) await(ctx context.Context, wait time.Duration) {
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

// wake has all who wait look again. Callers hold t.mu.
func (t *Tail) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Lost implements topic.Sink.
func (t *Tail) Lost(err error) {
	t.setLost(true)
	t.next.Lost(err)
}

// Back implements topic.Sink.
func (t *Tail) Back() {
	t.setLost(false)
	t.next.Back()
}

func (t *Tail) setLost(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lost = on
	t.wake()
}

// Confirm notes that all records before the offset next were handed over, among
// them all that were written until asOf, by CLOCK_BOOTTIME.
func (t *Tail) Confirm(asOf time.Duration, next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wakes := t.asOf < 0 || t.end >= 0 && next > t.end
	t.asOf = max(t.asOf, asOf)
	if t.end >= 0 {
		t.end = max(t.end, next)
	}
	if wakes {
		t.wake()
	}
}

// Age is how old what is known of the store is; false before the first read.
func (t *Tail) Age() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now() - t.asOf, t.asOf >= 0
}

// read returns the changes from an offset on, waiting for some; ok only if what
// this daemon knows is fresh enough.
//
// The guard is against silence taken for no change: while the store doesn't
// answer this daemon, it knows nothing of what is written, and neither does one
// that has just begun to read. If it answered "nothing new", others would send
// requests to targets that left seconds before. So nothing is answered that is
// older than maxAge, or after the store was lost, and who waits gets an error at once.
//
// One that hasn't read the topic yet, or not as far as the asker has, may still
// do so within the wait: daemons that start together would otherwise all go on
// to read the store for themselves.
func (t *Tail) read(ctx context.Context, from int64, wait, maxAge time.Duration) (batch, status) {
	asked := t.now()
	for {
		v := t.look(from, asked, maxAge)
		if v.status == stale || v.status == gap || len(v.batch.changes) > 0 {
			return v.batch, v.status
		}
		rest := asked + wait - t.now()
		if rest <= 0 {
			return v.batch, v.status
		}
		ok := true
		next := time.NewTimer(min(rest, v.left))
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

// batch is the changes from an offset on, up to next, and when the store was read.
type batch struct {
	changes []change
	next    int64
	readAt  time.Duration // from the moment of the question on
}

func (b *batch) records() []port.KeyedRecord {
	out := make([]port.KeyedRecord, 0, len(b.changes))
	for i := range b.changes {
		out = append(out, b.changes[i].record)
	}
	return out
}

// status says whether a daemon can answer for records from an offset on.
type status int

const (
	stale  status = iota // what it knows is too old
	behind               // it hasn't read so far
	gap                  // it doesn't hold all changes since any more
	ok
)

// view is what is known from an offset on.
type view struct {
	status  status
	batch   batch
	left    time.Duration   // for how long that holds at most
	changed <-chan struct{} // closed at the next change
}

func (t *Tail) look(from int64, asked, maxAge time.Duration) view {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := view{left: maxAge, changed: t.changed}
	if t.lost {
		return v
	}
	if t.asOf < 0 || t.end < 0 {
		v.status = behind
		return v
	}
	v.left = t.asOf + maxAge - t.now()
	switch {
	case v.left <= 0:
	case from < t.complete:
		v.status = gap
	case from > t.end:
		v.status = behind
	default:
		v.status = ok
		first, _ := slices.BinarySearchFunc(t.changes, from, func(c change, from int64) int { return cmp.Compare(c.at, from) })
		v.batch = batch{changes: t.changes[first:len(t.changes):len(t.changes)], next: t.end, readAt: t.asOf - asked}
	}
	return v
}
