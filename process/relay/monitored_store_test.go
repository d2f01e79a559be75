package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// flakyStore is a store whose answers can be turned off.
type flakyStore struct {
	port.Store
	mu         sync.Mutex
	silent     bool
	loseWrites bool // answers to writes are lost
	calls      int
}

func (f *flakyStore) set(silent, lose bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent, f.loseWrites = silent, lose
}

func (f *flakyStore) answer(ctx context.Context, write bool) error {
	f.mu.Lock()
	f.calls++
	silent, lost := f.silent, f.loseWrites && write
	f.mu.Unlock()
	if !silent && !lost {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(1500 * time.Millisecond):
	}
	return port.ErrUnavailable
}

func (f *flakyStore) Newest(ctx context.Context, _ port.Topic, _ string) (port.KeyedPage, error) {
	return port.KeyedPage{}, f.answer(ctx, false)
}

func (f *flakyStore) PutAt(ctx context.Context, _ port.Topic, _ string, _ []byte, _ int64) (int64, error) {
	return 0, f.answer(ctx, true)
}

func withMonitoredStore(t *testing.T, test func(t *testing.T, m *MonitoredStore, f *flakyStore)) {
	synctest.Test(t, func(t *testing.T) {
		f := &flakyStore{}
		m := NewMonitoredStore(f)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); m.Run(ctx) }()
		test(t, m, f)
		cancel()
		<-done
	})
}

// Guards against a daemon that stays leader while it alone is cut off from the
// store, so that it can't claim anything.
func TestUnansweredCallMakesStoreUnavailable(t *testing.T) {
	withMonitoredStore(t, func(t *testing.T, m *MonitoredStore, f *flakyStore) {
		f.set(true, false)
		time.Sleep(10 * time.Second)
		if m.Unavailable() {
			t.Error("unavailable without a call")
		}
		if _, err := m.PutAt(t.Context(), port.TopicClaims, "k", nil, 0); err == nil {
			t.Fatal("answered")
		}
		time.Sleep(probeTimeout + time.Millisecond)
		if !m.Unavailable() {
			t.Error("not unavailable after a call and a probe without an answer")
		}
		f.set(false, false)
		time.Sleep(probeTimeout + probeInterval + time.Millisecond)
		if m.Unavailable() {
			t.Error("still unavailable after the store recovered")
		}
		calls := f.calls
		time.Sleep(time.Minute)
		if f.calls != calls {
			t.Errorf("%d probes of a store that answers", f.calls-calls)
		}
	})
}

// Guards against duties that move to another daemon, with the delay of a lease,
// each time the answer to a single write is lost.
func TestLostWriteAnswersDoNotMakeStoreUnavailable(t *testing.T) {
	withMonitoredStore(t, func(t *testing.T, m *MonitoredStore, f *flakyStore) {
		f.set(false, true)
		for range 5 {
			if _, err := m.PutAt(t.Context(), port.TopicClaims, "k", nil, 0); err == nil {
				t.Fatal("answered")
			}
			time.Sleep(probeTimeout)
			if m.Unavailable() {
				t.Fatal("unavailable after lost answers to writes")
			}
		}
	})
}
