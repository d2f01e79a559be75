package origin

import (
	"container/list"
	"math"
	"sync"
	"time"
)

// maxRecords bounds the records that a daemon keeps. At 100 bytes each they take
// a few megabytes.
const maxRecords = 1 << 16

// table holds the records that a daemon knows, its own and those of others. If it
// is full, the owner with the most records loses its oldest one, so that no
// organisation can push out the records of others. It is safe for concurrent use.
type table struct {
	now func() time.Duration
	max int

	mu      sync.Mutex
	byKey   map[Key]*list.Element // of *entry
	byOwner map[uint64]*list.List // the oldest first
}

// entry is one record with its state at this daemon.
type entry struct {
	record   Record
	service  string        // set for own records
	began    time.Duration // when an own record was stored last, by now
	own      bool          // the stream began or went on at this daemon
	complete bool          // the stream has ended whole, so that it isn't taken up
	conflict bool          // there are records of the stream with different versions
	expires  time.Duration // by now
	shared   time.Duration // when it was last sent to other daemons; neverShared: it wasn't
}

// neverShared is before all times.
const neverShared = math.MinInt64

func newTable(now func() time.Duration, limit int) *table {
	return &table{now: now, max: limit, byKey: make(map[Key]*list.Element), byOwner: make(map[uint64]*list.List)}
}

// put stores a record or extends its lifetime. service is empty for a record of
// another daemon.
func (t *table) put(r Record, service string, lifetime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if el := t.byKey[r.Key]; el != nil {
		e := el.Value.(*entry)
		e.conflict = e.conflict || e.record.Software != r.Software
		e.expires = max(e.expires, now+lifetime)
		if service != "" {
			e.own, e.service, e.complete, e.began = true, service, false, now
		}
		return
	}
	t.removeExpired(r.Owner, now)
	if len(t.byKey) >= t.max {
		t.removeOldest(t.largestOwner())
	}
	records := t.byOwner[r.Owner]
	if records == nil {
		records = list.New()
		t.byOwner[r.Owner] = records
	}
	t.byKey[r.Key] = records.PushBack(&entry{record: r, service: service, own: service != "", began: now, expires: now + lifetime, shared: neverShared})
}

// open returns the own record of a stream that hasn't ended whole, and when it was
// stored.
func (t *table) open(k Key) (r Record, began time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	el := t.byKey[k]
	if el == nil {
		return Record{}, 0, false
	}
	e := el.Value.(*entry)
	now := t.now()
	if !e.own || e.complete || e.conflict || now >= e.expires {
		return Record{}, 0, false
	}
	return e.record.withTimeLeft(e.expires - now), e.began, true
}

// unfinished returns the records of streams that may be taken up, own ones and those of
// others.
func (t *table) unfinished() (out []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, el := range t.byKey {
		if e := el.Value.(*entry); !e.complete && !e.conflict && now < e.expires {
			out = append(out, e.record.withTimeLeft(e.expires-now))
		}
	}
	return out
}

// get returns the version at which a stream began.
func (t *table) get(k Key) (software string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	el := t.byKey[k]
	if el == nil {
		return "", false
	}
	e := el.Value.(*entry)
	return e.record.Software, !e.conflict && t.now() < e.expires
}

// setComplete marks the record of a stream that has ended whole.
func (t *table) setComplete(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if el := t.byKey[k]; el != nil {
		el.Value.(*entry).complete = true
	}
}

// takeUnshared returns the own records of the selected services that other daemons
// need and that weren't sent to them since the given time, and marks them as sent.
func (t *table) takeUnshared(selected func(service string) bool, since time.Duration) (out []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, el := range t.byKey {
		e := el.Value.(*entry)
		if !e.own || e.complete || now >= e.expires || e.shared > since || !selected(e.service) {
			continue
		}
		e.shared = now
		out = append(out, e.record.withTimeLeft(e.expires-now))
	}
	return out
}

// setShared records that a record was sent to other daemons.
func (t *table) setShared(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if el := t.byKey[k]; el != nil {
		el.Value.(*entry).shared = t.now()
	}
}

// expire removes expired records of all owners.
func (t *table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for owner := range t.byOwner {
		t.removeExpired(owner, now)
	}
}

// removeExpired removes expired records from the front of an owner's list. Callers
// hold t.mu.
func (t *table) removeExpired(owner uint64, now time.Duration) {
	for records := t.byOwner[owner]; records != nil; records = t.byOwner[owner] {
		if records.Front().Value.(*entry).expires > now {
			return
		}
		t.removeOldest(owner)
	}
}

// largestOwner returns the owner with the most records. Callers hold t.mu.
func (t *table) largestOwner() (largest uint64) {
	most := 0
	for owner, records := range t.byOwner {
		if records.Len() > most {
			largest, most = owner, records.Len()
		}
	}
	return largest
}

// removeOldest removes an owner's oldest record. Callers hold t.mu.
func (t *table) removeOldest(owner uint64) {
	records := t.byOwner[owner]
	e := records.Remove(records.Front()).(*entry)
	delete(t.byKey, e.record.Key)
	if records.Len() == 0 {
		delete(t.byOwner, owner)
	}
}
