package quarantine

import "time"

// times holds a time for each key, of a limited number of keys. The oldest keys are
// removed first.
type times[K comparable] struct {
	limit int
	byKey map[K]time.Time
	order []K // keys of byKey, oldest first
}

func newTimes[K comparable](limit int) times[K] {
	return times[K]{limit: limit, byKey: make(map[K]time.Time)}
}

func (t *times[K]) set(key K, at time.Time) {
	if _, known := t.byKey[key]; !known {
		if len(t.order) >= t.limit {
			delete(t.byKey, t.order[0])
			t.order = t.order[1:]
		}
		t.order = append(t.order, key)
	}
	t.byKey[key] = at
}

func (t *times[K]) get(key K) (at time.Time, known bool) {
	at, known = t.byKey[key]
	return at, known
}
