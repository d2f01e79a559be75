// Package discovery keeps the known targets of all services, which it reads
// from the targets' entries in the store. It keeps them during an outage of the
// store.
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

// lapsedGracePeriod is how long entries that lapsed during an outage of the
// store are kept after its end. Live targets write their entries again within
// about two seconds after the store recovers. A target whose entry is still
// missing then is gone.
const lapsedGracePeriod = 2200 * time.Millisecond

// Snapshot is the set of known targets at one moment. It is read-only.
type Snapshot struct {
	Targets   map[string]*targets.Set // by service
	Listed    bool                    // the topic was listed completely at least once
	LastAdded time.Time               // when the newest target appeared
}

// Registry is the topic.Sink of the targets' topic. Its snapshots may be read
// by any goroutine.
//
// During an outage of the store the entries of live targets lapse. If their
// removal took effect, a daemon would drop all targets at once and reject
// requests that they could serve. So entries that lapse during an outage are
// kept for lapsedGracePeriod after its end. Failed connections reveal a target
// that really died meanwhile.
type Registry struct {
	now     func() time.Time
	after   func(d time.Duration, f func()) // time.AfterFunc
	decode  func(r port.KeyedRecord) (entry port.TargetEntry, present bool, err error)
	observe func(software map[string][]string)

	mu        sync.Mutex
	entries   map[string]port.TargetEntry // by key in the store; the ID of an entry differs for each start of the target
	offsets   map[string]int64            // by key
	lastStart map[string]start            // by key; the newest one seen
	lapsed    map[string]time.Time        // by key; entries that are missing in the store, with the time at which they are removed here
	changed   map[string]changes          // by service, since the last snapshot
	lost      bool
	available bool      // the store was available during the present outage of this process's reads
	keepUntil time.Time // lapsed entries are kept until then
	listed    bool
	lastAdded time.Time

	snap atomic.Pointer[Snapshot]
}

// start is a start of a target that an entry stated.
type start struct {
	ms   int64     // start time
	seen time.Time // when the last entry that states it was applied
}

// earlierStartTTL is the time for which entries of an earlier start are ignored. They are
// written late, within seconds of the restart. One that is still written afterwards is that
// of the target itself, and the later start was stated by another writer.
const earlierStartTTL = 10 * time.Second

// changes are entries by ID; nil means that the target is gone.
type changes map[string]*port.TargetEntry

// Options configures a Registry.
type Options struct {
	Decode func(r port.KeyedRecord) (entry port.TargetEntry, present bool, err error)
	Now    func() time.Time                // default: time.Now
	After  func(d time.Duration, f func()) // default: time.AfterFunc
	// Observe is called with the software versions of the targets of changed services,
	// before a snapshot with the changes can be read. It may be nil.
	Observe func(software map[string][]string)
}

// New returns an empty Registry.
func New(o Options) *Registry {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.After == nil {
		o.After = func(d time.Duration, f func()) { time.AfterFunc(d, f) }
	}
	if o.Observe == nil {
		o.Observe = func(map[string][]string) {}
	}
	r := &Registry{
		now:       o.Now,
		observe:   o.Observe,
		after:     o.After,
		decode:    o.Decode,
		entries:   make(map[string]port.TargetEntry),
		offsets:   make(map[string]int64),
		lastStart: make(map[string]start),
		lapsed:    make(map[string]time.Time),
		changed:   make(map[string]changes),
	}
	r.snap.Store(&Snapshot{Targets: map[string]*targets.Set{}})
	return r
}

// Snapshot returns the targets that are known now.
func (r *Registry) Snapshot() *Snapshot { return r.snap.Load() }

// Lookup returns the entry of the target with the given ID.
func (r *Registry) Lookup(id string) (port.TargetEntry, bool) {
	for _, set := range r.Snapshot().Targets {
		if e := set.All().Lookup(engines.Hash(id)); e != nil && e.ID == id {
			return *e, true
		}
	}
	return port.TargetEntry{}, false
}

// HasHash reports whether there is a target whose ID has the given
// engines.Hash.
func (r *Registry) HasHash(hash uint64) bool {
	for _, set := range r.Snapshot().Targets {
		if set.All().Lookup(hash) != nil {
			return true
		}
	}
	return false
}

// Same reports whether two records of a key describe the same state of a
// target, apart from the fields that heartbeats change.
func (r *Registry) Same(a, b port.KeyedRecord) bool {
	old, known, err := r.decode(a)
	if err != nil || !known {
		return false
	}
	e, present, err := r.decode(b)
	if err != nil || !present {
		return false
	}
	old.WarmupLeft, e.WarmupLeft = 0, 0
	return old == e
}

// Reset implements topic.Sink.
func (r *Registry) Reset(records []port.KeyedRecord, _ int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := make(map[string]bool, len(records))
	for _, rec := range records {
		present[rec.Key] = true
		r.applyRecord(rec)
	}
	for key := range r.entries {
		if !present[key] {
			r.removeOrKeep(key)
		}
	}
	if !r.listed {
		log.WithField("targets", len(r.entries)).Info("discovery: targets listed")
	}
	r.listed = true
	r.publish()
}

// Apply implements topic.Sink.
func (r *Registry) Apply(records []port.KeyedRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		r.applyRecord(rec)
	}
	r.publish()
}

// StoreLost implements topic.Sink.
func (r *Registry) StoreLost(error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost, r.available = true, false
}

// StoreAvailable reports that the store was available during the present outage,
// so only this process couldn't read it. Entries that are missing in the next read
// were removed by their targets and haven't lapsed. If they were kept, requests
// would reach targets up to 3.6 s after these have announced that they leave, when
// a daemon only changes the daemon that it reads from.
func (r *Registry) StoreAvailable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.available = true
}

// StoreRecovered implements topic.Sink. The read that ended the outage was
// applied before, while the store was still marked as lost, so that the entries
// missing in it are in r.lapsed.
func (r *Registry) StoreRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = false
	if r.available && len(r.lapsed) == 0 {
		return
	}
	r.keepUntil = r.now().Add(lapsedGracePeriod)
	for key := range r.lapsed {
		r.lapsed[key] = r.keepUntil
	}
	r.after(lapsedGracePeriod, r.removeLapsed)
}

// applyRecord applies one record. It ignores records that are older than the
// current one.
func (r *Registry) applyRecord(rec port.KeyedRecord) {
	at, seen := r.offsets[rec.Key]
	if seen && rec.Offset < at {
		return
	}
	r.offsets[rec.Key] = rec.Offset
	e, present, err := r.decode(rec)
	if err != nil {
		// Another writer overwrote the entry, so it no longer describes a
		// target. A live target soon writes its entry again.
		if !seen || rec.Offset > at { // listings repeat the record
			log.WithError(err).WithField("target", rec.Key).Warn("discovery: invalid target entry")
		}
		if old, known := r.entries[rec.Key]; known {
			r.remove(rec.Key, old)
			r.offsets[rec.Key] = rec.Offset
		}
		return
	}
	if !present {
		r.removeOrKeep(rec.Key)
		return
	}
	if last := r.lastStart[rec.Key]; e.StartMs < last.ms && r.now().Sub(last.seen) < earlierStartTTL {
		log.WithFields(log.Fields{"target": e.ID, "offset": rec.Offset}).Info("discovery: entry of an earlier start ignored")
		return
	}
	r.lastStart[rec.Key] = start{ms: e.StartMs, seen: r.now()}
	old, known := r.entries[rec.Key]
	if known && (old.ID != e.ID || old.Service != e.Service) {
		r.remove(rec.Key, old)
		r.offsets[rec.Key] = rec.Offset
		known = false
	}
	delete(r.lapsed, rec.Key)
	r.entries[rec.Key] = e
	r.addChange(e.Service, e.ID, &e)
	if !known {
		r.lastAdded = r.now()
	}
	if r.listed && (!known || old.Leaving != e.Leaving || old.Role != e.Role) {
		log.WithFields(log.Fields{
			"target": e.ID, "service": e.Service, "addr": e.Addr, "zone": e.Zone,
			"role": e.Role, "leaving": e.Leaving, "software": e.Software, "offset": rec.Offset,
		}).Info("discovery: target added or changed")
	}
}

// removeOrKeep removes an entry, or keeps it for a while if it lapsed in an
// outage of the store.
func (r *Registry) removeOrKeep(key string) {
	e, ok := r.entries[key]
	if !ok {
		return
	}
	now := r.now()
	if r.lost && !r.available || now.Before(r.keepUntil) {
		if _, waits := r.lapsed[key]; !waits {
			r.lapsed[key] = r.keepUntil
			log.WithField("target", e.ID).Info("discovery: target's entry lapsed in an outage; keeping it for now")
		}
		return
	}
	r.remove(key, e)
}

func (r *Registry) remove(key string, e port.TargetEntry) {
	delete(r.entries, key)
	r.addChange(e.Service, e.ID, nil)
	delete(r.lapsed, key)
	delete(r.offsets, key)
	log.WithFields(log.Fields{"target": e.ID, "service": e.Service, "addr": e.Addr}).Info("discovery: target removed")
}

// removeLapsed removes the entries that are still missing after
// lapsedGracePeriod.
func (r *Registry) removeLapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.lost || now.Before(r.keepUntil) {
		return
	}
	for key := range r.lapsed {
		r.remove(key, r.entries[key])
	}
	r.publish()
}

// addChange adds a change to the next snapshot. Callers hold r.mu.
func (r *Registry) addChange(service, id string, e *port.TargetEntry) {
	if r.changed[service] == nil {
		r.changed[service] = make(changes)
	}
	r.changed[service][id] = e
}

func (r *Registry) publish() {
	old := r.snap.Load()
	s := &Snapshot{Targets: maps.Clone(old.Targets), Listed: r.listed, LastAdded: r.lastAdded}
	software := make(map[string][]string, len(r.changed))
	for service, changed := range r.changed {
		s.Targets[service] = s.Targets[service].With(changed)
		software[service] = s.Targets[service].Software()
	}
	clear(r.changed)
	if r.listed {
		r.observe(software)
	}
	r.snap.Store(s)
}
