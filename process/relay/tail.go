package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/topic"
)

// keep is the number of records of a topic that a reader holds for others:
// some seconds of the targets' heartbeats. Whoever wants older ones reads the
// store.
const keep = 2048

// Tail is the newest records of one topic as this daemon has read them. It is
// the topic.Sink before another one, and safe for concurrent use.
type Tail struct {
	next   topic.Sink
	now    func() time.Duration
	packer packer

	mu      sync.Mutex
	newest  map[string]port.KeyedRecord // of each key
	records []port.KeyedRecord          // without gaps
	end     int64                       // offset after the newest; -1: not known
	changed chan struct{}
	lost    bool
	asOf    time.Duration // by now: the records are all that were written until then; -1: nothing was heard
}

// NewTail returns a Tail that hands all on to next.
func NewTail(next topic.Sink) *Tail {
	return &Tail{next: next, now: clock.Boot{}.Now, end: -1, asOf: -1, changed: make(chan struct{}), newest: make(map[string]port.KeyedRecord)}
}

// Reset implements topic.Sink. A listing lacks the records that newer ones of
// their keys replaced, so only what follows it is held.
func (t *Tail) Reset(records []port.KeyedRecord, next int64) {
	t.mu.Lock()
	t.records, t.end = nil, next
	clear(t.newest)
	t.note(records)
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

// listing is the topic as this daemon knows it; false: it never read it whole.
func (t *Tail) listing() (port.KeyedPage, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.page()
}

// page does it. Callers hold t.mu.
func (t *Tail) page() (port.KeyedPage, bool) {
	page := port.KeyedPage{End: t.end, Relayed: true}
	for _, r := range t.newest {
		page.Records = append(page.Records, r)
	}
	return page, t.end >= 0
}

// current is the same for others to take as the store's, with how long ago the
// store was heard; false: that is too long ago, or the store is lost.
func (t *Tail) current(maxAge time.Duration) (page port.KeyedPage, heard time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	page, ok = t.page()
	page.Relayed = false
	heard = t.asOf - t.now()
	return page, heard, ok && !t.lost && t.asOf >= 0 && -heard < maxAge
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

// Apply implements topic.Sink.
func (t *Tail) Apply(records []port.KeyedRecord) {
	t.next.Apply(records)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.end != records[0].Offset {
		t.records = nil
	}
	t.note(records)
	t.records = append(t.records, records...)
	if over := len(t.records) - keep; over > 0 {
		t.records = append([]port.KeyedRecord(nil), t.records[over:]...)
	}
	t.end = records[len(records)-1].Offset + 1
	t.wake()
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

// Confirm notes that all records written until asOf, by CLOCK_BOOTTIME, were
// handed over.
func (t *Tail) Confirm(asOf time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.asOf < 0
	t.asOf = max(t.asOf, asOf)
	if first {
		t.wake()
	}
}

// Age is how old the newest word of the store is; false before the first.
func (t *Tail) Age() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now() - t.asOf, t.asOf >= 0
}

// read returns the records from an offset on, waiting for some; false when
// this daemon can't say.
//
// The guard is against silence taken for no news: while the store doesn't
// answer this daemon, it knows nothing of what is written, and neither does
// one that has just begun to read for others. Told "nothing new", the others
// would send requests to targets that left seconds before. So the word of a
// daemon that heard nothing for maxAge, or knows that it lost the store,
// doesn't count, and who waits for it is told at once.
//
// One that hasn't read the topic yet, or not as far as the asker has, may still
// do so within the wait: daemons that start together would otherwise all go on
// to read the store for themselves.
func (t *Tail) read(ctx context.Context, from int64, wait, maxAge time.Duration) (batch, word) {
	asked := t.now()
	for {
		v := t.look(from, asked, maxAge)
		if v.word == useless || v.word == gap || len(v.batch.records) > 0 {
			return v.batch, v.word
		}
		rest := asked + wait - t.now()
		if rest <= 0 {
			return v.batch, v.word
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
			return batch{}, useless
		}
	}
}

// batch is the records from an offset on, and when the store was heard.
type batch struct {
	records []port.KeyedRecord
	heard   time.Duration // from the moment of the question on
}

// word says what a daemon's word on records from an offset on is worth.
type word int

const (
	useless word = iota // too old
	notYet              // nothing was read so far, or not as far
	gap                 // records in between aren't held any more
	counts
)

// view is what is known from an offset on.
type view struct {
	word    word
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
		v.word = notYet
		return v
	}
	v.left = t.asOf + maxAge - t.now()
	first := t.end - int64(len(t.records))
	switch {
	case v.left <= 0:
	case from < first:
		v.word = gap
	case from > t.end:
		v.word = notYet
	default:
		v.word = counts
		v.batch = batch{heard: t.asOf - asked}
		v.batch.records = append(v.batch.records, t.records[from-first:]...)
	}
	return v
}
