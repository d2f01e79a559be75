package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
)

// maxTickGap is the longest time between two calls of History.Tick. A longer one
// means that the process was paused and may have missed changes.
const maxTickGap = 3 * time.Second

// History tracks which software versions of each service's targets have been
// registered. It answers whether a service had a single version for some time, so
// that each of its streams began at that one. It is safe for concurrent use.
type History struct {
	now    func() time.Duration // must also advance while the VM is suspended
	age    func() (time.Duration, bool)
	maxAge time.Duration
	settle time.Duration

	mu       sync.Mutex
	complete bool          // no change was missed, since nothing existed before this daemon
	since    time.Duration // no change was missed since then, by now
	listed   bool          // the targets have been listed
	gaps     int           // number of times that changes may have been missed
	inGap    bool          // the last Tick found such a time
	lastTick time.Duration
	services map[string]*versions
}

// versions are the software versions of one service.
type versions struct {
	present map[string]time.Duration // when each registered version was first seen
	gone    map[string]time.Duration // when the last target of each other version was removed
	// inherited is the time since which another daemon missed no change, nil if there
	// is no such daemon.
	inherited *time.Duration
}

// HistoryOptions configures a History.
type HistoryOptions struct {
	// Now is a clock that also advances while the VM is suspended. By default it is
	// that of package time.
	Now func() time.Duration
	// Age returns the age of the list of targets, or false before the first list. If
	// it is nil, the list is always current.
	Age func() (time.Duration, bool)
	// MaxAge is the age up to which a list is current.
	MaxAge time.Duration
	// ReadDelay is the time by which a list may be older than its age says. A version
	// that was registered for longer than MaxAge and ReadDelay is in every current
	// list.
	ReadDelay time.Duration
	// Complete reports that no target existed before this daemon started.
	Complete bool
}

// NewHistory returns a History without services.
func NewHistory(o HistoryOptions) *History {
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	if o.Age == nil {
		o.Age = func() (time.Duration, bool) { return 0, true }
	}
	return &History{now: o.Now, age: o.Age, maxAge: o.MaxAge, settle: o.MaxAge + o.ReadDelay, complete: o.Complete, services: make(map[string]*versions)}
}

// Observe records the software versions of the registered targets of some services,
// after the targets were listed or changed. It reports whether a version is new or
// gone.
func (h *History) Observe(software map[string][]string) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if !h.listed {
		h.listed, h.since, h.lastTick = true, now, now
	}
	for service, list := range software {
		changed = h.service(service).update(list, now) || changed
	}
	return changed
}

// update reports whether a version is new or gone.
func (v *versions) update(software []string, now time.Duration) (changed bool) {
	current := make(map[string]time.Duration, len(software))
	for _, s := range software {
		first, known := v.present[s]
		if !known {
			first, changed = now, true
		}
		current[s] = first
		delete(v.gone, s)
	}
	for s := range v.present {
		if _, still := current[s]; !still {
			v.gone[s], changed = now, true
		}
	}
	v.present = current
	return changed
}

// service returns the versions of a service and creates them if needed. Callers
// hold h.mu.
func (h *History) service(name string) *versions {
	v := h.services[name]
	if v == nil {
		v = &versions{gone: make(map[string]time.Duration)}
		h.services[name] = v
	}
	return v
}

// Tick checks that no change can have been missed. It has to be called about once
// a second.
func (h *History) Tick() {
	age, known := h.age()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if !h.listed {
		return
	}
	gap := !known || age > h.maxAge || now-h.lastTick > maxTickGap
	if gap {
		h.forget(now)
	}
	if gap && !h.inGap {
		log.WithFields(log.Fields{"age_ms": age.Milliseconds(), "unchecked_ms": (now - h.lastTick).Milliseconds()}).Info("origin: changes of targets may have been missed")
	}
	h.inGap, h.lastTick = gap, now
	for _, v := range h.services {
		maps.DeleteFunc(v.gone, func(_ string, at time.Duration) bool { return now-at > MaxLifetime })
	}
}

// forget records that changes before now may have been missed. Callers hold h.mu.
func (h *History) forget(now time.Duration) {
	h.complete, h.since = false, now
	h.gaps++
	for _, v := range h.services {
		v.inherited = nil
	}
}

// Sole returns the only software version that targets of a service have had in the
// last span, up to now. It returns false if there were several, or if this daemon
// can't know.
func (h *History) Sole(service string, span time.Duration) (software string, ok bool) {
	age, known := h.age()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	v := h.services[service]
	if v == nil || !known || age > h.maxAge || now-h.lastTick > maxTickGap {
		return "", false
	}
	if !h.covers(v, now-span) {
		return "", false
	}
	return v.sole(now - span)
}

// covers reports whether all versions of a service since a time are known. Callers
// hold h.mu.
func (h *History) covers(v *versions, since time.Duration) bool {
	return h.complete || h.since <= since || v.inherited != nil && *v.inherited <= since
}

// Seen returns the versions of a service that were registered in the last span, in
// order. complete reports whether there can't have been others.
func (h *History) Seen(service string, span time.Duration) (software []string, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.services[service]
	if v == nil {
		return nil, false
	}
	since := h.now() - span
	software = v.seen(since)
	slices.Sort(software)
	return software, h.covers(v, since)
}

// Gaps returns the number of times that this daemon may have missed changes.
func (h *History) Gaps() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gaps
}

// sole returns the only version that was registered since a time.
func (v *versions) sole(since time.Duration) (software string, ok bool) {
	seen := v.seen(since)
	if len(seen) != 1 {
		return "", false
	}
	return seen[0], true
}

// seen returns the versions that were registered since a time.
func (v *versions) seen(since time.Duration) []string {
	out := slices.Collect(maps.Keys(v.present))
	for s, at := range v.gone {
		if at >= since {
			out = append(out, s)
		}
	}
	return out
}

// Mixed reports whether several software versions of a service were registered in
// the last span, as far as this daemon knows.
func (h *History) Mixed(service string, span time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.services[service]
	return v != nil && len(v.seen(h.now()-span)) > 1
}

// Inherit records that another daemon missed no change in the last span, up to now,
// and that targets of the service had a single software version. It is ignored if
// this daemon has seen another one.
func (h *History) Inherit(service, software string, span time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.services[service]
	if v == nil {
		return
	}
	if s, ok := v.sole(h.since); !ok || s != software {
		return
	}
	at := h.now() - span
	if v.inherited != nil {
		at = min(at, *v.inherited)
	}
	v.inherited = &at
}

// Settled reports whether each daemon with a current list knows that a version of
// a service is registered.
func (h *History) Settled(service, software string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.services[service]
	if v == nil {
		return true
	}
	first, present := v.present[software]
	// Versions of the first list may be of any age.
	return !present || first == h.since || h.now()-first > h.settle
}

// Services returns the names of the known services.
func (h *History) Services() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.services))
}
