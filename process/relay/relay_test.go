package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// countingStore is a store that counts its reads.
type countingStore struct {
	port.Store
	reads   int
	listErr error // error of listings
	silent  bool  // listings get no answer
}

func (s *countingStore) Newest(ctx context.Context, _ port.Topic, _ string) (port.KeyedPage, error) {
	if s.silent {
		<-ctx.Done()
		return port.KeyedPage{}, ctx.Err()
	}
	return port.KeyedPage{Records: []port.KeyedRecord{{Key: "from the store"}}}, s.listErr
}

func (s *countingStore) Read(context.Context, port.Topic, int64, time.Duration) (port.KeyedBatch, error) {
	s.reads++
	return port.KeyedBatch{Records: []port.KeyedRecord{{Key: "from the store"}}}, nil
}

// sink counts the calls of a topic.Sink.
type sink struct{ applied, lost, back int }

func (s *sink) Reset([]port.KeyedRecord, int64) {}
func (s *sink) Apply(r []port.KeyedRecord)      { s.applied += len(r) }
func (s *sink) StoreLost(error)                 { s.lost++ }
func (s *sink) StoreRecovered()                 { s.back++ }

func record(offset int64, key string) port.KeyedRecord {
	return port.KeyedRecord{Key: key, Value: []byte("v"), Offset: offset}
}

// newReaderAndStore returns a reader's TopicCache and the Store of another
// daemon that reads from it.
func newReaderAndStore(t *testing.T) (*TopicCache, *Store, *countingStore) {
	cache := NewTopicCache(&sink{}, nil)
	cache.Confirm(cache.now(), cache.now(), 0)
	srv := httptest.NewServer(Handler(map[port.Topic]*TopicCache{port.TopicTargets: cache}))
	t.Cleanup(srv.Close)
	d := &countingStore{}
	addr := strings.TrimPrefix(srv.URL, "http://")
	nobody := "127.0.0.1:1"
	return cache, NewStore(d, func() []string { return []string{addr} }, func() []string { return []string{addr, nobody} }, port.TopicTargets), d
}

// Guards against a rolling restart during an outage of the store after which no
// daemon serves until the store returns, although the running daemons hold all
// the records that are needed. Also guards against listings that lack changes
// or contain deleted records.
func TestListingOfAnotherDaemon(t *testing.T) {
	cache, s, d := newReaderAndStore(t)
	errUnavailable := errors.New("the store is unavailable")
	d.listErr = errUnavailable
	if _, err := s.Newest(t.Context(), port.TopicTargets, ""); !errors.Is(err, errUnavailable) {
		t.Errorf("a daemon that has read nothing returned a listing: %v", err)
	}
	cache.Reset([]port.KeyedRecord{record(1, "stays"), record(2, "changes"), record(3, "goes")}, 5)
	cache.Apply([]port.KeyedRecord{record(5, "changes"), {Key: "goes", Offset: 6}, record(7, "new")})
	cache.StoreLost(errUnavailable)
	page, err := s.Newest(t.Context(), port.TopicTargets, "")
	got := make(map[string]int64)
	for _, r := range page.Records {
		got[r.Key] = r.Offset
	}
	want := map[string]int64{"stays": 1, "changes": 5, "new": 7}
	if err != nil || !page.Relayed || page.More || page.End != 8 || !maps.Equal(got, want) {
		t.Errorf("%+v, %v", page, err)
	}
	d.silent = true
	if page, err := s.Newest(t.Context(), port.TopicTargets, ""); err != nil || !page.Relayed {
		t.Errorf("a store without an answer: %+v, %v", page, err)
	}
	d.silent = false
	if _, err := s.Newest(t.Context(), port.TopicClaims, ""); !errors.Is(err, errUnavailable) {
		t.Errorf("claims were listed from another daemon: %v", err)
	}
	d.listErr = nil
	if page, err := s.Newest(t.Context(), port.TopicTargets, ""); err != nil || page.Relayed {
		t.Errorf("with the store available: %+v, %v", page, err)
	}
}

func TestRecordsComeFromTheReader(t *testing.T) {
	cache, s, d := newReaderAndStore(t)
	cache.Reset([]port.KeyedRecord{record(3, "old")}, 5)
	cache.Apply([]port.KeyedRecord{record(5, "a"), record(6, "b")})
	cache.Apply([]port.KeyedRecord{record(7, "c")})
	batch, err := s.Read(t.Context(), port.TopicTargets, 6, 0)
	got := batch.Records
	if err != nil || len(got) != 2 || batch.Next != 8 || got[0].Key != "b" || got[1].Offset != 7 || d.reads != 0 {
		t.Errorf("records %+v, %v, %d reads of the store", batch, err, d.reads)
	}
	if got, err := s.Read(t.Context(), port.TopicTargets, 8, 0); err != nil || len(got.Records) != 0 || got.Next != 8 || d.reads != 0 {
		t.Errorf("nothing new: %+v, %v", got, err)
	}
}

// Guards against missed changes: the reader doesn't have them because it lost
// the store or is behind.
func TestStoreIsReadWhenReaderIsNotCurrent(t *testing.T) {
	for name, spoil := range map[string]func(cache *TopicCache){
		"lost the store":   func(cache *TopicCache) { cache.StoreLost(errors.New("the store is unavailable")) },
		"behind the asker": func(cache *TopicCache) { cache.Reset(nil, 1); cache.Apply([]port.KeyedRecord{record(1, "y")}) },
	} {
		t.Run(name, func(t *testing.T) {
			cache, s, d := newReaderAndStore(t)
			cache.Apply([]port.KeyedRecord{record(5, "a")})
			spoil(cache)
			got, err := s.Read(t.Context(), port.TopicTargets, 5, 0)
			if err != nil || d.reads != 1 || got.Records[0].Key != "from the store" {
				t.Errorf("records %+v, %v", got, err)
			}
			_, _ = s.Read(t.Context(), port.TopicTargets, 5, 0)
			if d.reads != 2 {
				t.Error("the failed reader was asked again at once")
			}
		})
	}
}

// Guards against missed changes when the reader began to read later or has
// dropped the changes in between. The topic has to be listed again then, and
// the listing contains the missed changes.
func TestTopicIsListedWhenTheReaderHasAGap(t *testing.T) {
	for name, spoil := range map[string]func(cache *TopicCache){
		"began later": func(cache *TopicCache) {
			cache.end = -1
			cache.Reset([]port.KeyedRecord{record(8, "new")}, 9)
		},
		"dropped some": func(cache *TopicCache) {
			for at := int64(6); at < 6+2*minChanges; at++ {
				cache.Apply([]port.KeyedRecord{record(at, "new")})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			cache, s, d := newReaderAndStore(t)
			cache.Reset(nil, 5)
			cache.Apply([]port.KeyedRecord{record(5, "a")})
			spoil(cache)
			if got, err := s.Read(t.Context(), port.TopicTargets, 5, 0); !errors.Is(err, port.ErrExpired) {
				t.Errorf("records %+v, %v", got, err)
			}
			page, err := s.Newest(t.Context(), port.TopicTargets, "")
			if err != nil || d.reads != 0 || page.End != cache.end {
				t.Errorf("%+v, %v", page, err)
			}
			found := false
			for _, r := range page.Records {
				found = found || r.Key == "new"
			}
			if !found {
				t.Errorf("the listing lacks the missed changes: %+v", page.Records)
			}
		})
	}
}

// The configuration changes rarely: a reader that has listed it can report at
// once that there are no changes.
func TestReaderReportsNoChangesAfterListing(t *testing.T) {
	cache, s, d := newReaderAndStore(t)
	cache.Reset([]port.KeyedRecord{record(3, "old")}, 4)
	if got, err := s.Read(t.Context(), port.TopicTargets, 4, 0); err != nil || len(got.Records) != 0 || d.reads != 0 {
		t.Errorf("records %+v, %v, %d reads of the store", got, err, d.reads)
	}
}

func TestOtherTopicsAndReadersThemselvesReadTheStore(t *testing.T) {
	_, s, d := newReaderAndStore(t)
	_, _ = s.Read(t.Context(), port.TopicClaims, 0, 0)
	s.readers = func() []string { return nil }
	_, _ = s.Read(t.Context(), port.TopicTargets, 0, 0)
	if d.reads != 2 {
		t.Errorf("%d reads of the store", d.reads)
	}
}

func TestTopicCacheIsBounded(t *testing.T) {
	for _, keys := range []int64{1, 10 * minChanges} {
		cache := NewTopicCache(&sink{}, nil)
		const written = 100 * minChanges
		for i := range int64(written) {
			cache.Apply([]port.KeyedRecord{record(i, fmt.Sprint("k", i%keys))})
		}
		held := max(minChanges, int(keys))
		if len(cache.changes) != held || cache.end != written {
			t.Errorf("%d changes up to %d, want %d", len(cache.changes), cache.end, held)
		}
		cache.Confirm(cache.now(), cache.now(), 0)
		if _, status := cache.read(t.Context(), written-int64(held)-1, 0, 0, time.Minute); status != gap {
			t.Errorf("status %v for a change that was dropped", status)
		}
		if got, status := cache.read(t.Context(), written-int64(held), 0, 0, time.Minute); status != ok || len(got.changes) != held {
			t.Errorf("%d changes, %v", len(got.changes), status)
		}
	}
}

// Guards against heartbeats that are relayed to every daemon of a fleet and
// applied there: 10,000 targets send 2,000 a second, and none of them changes
// anything.
func TestHeartbeatsAreNotRelayed(t *testing.T) {
	next := &sink{}
	cache := NewTopicCache(next, func(a, b port.KeyedRecord) bool { return string(a.Value) == string(b.Value) })
	cache.Reset([]port.KeyedRecord{record(1, "a"), record(2, "b")}, 3)
	for at := int64(3); at < 100; at += 2 {
		cache.Apply([]port.KeyedRecord{record(at, "a"), record(at+1, "b")})
	}
	cache.Confirm(cache.now(), cache.now(), 101)
	if b, status := cache.read(t.Context(), 3, 0, 0, time.Minute); status != ok || len(b.changes) != 0 || b.next != 101 || next.applied != 0 {
		t.Errorf("%+v, %v, %d records applied", b, status, next.applied)
	}
	leaves := port.KeyedRecord{Key: "a", Value: []byte("leaves"), Offset: 101}
	back := port.KeyedRecord{Key: "a", Value: []byte("v"), Offset: 102}
	cache.Apply([]port.KeyedRecord{leaves, back, {Key: "b", Offset: 103}, record(104, "b")})
	if b, status := cache.read(t.Context(), 3, 0, 0, time.Minute); status != ok || len(b.changes) != 4 || b.next != 105 || next.applied != 4 {
		t.Errorf("%+v, %v, %d records applied", b, status, next.applied)
	}
}

// Guards against a full listing for each daemon whenever the store drops its
// history. A daemon gets only the difference from a reader that has listed the
// topic again.
func TestReaderSendsDifferenceAfterRelisting(t *testing.T) {
	cache, s, d := newReaderAndStore(t)
	cache.same = func(a, b port.KeyedRecord) bool { return string(a.Value) == string(b.Value) }
	cache.Reset([]port.KeyedRecord{record(1, "stays"), record(2, "changes"), record(3, "goes")}, 5)
	cache.Reset([]port.KeyedRecord{record(90, "stays"), {Key: "changes", Value: []byte("w"), Offset: 91}, record(80, "new")}, 95)
	for _, from := range []int64{5, 95} {
		batch, err := s.Read(t.Context(), port.TopicTargets, from, 0)
		got := make(map[string]bool)
		for _, r := range batch.Records {
			got[r.Key] = r.Value != nil
		}
		want := map[string]bool{"new": true, "changes": true, "goes": false}
		if from == 95 {
			want = map[string]bool{}
		}
		if err != nil || batch.Next != 95 || !maps.Equal(got, want) || d.reads != 0 {
			t.Errorf("from %d: %+v, %v, %d reads of the store", from, batch, err, d.reads)
		}
	}
	if _, err := s.Read(t.Context(), port.TopicTargets, 4, 0); !errors.Is(err, port.ErrExpired) {
		t.Errorf("changes from before the first listing: %v", err)
	}
}

// Guards against daemons that read the store themselves for seconds when a
// fleet starts, because their reader hasn't read anything yet or is slightly
// behind them. Each call to the store is paid for.
func TestReadWaitsForReaderToCatchUp(t *testing.T) {
	const wait = 2 * time.Second
	for name, begin := range map[string]func(cache *TopicCache){
		"has read nothing":   func(*TopicCache) {},
		"is a little behind": func(cache *TopicCache) { cache.Reset(nil, 5); cache.Confirm(0, 0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cache := NewTopicCache(&sink{}, nil)
				cache.now = clock.NewRuntime().Now
				begin(cache)
				time.AfterFunc(300*time.Millisecond, func() { cache.Reset(nil, 7); cache.Confirm(cache.now(), cache.now(), 0) })
				time.AfterFunc(800*time.Millisecond, func() { cache.Apply([]port.KeyedRecord{record(7, "a")}) })
				b, w := cache.read(t.Context(), 7, wait, wait, wait)
				if w != ok || len(b.changes) != 1 || cache.now() != 800*time.Millisecond {
					t.Errorf("%+v, %v after %v", b, w, cache.now())
				}
				if _, w := cache.read(t.Context(), 9, wait, wait, wait); w == ok {
					t.Error("a reader that stays behind reported no changes")
				}
			})
		})
	}
}

// Guards against daemons that start together and each read both topics from the
// store before they know their readers. That took 553 calls for 295 daemons.
func TestFirstReadWaitsForReaderAddresses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := NewTopicCache(&sink{}, nil)
		cache.now = clock.NewRuntime().Now
		cache.Reset(nil, 5)
		cache.Confirm(0, 0, 0)
		d, listed := &countingStore{}, make(chan struct{})
		s := NewStore(d, func() []string { return []string{"reader", "other"} }, func() []string { return nil }, port.TopicTargets)
		s.now, s.ReadersKnown = cache.now, listed
		s.client = &http.Client{Transport: memoryTransport{"reader": Handler(map[port.Topic]*TopicCache{port.TopicTargets: cache})}}
		time.AfterFunc(400*time.Millisecond, func() { close(listed) })
		if _, err := s.Read(t.Context(), port.TopicTargets, 5, 0); err != nil || d.reads != 0 || cache.now() != 400*time.Millisecond {
			t.Errorf("%d reads of the store after %v, %v", d.reads, cache.now(), err)
		}
		s.ReadersKnown = make(chan struct{}) // the store is unavailable: the readers stay unknown
		s.readers = func() []string { return nil }
		if _, err := s.Read(t.Context(), port.TopicTargets, 5, 0); err != nil || d.reads != 1 {
			t.Errorf("%d reads of the store without readers, %v", d.reads, err)
		}
	})
}

// Guards against daemons that read the store themselves although the other
// reader of their zone can read it. When the store was silent for the first
// reader, the 29 daemons that read from it made 280 calls in three seconds.
func TestAnotherReaderIsAskedFirst(t *testing.T) {
	first, second := NewTopicCache(&sink{}, nil), NewTopicCache(&sink{}, nil)
	for _, cache := range []*TopicCache{first, second} {
		cache.Reset(nil, 5)
		cache.Confirm(cache.now(), cache.now(), 0)
	}
	first.StoreLost(errors.New("the store is unavailable"))
	second.Apply([]port.KeyedRecord{record(5, "a")})
	d := &countingStore{}
	s := NewStore(d, func() []string { return []string{"first", "second"} }, func() []string { return nil }, port.TopicTargets)
	s.client = &http.Client{Transport: memoryTransport{
		"first":  Handler(map[port.Topic]*TopicCache{port.TopicTargets: first}),
		"second": Handler(map[port.Topic]*TopicCache{port.TopicTargets: second}),
	}}
	got, err := s.Read(t.Context(), port.TopicTargets, 5, 0)
	if err != nil || len(got.Records) != 1 || got.Records[0].Key != "a" || d.reads != 0 || s.bypassingReaders() {
		t.Errorf("records %+v, %v, %d reads of the store", got, err, d.reads)
	}
	second.StoreLost(errors.New("the store is unavailable"))
	if _, err := s.Read(t.Context(), port.TopicTargets, 6, 0); err != nil || d.reads != 1 {
		t.Errorf("with both lost: %v, %d reads of the store", err, d.reads)
	}
}

// Guards against answers that take too long when 248 targets register together
// and a reader with a link of 20 Mbit/s sends their records to 30 daemons at
// the same moment. The daemons read the store themselves if that takes more
// than half a second.
func TestRecordsOfAWholeFleetFitThroughASlowLink(t *testing.T) {
	const targets, daemons, link = 248, 30, 20e6 / 8 // bytes a second
	cache := NewTopicCache(&sink{}, nil)
	var all []port.KeyedRecord
	for i := range int64(targets) {
		id := fmt.Sprintf("i-%010x", uint64(i+1)*0x9e3779b97f4a7c15>>24)
		value := fmt.Sprintf(`{"id":%q,"service":"kacu84a","addr":"10.%d.64.%d:8746","zone":"zg-%d","slots":64,"role":"prefill","state":"up","born":%d,"beat":%d}`,
			id, i%5, i, i%5, 1786143069049594548+i*7919, i%3)
		all = append(all, port.KeyedRecord{Key: id, Value: []byte(value), Offset: i})
	}
	cache.Reset(nil, 0)
	cache.Apply(all)
	cache.Confirm(cache.now(), cache.now(), 0)
	h := Handler(map[port.Topic]*TopicCache{port.TopicTargets: cache})
	sent := 0
	for _, path := range []string{"/records?topic=1&from=0&wait_ms=0&max_age_ms=1000", "/current?topic=1&max_age_ms=1000&wait_ms=0"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, http.NoBody))
		var a answer
		if err := cbor.Unmarshal(w.Body.Bytes(), &a); err != nil {
			t.Fatal(err)
		}
		got, err := a.Pack.records()
		if err != nil || len(got) != targets {
			t.Fatalf("%d records, %v", len(got), err)
		}
		sent = max(sent, w.Body.Len())
	}
	if most := int(link/2) / daemons; sent > most {
		t.Errorf("%d bytes to each of %d daemons, want %d", sent, daemons, most)
	}
}

// unavailableStore is a store that fails all reads and counts them.
type unavailableStore struct {
	port.Store
	reads int
}

func (s *unavailableStore) Read(context.Context, port.Topic, int64, time.Duration) (port.KeyedBatch, error) {
	s.reads++
	return port.KeyedBatch{}, port.ErrUnavailable
}

// Guards against hundreds of daemons that each keep calling the store during an
// outage, when no reader has current data. An outage of five seconds caused
// 6,000 calls, which are paid for and exceed the store's rate limit when it
// returns. The reader is asked instead, and a daemon that alone gets no data
// still calls the store in time.
func TestUnavailableStoreIsRarelyCalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewRuntime().Now
		cache := NewTopicCache(&sink{}, nil)
		cache.now = now
		d := &unavailableStore{}
		s := NewStore(d, func() []string { return []string{"reader"} }, func() []string { return nil }, port.TopicTargets, port.TopicConfig)
		s.now, s.client = now, &http.Client{Transport: memoryTransport{"reader": Handler(map[port.Topic]*TopicCache{port.TopicTargets: cache, port.TopicConfig: cache})}}
		s.RetryDelay = func(bool) time.Duration { return 1800 * time.Millisecond }
		for now() < 5*time.Second {
			for _, topic := range []port.Topic{port.TopicTargets, port.TopicConfig} {
				if _, err := s.Read(t.Context(), topic, 7, 0); err == nil {
					t.Fatal("a read succeeded although the store and the reader have no data")
				}
			}
			_ = pause.For(t.Context(), 200*time.Millisecond)
		}
		if d.reads < 1 || d.reads > 3 {
			t.Errorf("the store was read %d times in 5 s, want 1 to 3", d.reads)
		}
		before := d.reads
		cache.Reset(nil, 7)
		cache.Confirm(now(), now(), 0)
		if _, err := s.Read(t.Context(), port.TopicTargets, 7, 0); err != nil || d.reads != before {
			t.Errorf("with the reader back: %v, the store was read %d times", err, d.reads)
		}
	})
}

// Guards against a deadlock: the delay depends on the membership, which calls
// Store.UsesFallback under its own lock.
func TestRetryDelayIsCalledWithoutLock(t *testing.T) {
	cache, s, d := newReaderAndStore(t)
	cache.StoreLost(errors.New("the store is unavailable"))
	s.RetryDelay = func(bool) time.Duration {
		s.UsesFallback()
		return 0
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = s.Read(t.Context(), port.TopicTargets, 5, 0)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("deadlock: a read waits for a lock that it holds")
	}
	if d.reads != 1 {
		t.Errorf("%d reads of the store", d.reads)
	}
}

// Guards against a listing of the store by every daemon each time the store
// drops its history. Only the reader lists the topics from the store; the
// daemons whose records it no longer holds list them from the reader.
func TestListingComesFromReaderAfterRelisting(t *testing.T) {
	cache, s, d := newReaderAndStore(t)
	cache.Reset([]port.KeyedRecord{record(3, "old")}, 5)
	cache.Apply([]port.KeyedRecord{record(5, "a")})
	cache.Reset([]port.KeyedRecord{record(8, "a"), record(9, "b")}, 10)
	if _, err := s.Read(t.Context(), port.TopicTargets, 4, 0); !errors.Is(err, port.ErrExpired) {
		t.Errorf("records that the reader no longer holds: %v", err)
	}
	page, err := s.Newest(t.Context(), port.TopicTargets, "")
	if err != nil || page.Relayed || page.End != 10 || len(page.Records) != 2 || d.reads != 0 {
		t.Errorf("%+v, %v, %d reads of the store", page, err, d.reads)
	}
	if asOf := s.AsOf(port.TopicTargets); asOf <= 0 || asOf > cache.asOf {
		t.Errorf("complete up to %v, the reader's data up to %v", asOf, cache.asOf)
	}
	// A listing that is too old, or from a reader that lost the store, isn't
	// used.
	now := cache.now
	cache.now = func() time.Duration { return now() + MaxAge(0, 1) }
	if page, err := s.Newest(t.Context(), port.TopicTargets, ""); err != nil || page.End == 10 {
		t.Errorf("an outdated listing was used: %+v, %v", page, err)
	}
	cache.now = now
	cache.StoreLost(errors.New("the store is unavailable"))
	if page, err := s.Newest(t.Context(), port.TopicTargets, ""); err != nil || page.End == 10 {
		t.Errorf("the listing of a reader without the store was used: %+v, %v", page, err)
	}
}

// firstKeys sorts keys and returns the first n.
func firstKeys(keys []string, n int) []string {
	slices.Sort(keys)
	return keys[:min(len(keys), n)]
}
