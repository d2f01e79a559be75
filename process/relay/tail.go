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
	next topic.Sink
	now  func() time.Duration

	mu      sync.Mutex
	newest  map[string]port.KeyedRecord // of each key
	records []port.KeyedRecord          // without gaps
	end     int64                       // offset after the newest; -1: not known
	changed chan struct{}
	lost    bool
	heard   bool
	asOf    time.Duration // by now: the records are all that were written until then
}

// NewTail returns a Tail that hands all on to next.
func NewTail(next topic.Sink) *Tail {
	return &Tail{next: next, now: clock.Boot{}.Now, end: -1, changed: make(chan struct{}), newest: make(map[string]port.KeyedRecord)}
}

// Reset implements topic.Sink. A listing lacks the records that newer ones of
// their keys replaced, so only what follows it is held.
func (t *Tail) Reset(records []port.KeyedRecord, next int64) {
	t.mu.Lock()
	t.records, t.end = nil, next
	clear(t.newest)
	t.note(records)
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
	page := port.KeyedPage{End: t.end, Relayed: true}
	for _, r := range t.newest {
		page.Records = append(page.Records, r)
	}
	return page, t.end >= 0
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
}

// Confirm notes that all records written until asOf, by CLOCK_BOOTTIME, were
// handed over.
func (t *Tail) Confirm(asOf time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = true
	t.asOf = max(t.asOf, asOf)
}

// Age is how old the newest word of the store is; false before the first.
func (t *Tail) Age() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now() - t.asOf, t.heard
}

// read returns the records from an offset on, waiting for some; false when
// this daemon can't say.
func (t *Tail) read(ctx context.Context, from int64, wait time.Duration) (batch, bool) {
	asked := t.now()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		t.mu.Lock()
		changed, lost, end := t.changed, t.lost, t.end
		out := batch{Heard: t.asOf - asked}
		first := end - int64(len(t.records))
		if from >= first && from < end {
			out.Records = append(out.Records, t.records[from-first:]...)
		}
		t.mu.Unlock()
		if lost || end < 0 || from < first || from > end {
			return batch{}, false
		}
		if len(out.Records) > 0 {
			return out, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return out, true
		case <-ctx.Done():
			return batch{}, false
		}
	}
}
