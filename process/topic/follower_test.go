package topic

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// fakeStore keeps records in memory.
type fakeStore struct {
	mu      sync.Mutex
	first   int64
	records []port.KeyedRecord
	down    bool
	behind  int64 // number of the newest records that listings lack
	missNew bool  // waiting reads miss records written meanwhile
	expired bool  // reads return port.ErrExpired
	relayed bool  // listings come from another daemon
	reads   int
	lists   int
}

func (s *fakeStore) add(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, port.KeyedRecord{Key: key, Value: []byte(value), Offset: s.first + int64(len(s.records))})
}

func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) end() int64 { return s.first + int64(len(s.records)) }

func (s *fakeStore) Newest(_ context.Context, _ port.Topic, _ string) (port.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return port.KeyedPage{}, port.ErrUnavailable
	}
	shown := s.records[:int64(len(s.records))-s.behind]
	return port.KeyedPage{Records: shown, End: s.end() - s.behind, Relayed: s.relayed}, nil
}

func (s *fakeStore) Read(ctx context.Context, _ port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	deadline := time.Now().Add(wait)
	for begun := true; ; begun = false {
		s.mu.Lock()
		s.reads += btoi(begun)
		down, first, end := s.down, s.first, s.end()
		expired := s.expired
		var out []port.KeyedRecord
		if from >= first && from <= end {
			out = append(out, s.records[from-first:]...)
		}
		s.mu.Unlock()
		switch {
		case down:
			return port.KeyedBatch{}, port.ErrUnavailable
		case expired || from < first:
			return port.KeyedBatch{}, port.ErrExpired
		case (begun || !s.missNew) && len(out) > 0:
			return port.KeyedBatch{Records: out, Next: end}, nil
		case !time.Now().Before(deadline):
			return port.KeyedBatch{Next: from}, nil
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return port.KeyedBatch{}, ctx.Err()
		}
	}
}

func (s *fakeStore) Put(context.Context, port.Topic, string, []byte) (int64, error) {
	return 0, errors.New("not used")
}

func (s *fakeStore) PutAt(context.Context, port.Topic, string, []byte, int64) (int64, error) {
	return 0, errors.New("not used")
}

// sink records its calls as text.
type sink struct {
	mu  sync.Mutex
	log []string
}

func (s *sink) record(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, text)
}

func (s *sink) Reset(r []port.KeyedRecord, _ int64) { s.record("reset " + keys(r)) }
func (s *sink) Apply(r []port.KeyedRecord)          { s.record("apply " + keys(r)) }
func (s *sink) StoreLost(error)                     { s.record("lost") }
func (s *sink) StoreRecovered()                     { s.record("back") }

func (s *sink) calls() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.log)
}

func keys(records []port.KeyedRecord) string {
	out := ""
	for _, r := range records {
		out += r.Key
	}
	return out
}

func run(t *testing.T, interval time.Duration, test func(s *fakeStore, k *sink)) {
	synctest.Test(t, func(t *testing.T) {
		s, k := &fakeStore{}, &sink{}
		s.add("a", "1")
		f := New(Options{Store: s, Name: "test", Sink: k, Wait: func() time.Duration { return wait }, ReadInterval: func() time.Duration { return interval }})
		f.Start()
		test(s, k)
		_ = f.Stop()
	})
}

// wait is the wait of reads in these tests.
const wait = 800 * time.Millisecond

func settle() {
	_ = pause.For(context.Background(), 5*time.Second)
	synctest.Wait()
}

func check(t *testing.T, k *sink, want string) {
	t.Helper()
	if got := k.calls(); got != want {
		t.Errorf("calls of the sink: %s, want %s", got, want)
	}
}

func TestRecordsInOrder(t *testing.T) {
	run(t, time.Second, func(s *fakeStore, k *sink) {
		settle()
		s.add("b", "1")
		s.add("c", "1")
		settle()
		check(t, k, "[reset a apply bc]")
	})
}

// Guards against a daemon that misses all further changes because the store
// dropped the records to be read next and every read fails.
func TestExpiredRecordsAreListed(t *testing.T) {
	run(t, time.Second, func(s *fakeStore, k *sink) {
		settle()
		s.set(func() { s.first, s.records = 7, nil })
		s.add("z", "1")
		settle()
		check(t, k, "[reset a reset z]")
	})
}

// Guards against requests to a target that left: the store dropped its log, and
// its listing was older than the records that the daemon had already read.
func TestOutdatedListingIsRejected(t *testing.T) {
	run(t, 100*time.Millisecond, func(s *fakeStore, k *sink) {
		settle()
		s.add("b", "1")
		settle()
		s.set(func() { s.expired, s.behind = true, 1 })
		settle()
		check(t, k, "[reset a apply b lost]")
		s.set(func() { s.expired, s.behind = false, 0 })
		settle()
		check(t, k, "[reset a apply b lost reset ab back]")
	})
}

func TestOutageIsReportedOnce(t *testing.T) {
	run(t, time.Second, func(s *fakeStore, k *sink) {
		settle()
		s.set(func() { s.down = true })
		settle()
		s.add("b", "1")
		s.set(func() { s.down = false })
		settle()
		check(t, k, "[reset a lost apply b back]")
	})
}

// Guards against too many calls. Each call is paid for, and calls above the
// rate limit are rejected. With a record every 10 ms and no minimum interval, a
// follower makes a hundred calls a second.
func TestReadIntervalIsKept(t *testing.T) {
	run(t, 500*time.Millisecond, func(s *fakeStore, k *sink) {
		for range 500 {
			s.add("b", "1")
			_ = pause.For(context.Background(), 10*time.Millisecond)
		}
		synctest.Wait()
		if s.reads > 12 {
			t.Errorf("%d reads in 5 s, want 10 or so", s.reads)
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against a daemon that rejects a route published seconds before. A read
// that begins while the record is written can miss it and answers at the end of
// its wait. The next read must return the record.
func TestRecordMissedByWaitingReadIsReadNext(t *testing.T) {
	run(t, 0, func(s *fakeStore, k *sink) {
		settle()
		s.set(func() { s.missNew = true })
		s.add("b", "1")
		_ = pause.For(context.Background(), wait+100*time.Millisecond)
		synctest.Wait()
		check(t, k, "[reset a apply b]")
	})
}

// Guards against targets that are dropped because another daemon's listing, whose
// time is unknown, lacks them: the store may be unavailable, and they may only have
// lapsed. It must count as lost before such a listing is applied.
func TestRelayedListingIsNoEvidenceOfAnAvailableStore(t *testing.T) {
	for name, down := range map[string]bool{"after failed reads": true, "at once": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, k := &fakeStore{}, &sink{}
				s.add("a", "1")
				f := New(Options{
					Store: s, Sink: k, Wait: func() time.Duration { return time.Second }, ReadInterval: func() time.Duration { return 0 },
					StoreWasAvailable: func() bool { return true }, // by reads before the outage
					OnAvailable:       func() { k.record("available") },
				})
				f.Start()
				settle()
				want := "[reset a lost reset a"
				if down {
					s.set(func() { s.down = true })
					_ = pause.For(t.Context(), 5*time.Second)
					want = "[reset a lost lost reset a"
				}
				s.set(func() { s.down, s.expired, s.relayed = false, true, true })
				_ = pause.For(t.Context(), 3*time.Second)
				if got := k.calls(); !strings.HasPrefix(got, want) || strings.Contains(got, "available") {
					t.Errorf("%s, want %s", got, want)
				}
				if err := f.Stop(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against entries that are kept though their targets removed them: the sink
// must learn before each read that ends an outage that the store was available, and
// only then.
func TestAvailableStoreIsReportedBeforeTheRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, k := &fakeStore{}, &sink{}
		s.add("a", "1")
		available := false
		f := New(Options{
			Store: s, Sink: k, Wait: func() time.Duration { return wait }, ReadInterval: func() time.Duration { return time.Second },
			StoreWasAvailable: func() bool { return available },
			OnAvailable:       func() { k.record("available") },
		})
		f.Start()
		settle()
		outage := func(change func()) {
			s.set(func() { s.down = true })
			settle()
			change()
			settle()
		}
		outage(func() { s.add("b", "1"); s.set(func() { s.down = false }) })
		available = true
		outage(func() { s.add("c", "1"); s.set(func() { s.down = false }) })
		outage(func() { s.set(func() { s.down, s.first = false, 9 }) })
		check(t, k, "[reset a lost apply b back lost available apply c back lost available reset abc back]")
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
}
