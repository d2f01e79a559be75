// Package discovery knows the targets of all services from the entries that
// they keep in the store, also while the store is away.
package discovery

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/targets"
	"github.com/pomelospool/pomelospool/port"
)

// keepAfterReturn is how long entries stay that vanished while the store was
// away. Entries of live targets are back within about two seconds of the
// store's return; one that is still missing then is gone.
const keepAfterReturn = 2200 * time.Millisecond

// Snapshot is what is known at one moment. It is read-only.
type Snapshot struct {
	Targets map[string]*targets.Set // by service
	Whole   bool                    // the store was read whole at least once
	Since   time.Time               // when the newest target appeared
}

// Registry is the topic.Sink of the targets' topic. Its snapshots may be read
// by any goroutine.
//
// The failure it guards against: while the store is away the entries of live
// targets lapse, and a daemon that believed that would drop every target at
// once and refuse what they could serve. So what vanished in an outage is kept
// until keepAfterReturn after its end; a target that really died meanwhile is
// found by its connections.
type Registry struct {
	now    func() time.Time
	after  func(d time.Duration, f func()) // time.AfterFunc
	decode func(r port.KeyedRecord) (entry port.TargetEntry, present bool, err error)

	mu      sync.Mutex
	entries map[string]port.TargetEntry // by key in the store; an entry's id names one start of the target
	offsets map[string]int64            // by key
	born    map[string]int64            // by key, the newest start seen
	lapsed  map[string]time.Time        // by key, entries that are gone from the store, and when they are dropped here
	changed map[string]changes          // by service, since the last snapshot
	lost    bool
	until   time.Time // vanished entries are kept until then
	whole   bool
	since   time.Time

	snap atomic.Pointer[Snapshot]
}

// changes are entries by id, nil for a target that is gone.
type changes map[string]*port.TargetEntry

// Options of a Registry.
type Options struct {
	Decode func(r port.KeyedRecord) (entry port.TargetEntry, present bool, err error)
	Now    func() time.Time                // time.Now
	After  func(d time.Duration, f func()) // time.AfterFunc
}

// New returns an empty Registry.
func New(o Options) *Registry {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.After == nil {
		o.After = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	r := &Registry{
		now:     o.Now,
		after:   o.After,
		decode:  o.Decode,
		entries: make(map[string]port.TargetEntry),
		offsets: make(map[string]int64),
		born:    make(map[string]int64),
		lapsed:  make(map[string]time.Time),
		changed: make(map[string]changes),
	}
	r.snap.Store(&Snapshot{Targets: map[string]*targets.Set{}})
	return r
}

// Snapshot returns what is known now.
func (r *Registry) Snapshot() *Snapshot { return r.snap.Load() }

// Lookup returns the entry of a target.
func (r *Registry) Lookup(id string) (port.TargetEntry, bool) {
	for _, set := range r.Snapshot().Targets {
		if e := set.All().Lookup(engines.Hash(id)); e != nil && e.ID == id {
			return *e, true
		}
	}
	return port.TargetEntry{}, false
}

// HasHash reports whether there is a target whose id has that engines.Hash.
func (r *Registry) HasHash(hash uint64) bool {
	for _, set := range r.Snapshot().Targets {
		if set.All().Lookup(hash) != nil {
			return true
		}
	}
	return false
}

// Same reports whether two records of a key say the same of their target: they
// differ in what heartbeats change.
func (r *Registry) Same(a, b port.KeyedRecord) bool {
	old, known, err := r.decode(a)
	if err != nil || !known {
		return false
	}
	e, present, err := r.decode(b)
	if err != nil || !present {
		return false
	}
	old.Cold, e.Cold = 0, 0
	return old == e
}

// Reset takes the whole topic.
func (r *Registry) Reset(records []port.KeyedRecord, _ int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(records))
	for _, rec := range records {
		present[rec.Key] = true
		r.take(rec)
	}
	for key := range r.entries {
		if !present[key] {
			r.vanish(key)
		}
	}
	if !r.whole {
		log.WithField("targets", len(r.entries)).Info("discovery: targets listed")
	}
	r.whole = true
	r.publish()
}

// Apply takes records in order.
func (r *Registry) Apply(records []port.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		r.take(rec)
	}
	r.publish()
}

// StoreLost notes the begin of an outage.
func (r *Registry) StoreLost(error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = true
}

// StoreRecovered notes the end of an outage. What vanished in it was taken in by the
// read that ended it, with the store still noted as lost.
func (r *Registry) StoreRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = false
	r.until = r.now().Add(keepAfterReturn)
	for key := range r.lapsed {
		r.lapsed[key] = r.until
	}
	r.after(keepAfterReturn, r.expire)
}

// take applies one record. Records older than the one in force are left out.
func (r *Registry) take(rec port.KeyedRecord) {
	if at, ok := r.offsets[rec.Key]; ok && rec.Offset < at {
		return
	}
	r.offsets[rec.Key] = rec.Offset
	e, present, err := r.decode(rec)
	if err != nil {
		// What another writer put there names no target, whatever stood
		// there before. A live target writes its own entry again soon.
		log.WithError(err).WithField("target", rec.Key).Warn("discovery: entry names no target")
		if old, known := r.entries[rec.Key]; known {
			r.drop(rec.Key, old)
			r.offsets[rec.Key] = rec.Offset
		}
		return
	}
	if !present {
		r.vanish(rec.Key)
		return
	}
	if e.Born < r.born[rec.Key] {
		log.WithFields(log.Fields{"target": e.ID, "offset": rec.Offset}).Info("discovery: entry of an earlier start, left out")
		return
	}
	r.born[rec.Key] = e.Born
	old, known := r.entries[rec.Key]
	if known && (old.ID != e.ID || old.Service != e.Service) {
		r.drop(rec.Key, old)
		r.offsets[rec.Key] = rec.Offset
		known = false
	}
	delete(r.lapsed, rec.Key)
	r.entries[rec.Key] = e
	r.note(e.Service, e.ID, &e)
	if !known {
		r.since = r.now()
	}
	if r.whole && (!known || old.Leaving != e.Leaving || old.Role != e.Role) {
		log.WithFields(log.Fields{
			"target": e.ID, "service": e.Service, "addr": e.Addr, "zone": e.Zone,
			"role": e.Role, "leaving": e.Leaving, "offset": rec.Offset,
		}).Info("discovery: target")
	}
}

// vanish drops an entry, or keeps it for a while when the store was away.
func (r *Registry) vanish(key string) {
	e, ok := r.entries[key]
	if !ok {
		return
	}
	now := r.now()
	if r.lost || now.Before(r.until) {
		if _, waits := r.lapsed[key]; !waits {
			r.lapsed[key] = r.until
			log.WithField("target", e.ID).Info("discovery: target's entry lapsed in an outage, kept for now")
		}
		return
	}
	r.drop(key, e)
}

func (r *Registry) drop(key string, e port.TargetEntry) {
	delete(r.entries, key)
	r.note(e.Service, e.ID, nil)
	delete(r.lapsed, key)
	delete(r.offsets, key)
	log.WithFields(log.Fields{"target": e.ID, "service": e.Service, "addr": e.Addr}).Info("discovery: target gone")
}

// expire drops what is still missing some time after the store's return.
func (r *Registry) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.lost || now.Before(r.until) {
		return
	}
	for key := range r.lapsed {
		r.drop(key, r.entries[key])
	}
	r.publish()
}

// note has a change go into the next snapshot. Callers hold r.mu.
func (r *Registry) note(service, id string, e *port.TargetEntry) {
	if r.changed[service] == nil {
		r.changed[service] = make(changes)
	}
	r.changed[service][id] = e
}

func (r *Registry) publish() {
	old := r.snap.Load()
	s := &Snapshot{Targets: maps.Clone(old.Targets), Whole: r.whole, Since: r.since}
	for service, changed := range r.changed {
		s.Targets[service] = s.Targets[service].With(changed)
	}
	clear(r.changed)
	r.snap.Store(s)
}
