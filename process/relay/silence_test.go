package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/topic"
)

const (
	// leaveBound is the time after which no request may reach a target that
	// announced that it leaves.
	leaveBound = 3 * time.Second
	// readWait and readInterval are the wait and the interval of reads of the
	// targets' topic for that bound.
	readWait     = 1200 * time.Millisecond
	readInterval = 400 * time.Millisecond
	// clientTimeout is how long the store's client waits for an answer beyond
	// the wait of a read.
	clientTimeout = 1500 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of the targets.
	heartbeatInterval = 300 * time.Millisecond
)

// sharedStore is a store that can stop answering single VMs.
type sharedStore struct {
	mu      sync.Mutex
	records []port.KeyedRecord
	changed chan struct{}
	silent  map[string]bool
}

func (s *sharedStore) add(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, record(int64(len(s.records)), key))
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedStore) stopAnswering(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[vm] = true
}

// vmStore is the sharedStore as used by one VM.
type vmStore struct {
	port.Store
	s  *sharedStore
	vm string
}

func (v vmStore) Newest(ctx context.Context, t port.Topic, _ string) (port.KeyedPage, error) {
	batch, err := v.Read(ctx, t, 0, 0)
	return port.KeyedPage{Records: batch.Records, End: batch.Next}, err
}

func (v vmStore) Read(ctx context.Context, _ port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	limit := time.NewTimer(wait + clientTimeout)
	defer limit.Stop()
	waited := time.NewTimer(wait)
	defer waited.Stop()
	end := waited.C
	for {
		v.s.mu.Lock()
		silent, changed := v.s.silent[v.vm], v.s.changed
		out := append([]port.KeyedRecord(nil), v.s.records[from:]...)
		v.s.mu.Unlock()
		if silent {
			end = nil
		} else if len(out) > 0 {
			return port.KeyedBatch{Records: out, Next: from + int64(len(out))}, nil
		}
		select {
		case <-changed:
		case <-end:
			end = nil
			if !silent {
				return port.KeyedBatch{Next: from}, nil
			}
		case <-limit.C:
			return port.KeyedBatch{}, port.ErrUnavailable
		case <-ctx.Done():
			return port.KeyedBatch{}, ctx.Err()
		}
	}
}

// memoryTransport carries requests to the daemons' handlers without a network.
type memoryTransport map[string]http.Handler

func (m memoryTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		m[req.URL.Host].ServeHTTP(rec, req)
	}()
	select {
	case <-done:
		return rec.Result(), nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

// follower is one daemon of the zone with the targets that it knows.
type follower struct {
	storeLost atomic.Bool
	mu        sync.Mutex
	known     map[string]bool
	store     *Store
	*topic.Follower
}

func (f *follower) Reset(r []port.KeyedRecord, _ int64) { f.Apply(r) }
func (f *follower) StoreLost(error)                     { f.storeLost.Store(true) }
func (f *follower) StoreRecovered()                     { f.storeLost.Store(false) }

func (f *follower) Apply(records []port.KeyedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.known[r.Key] = true
	}
}

func (f *follower) hasKey(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known[key]
}

// newFollower adds a daemon to the zone. reader returns the daemon that it
// reads from; empty means the store.
func newFollower(vm string, s *sharedStore, net memoryTransport, now func() time.Duration, reader func() string) *follower {
	f := &follower{known: make(map[string]bool)}
	cache := NewTopicCache(f, nil)
	cache.now = now
	readers := func() []string {
		if addr := reader(); addr != "" {
			return []string{addr}
		}
		return nil
	}
	store := NewStore(vmStore{s: s, vm: vm}, readers, func() []string { return nil }, port.TopicTargets)
	store.now = now
	store.client = &http.Client{Transport: net}
	f.store = store
	net[vm] = Handler(map[port.Topic]*TopicCache{port.TopicTargets: cache})
	f.Follower = topic.New(topic.Options{
		Store: store, Topic: port.TopicTargets, Name: vm, Sink: cache,
		Wait:         func() time.Duration { return readWait },
		ReadInterval: func() time.Duration { return readInterval },
		OnCurrent:    func(next int64) { cache.Confirm(store.AsOf(port.TopicTargets), store.AsOf(port.TopicTargets), next) },
	})
	return f
}

// Guards against requests to a target 3.0 to 3.3 s after it announced that it
// leaves. When the store stops answering the VM of a reader, the reader's own
// read hangs for up to 2.7 s, and in that time the reader must not report "no
// changes" to other daemons. Neither must its successor, which has never read
// the store.
func TestSilentReaderIsNotTakenAsNoChanges(t *testing.T) {
	const step = 100 * time.Millisecond
	for after := time.Duration(0); after <= readWait; after += step {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &sharedStore{changed: make(chan struct{}), silent: make(map[string]bool)}
				net, now := memoryTransport{}, clock.NewRuntime().Now
				first := newFollower("first", s, net, now, func() string { return "" })
				second := newFollower("second", s, net, now, func() string {
					if first.storeLost.Load() {
						return ""
					}
					return "first"
				})
				third := newFollower("third", s, net, now, func() string {
					if first.storeLost.Load() {
						return "second"
					}
					return "first"
				})
				// Half of the zone always reads from the second daemon, which
				// itself reads from the first.
				fourth := newFollower("fourth", s, net, now, func() string { return "second" })
				ctx, stop := context.WithCancel(t.Context())
				go func() {
					for pause.For(ctx, heartbeatInterval) == nil {
						s.add("stays")
					}
				}()
				for _, f := range []*follower{first, second, third, fourth} {
					f.Start()
				}
				_ = pause.For(ctx, 5*time.Second+after)
				s.stopAnswering("first")
				s.add("leaves")
				_ = pause.For(ctx, leaveBound)
				for name, f := range map[string]*follower{"second": second, "third": third, "fourth": fourth} {
					if !f.hasKey("leaves") {
						t.Errorf("%s doesn't know after %v that the target leaves", name, leaveBound)
					}
				}
				stop()
				for _, f := range []*follower{first, second, third, fourth} {
					_ = f.Stop()
				}
			})
		})
	}
}

// A daemon that waits at a reader gets an error as soon as the reader's data is
// too old or the reader loses the store, not only at the end of its wait.
func TestReadFailsWhenCacheIsStale(t *testing.T) {
	const wait, maxAge = 5 * time.Second, 2 * time.Second
	for name, c := range map[string]struct {
		lostAfter, want time.Duration
	}{
		"silent": {time.Hour, maxAge},
		"lost":   {time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cache := NewTopicCache(&sink{}, nil)
				cache.now = clock.NewRuntime().Now
				cache.Reset(nil, 7)
				cache.Confirm(0, 0, 0)
				loss := time.AfterFunc(c.lostAfter, func() { cache.StoreLost(port.ErrUnavailable) })
				defer loss.Stop()
				if _, w := cache.read(t.Context(), 7, wait, wait, maxAge); w == ok || cache.now() != c.want {
					t.Errorf("status %v after %v, want after %v", w, cache.now(), c.want)
				}
				if _, w := cache.read(t.Context(), 7, wait, wait, maxAge); w == ok || cache.now() != c.want {
					t.Errorf("second read: status %v after %v", w, cache.now())
				}
			})
		})
	}
}

// slowStore answers each read after a fixed time.
type slowStore struct {
	port.Store
	latency time.Duration
}

func (s *slowStore) Read(ctx context.Context, _ port.Topic, _ int64, _ time.Duration) (port.KeyedBatch, error) {
	return port.KeyedBatch{}, pause.For(ctx, s.latency)
}

// Guards against a daemon that stops reading a store that answers, but takes
// longer than readGrace. Only one read is cut short; the following ones may
// take longer until one is answered quickly again.
func TestSlowStoreIsStillRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{latency: 2 * readGrace}
		s := NewStore(slow, func() []string { return nil }, nil, port.TopicTargets)
		s.now = clock.NewRuntime().Now
		read := func() bool {
			_, err := s.Read(t.Context(), port.TopicTargets, 0, 0)
			return err == nil
		}
		if read() || !read() || !read() {
			t.Error("want one timeout of a slow store, then successful reads")
		}
		slow.latency = readGrace / 2
		if !read() {
			t.Error("a read of a store that is fast again failed")
		}
		slow.latency = 2 * readGrace
		if read() {
			t.Error("no timeout of a store that is slow again")
		}
	})
}
