package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
)

// Guards against a list of targets that is confirmed though the store has a change that
// it lacks, or doesn't answer, and against one that heartbeats keep from being confirmed.
func TestOnlyACompleteCacheIsConfirmed(t *testing.T) {
	record := func(value string) port.KeyedRecord {
		return port.KeyedRecord{Key: "a", Value: []byte(value), Offset: 7}
	}
	for _, c := range []struct {
		name   string
		listed bool
		store  lateStore
		want   bool
	}{
		{"nothing new", true, lateStore{}, true},
		{"a heartbeat", true, lateStore{batch: port.KeyedBatch{Records: []port.KeyedRecord{record("x")}}}, true},
		{"a change", true, lateStore{batch: port.KeyedBatch{Records: []port.KeyedRecord{record("y")}}}, false},
		{"the store is unavailable", true, lateStore{err: port.ErrUnavailable}, false},
		{"not listed yet", false, lateStore{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cache := NewTopicCache(&sink{}, func(a, b port.KeyedRecord) bool { return string(a.Value) == string(b.Value) })
			if c.listed {
				cache.Reset([]port.KeyedRecord{{Key: "a", Value: []byte("x"), Offset: 3}}, 4)
			}
			if got := NewConfirmation(&c.store, port.TopicTargets, cache).Check(t.Context()); got != c.want {
				t.Errorf("confirmed: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a store call for each of many streams that are taken up at once.
func TestChecksShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &lateStore{delay: 50 * time.Millisecond}
		cache := NewTopicCache(&sink{}, nil)
		cache.now = clock.NewRuntime().Now
		cache.Reset(nil, 0)
		c := NewConfirmation(store, port.TopicTargets, cache)
		time.Sleep(time.Second)
		const checks = 20
		done := make(chan bool, checks)
		for range checks {
			go func() { done <- c.Check(t.Context()) }()
		}
		for range checks {
			if !<-done {
				t.Error("not confirmed")
			}
		}
		if store.reads > 2 {
			t.Errorf("%d calls of the store for %d checks", store.reads, checks)
		}
	})
}

// cancelledStore is a lateStore whose reads fail if they are cancelled.
type cancelledStore struct{ lateStore }

func (s *cancelledStore) Read(ctx context.Context, _ port.Topic, _ int64, _ time.Duration) (port.KeyedBatch, error) {
	return s.batch, pause.For(ctx, s.delay)
}

// Guards against streams that aren't taken up, since their check shared the call of a
// caller that left.
func TestCallerThatLeavesFailsNoOtherCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := NewTopicCache(&sink{}, nil)
		cache.now = clock.NewRuntime().Now
		cache.Reset(nil, 0)
		store := &cancelledStore{lateStore{delay: 50 * time.Millisecond}}
		c := NewConfirmation(store, port.TopicTargets, cache)
		check := func(ctx context.Context) chan bool {
			done := make(chan bool, 1)
			go func() { done <- c.Check(ctx) }()
			time.Sleep(time.Millisecond)
			return done
		}
		first := check(t.Context())
		ctx, leave := context.WithCancel(t.Context())
		leaving, others := check(ctx), []chan bool{check(t.Context()), check(t.Context())}
		if !<-first {
			t.Error("the first check failed")
		}
		time.Sleep(store.delay / 2)
		leave()
		<-leaving
		for i, other := range others {
			if !<-other {
				t.Errorf("check %d failed", i)
			}
		}
	})
}
