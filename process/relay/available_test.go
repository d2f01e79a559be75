package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
)

// Guards against a period that joins two readings with an outage in between, which
// would take entries that lapsed for removed ones.
func TestPeriodsJoinOnlyWithoutGap(t *testing.T) {
	s := func(a, b int) period {
		return period{since: time.Duration(a) * time.Second, until: time.Duration(b) * time.Second}
	}
	for _, c := range []struct{ a, b, want period }{
		{period{}, s(5, 6), s(5, 6)},
		{s(1, 3), s(4, 6), s(1, 6)},
		{s(5, 6), s(1, 4), s(1, 6)},
		{s(1, 3), s(6, 7), s(6, 7)},
		{s(6, 7), s(1, 3), s(6, 7)},
		{s(2, 7), s(3, 4), s(2, 7)},
	} {
		if got := c.a.join(c.b); got != c.want {
			t.Errorf("%v and %v: %v, want %v", c.a, c.b, got, c.want)
		}
	}
}

// fill makes a cache that of a daemon that has read the store until now.
func fill(cache *TopicCache, availableFor time.Duration) {
	cache.Reset([]port.KeyedRecord{record(3, "a")}, 5)
	cache.Confirm(cache.now(), cache.now()-availableFor, 5)
}

// newMemoryCache returns an empty cache with the given clock.
func newMemoryCache(now func() time.Duration) *TopicCache {
	cache := NewTopicCache(&sink{}, nil)
	cache.now = now
	return cache
}

// Guards against requests to targets that have left, sent by the daemons of an
// availability zone whose readers are all cut off from the store: they must read
// from a daemon elsewhere that can read it, without a call to the store, and learn
// from it whether the store was available meanwhile.
func TestZoneWithoutReadersReadsElsewhere(t *testing.T) {
	for name, availableFor := range map[string]time.Duration{"only the readers are cut off": time.Minute, "the store was away": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := clock.NewRuntime().Now
				reader, elsewhere, own := newMemoryCache(now), newMemoryCache(now), newMemoryCache(now)
				fill(reader, 0)
				store := NewStore(&countingStore{}, func() []string { return []string{"reader"} }, nil, port.TopicTargets)
				store.now = now
				store.PeersWithStore = func() []string { return []string{"elsewhere"} }
				store.RetryDelay = func(bool) time.Duration { return time.Hour }
				transport := memoryTransport{"reader": Handler(map[port.Topic]*TopicCache{port.TopicTargets: reader}), "elsewhere": Handler(map[port.Topic]*TopicCache{port.TopicTargets: elsewhere})}
				store.client = &http.Client{Transport: transport}
				own.Reset(nil, 5)
				if _, err := store.Read(t.Context(), port.TopicTargets, 5, 0); err != nil {
					t.Fatal(err)
				}
				own.Confirm(store.AsOf(port.TopicTargets), store.AvailableSince(port.TopicTargets), 5)
				_ = pause.For(t.Context(), 5*time.Second)
				reader.StoreLost(nil)
				if _, err := store.Read(t.Context(), port.TopicTargets, 5, 0); err == nil {
					t.Fatal("a reader without current data was read")
				}
				fill(elsewhere, availableFor)
				elsewhere.Apply([]port.KeyedRecord{{Key: "a", Offset: 6}})
				batch, err := store.Read(t.Context(), port.TopicTargets, 5, 0)
				if err != nil || len(batch.Records) != 1 || store.Store.(*countingStore).reads != 0 {
					t.Errorf("%+v, %v, %d reads of the store", batch, err, store.Store.(*countingStore).reads)
				}
				if got, want := own.CoveredSince(store.AvailableSince(port.TopicTargets)), availableFor == time.Minute; got != want {
					t.Errorf("the store counts as available meanwhile: %v", got)
				}
			})
		})
	}
}

// Guards against an answer that combines the time of one read of the store with the
// availability up to a later one, which would claim that the store was available
// before it was.
func TestAvailabilityIsOfTheAnsweredRead(t *testing.T) {
	cache := newMemoryCache(func() time.Duration { return 0 })
	cache.Reset(nil, 5)
	cache.Confirm(0, 0, 5)
	stop, done := make(chan struct{}), make(chan struct{})
	defer func() {
		close(stop)
		<-done
	}()
	go func() {
		defer close(done)
		for at := time.Duration(1); ; at++ {
			select {
			case <-stop:
				return
			default:
				cache.Confirm(at, 0, 5)
			}
		}
	}()
	store := NewStore(&countingStore{}, func() []string { return []string{"reader"} }, nil, port.TopicTargets)
	store.client = &http.Client{Transport: memoryTransport{"reader": Handler(map[port.Topic]*TopicCache{port.TopicTargets: cache})}}
	for range 500 {
		for _, path := range []string{"current?topic=1", "records?topic=1&from=5"} {
			r, err := store.fetch(t.Context(), "http://reader/"+path+"&wait_ms=0&max_age_ms=1000")
			if err != nil || r.availableFor != r.readAt {
				t.Fatalf("%s: read at %v, available for %v, %v", path, r.readAt, r.availableFor, err)
			}
		}
	}
}

// Guards against entries that are kept though their targets removed them, after a
// listing from a reader that knows that the store was available.
func TestListingStatesAvailability(t *testing.T) {
	const at = time.Hour
	now := func() time.Duration { return at }
	reader := newMemoryCache(now)
	fill(reader, time.Minute)
	store := NewStore(&countingStore{}, func() []string { return []string{"reader"} }, nil, port.TopicTargets)
	store.now = now
	store.client = &http.Client{Transport: memoryTransport{"reader": Handler(map[port.Topic]*TopicCache{port.TopicTargets: reader})}}
	if _, err := store.Newest(t.Context(), port.TopicTargets, ""); err != nil || store.AvailableSince(port.TopicTargets) != at-time.Minute {
		t.Errorf("available since %v, %v", store.AvailableSince(port.TopicTargets), err)
	}
}
