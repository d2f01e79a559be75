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
	// said that it leaves.
	leaveBound = 3 * time.Second
	// readWait and readPace are those of the targets' topic at that bound.
	readWait = 1200 * time.Millisecond
	readPace = 400 * time.Millisecond
	// clientPatience is how long the store's client waits beyond a read's wait.
	clientPatience = 1500 * time.Millisecond
	// beatEvery is the time between two records of targets that stay.
	beatEvery = 300 * time.Millisecond
)

// sharedStore is a store that can fall silent for some VMs.
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

func (s *sharedStore) silence(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[vm] = true
}

// viewOf is the store as one VM reaches it.
type viewOf struct {
	port.Store
	s  *sharedStore
	vm string
}

func (v viewOf) Newest(ctx context.Context, t port.Topic, _ string) (port.KeyedPage, error) {
	batch, err := v.Read(ctx, t, 0, 0)
	return port.KeyedPage{Records: batch.Records, End: batch.Next}, err
}

func (v viewOf) Read(ctx context.Context, _ port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	limit := time.NewTimer(wait + clientPatience)
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

// inMemory carries requests to the daemons' handlers without a network.
type inMemory map[string]http.Handler

func (m inMemory) RoundTrip(req *http.Request) (*http.Response, error) {
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

// follower is one daemon of the zone and what it knows of the targets.
type follower struct {
	away  atomic.Bool
	mu    sync.Mutex
	known map[string]bool
	store *Store
	*topic.Follower
}

func (f *follower) Reset(r []port.KeyedRecord, _ int64) { f.Apply(r) }
func (f *follower) Lost(error)                          { f.away.Store(true) }
func (f *follower) Back()                               { f.away.Store(false) }

func (f *follower) Apply(records []port.KeyedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.known[r.Key] = true
	}
}

func (f *follower) knows(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known[key]
}

// newFollower adds a daemon to the zone. reader names the one it asks.
func newFollower(vm string, s *sharedStore, net inMemory, now func() time.Duration, reader func() string) *follower {
	f := &follower{known: make(map[string]bool)}
	tail := NewTail(f, nil)
	tail.now = now
	readers := func() []string {
		if addr := reader(); addr != "" {
			return []string{addr}
		}
		return nil
	}
	store := NewStore(viewOf{s: s, vm: vm}, readers, func() []string { return nil }, port.TopicTargets)
	store.now = now
	store.client = &http.Client{Transport: net}
	f.store = store
	net[vm] = Handler(map[port.Topic]*Tail{port.TopicTargets: tail})
	f.Follower = topic.New(topic.Options{
		Store: store, Topic: port.TopicTargets, Name: vm, Sink: tail,
		Wait:    func() time.Duration { return readWait },
		Pace:    func() time.Duration { return readPace },
		Current: func(next int64) { tail.Confirm(store.AsOf(port.TopicTargets), next) },
	})
	return f
}

// Requests reach a target 3.0 to 3.3 s after it has said that it leaves. The
// store fell silent for the VM that reads it for others of its zone; its read
// hung for 2.7 s ("store lost" at 5.476 s for a read begun at 2.776 s), and all
// the while it told those who asked that nothing was new. So did its successor,
// which had never read the store: c-9 sent to a target at 5.593 s that had left
// at 2.574 s, and in seconds 3 and 4 three of 90 daemons read the store at all.
func TestReadersSilenceIsNotTakenForNoNews(t *testing.T) {
	const step = 100 * time.Millisecond
	for after := time.Duration(0); after <= readWait; after += step {
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &sharedStore{changed: make(chan struct{}), silent: make(map[string]bool)}
				net, now := inMemory{}, clock.NewRuntime().Now
				first := newFollower("first", s, net, now, func() string { return "" })
				second := newFollower("second", s, net, now, func() string {
					if first.away.Load() {
						return ""
					}
					return "first"
				})
				third := newFollower("third", s, net, now, func() string {
					if first.away.Load() {
						return "second"
					}
					return "first"
				})
				// Half of the zone reads from the second all the time, which itself
				// reads from the first.
				fourth := newFollower("fourth", s, net, now, func() string { return "second" })
				ctx, stop := context.WithCancel(t.Context())
				go func() {
					for pause.For(ctx, beatEvery) == nil {
						s.add("stays")
					}
				}()
				for _, f := range []*follower{first, second, third, fourth} {
					f.Start()
				}
				_ = pause.For(ctx, 5*time.Second+after)
				s.silence("first")
				s.add("leaves")
				_ = pause.For(ctx, leaveBound)
				for name, f := range map[string]*follower{"second": second, "third": third, "fourth": fourth} {
					if !f.knows("leaves") {
						t.Errorf("%s doesn't know of it %v later", name, leaveBound)
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

// A daemon that waits at a reader is told so as soon as the reader's word is
// too old, or the reader knows that it lost the store; not at the end of its
// wait.
func TestOldWordDoesNotCount(t *testing.T) {
	const wait, maxAge = 5 * time.Second, 2 * time.Second
	for name, c := range map[string]struct {
		lostAfter, want time.Duration
	}{
		"silent": {time.Hour, maxAge},
		"lost":   {time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tail := NewTail(&sink{}, nil)
				tail.now = clock.NewRuntime().Now
				tail.Reset(nil, 7)
				tail.Confirm(0, 0)
				loss := time.AfterFunc(c.lostAfter, func() { tail.Lost(port.ErrUnavailable) })
				defer loss.Stop()
				if _, w := tail.read(t.Context(), 7, wait, maxAge); w == ok || tail.now() != c.want {
					t.Errorf("told %v after %v, want after %v", w, tail.now(), c.want)
				}
				if _, w := tail.read(t.Context(), 7, wait, maxAge); w == ok || tail.now() != c.want {
					t.Errorf("asked again: %v after %v", w, tail.now())
				}
			})
		})
	}
}

// slowStore answers each read after a while.
type slowStore struct {
	port.Store
	takes time.Duration
}

func (s *slowStore) Read(ctx context.Context, _ port.Topic, _ int64, _ time.Duration) (port.KeyedBatch, error) {
	return port.KeyedBatch{}, pause.For(ctx, s.takes)
}

// Nothing changes any more although the store answers: it takes longer than
// the patience that finds a silent one soon. So patience ends once only, until
// an answer comes soon again.
func TestSlowStoreIsStillRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowStore{takes: 2 * patience}
		s := NewStore(slow, func() []string { return nil }, nil, port.TopicTargets)
		s.now = clock.NewRuntime().Now
		read := func() bool {
			_, err := s.Read(t.Context(), port.TopicTargets, 0, 0)
			return err == nil
		}
		if read() || !read() || !read() {
			t.Error("a slow store isn't found out once and read then")
		}
		slow.takes = patience / 2
		if !read() {
			t.Error("a store that is quick again isn't read")
		}
		slow.takes = 2 * patience
		if read() {
			t.Error("a store that is silent again isn't found out")
		}
	})
}
