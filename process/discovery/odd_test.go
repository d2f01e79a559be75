package discovery

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/topic"
)

// followed is a Registry that follows the topic of a stand-in of the store.
type followed struct {
	*Registry
	store *standin.Store
	next  atomic.Int64 // offset after the last record that was applied
	lost  atomic.Int64 // outages of the store
}

// StoreLost implements topic.Sink.
func (f *followed) StoreLost(err error) {
	f.lost.Add(1)
	f.Registry.StoreLost(err)
}

func follow(t *testing.T) *followed {
	f := &followed{Registry: New(Options{Decode: platform.DecodeTarget}), store: standin.NewStore()}
	srv := httptest.NewServer(f.store)
	t.Cleanup(srv.Close)
	follower := topic.New(topic.Options{
		Store: platform.NewStore(strings.TrimPrefix(srv.URL, "http://")), Topic: port.TopicTargets, Name: "targets", Sink: f,
		ReadInterval: func() time.Duration { return 0 }, Wait: func() time.Duration { return time.Second },
		OnCurrent: func(next int64) { f.next.Store(next) },
	})
	follower.Start()
	t.Cleanup(func() { _ = follower.Stop() })
	return f
}

// awaitNext waits until all records before an offset are applied.
func (f *followed) awaitNext(t *testing.T, next int64) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for f.next.Load() < next {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal("the topic isn't followed any more")
		}
	}
}

// announce writes a sound entry of a target.
func (f *followed) announce(name string) {
	f.store.Announce(standin.NewTarget(name, "decode"), "10.0.0.9:80", false)
}

// Guards against daemons that stop following the targets, or end, because of one odd
// entry of another writer among those of the targets.
func TestOddEntryAmongSoundOnes(t *testing.T) {
	for name, odd := range standin.OddTargets() {
		t.Run(name, func(t *testing.T) {
			f := follow(t)
			f.announce("first")
			f.awaitNext(t, 1)
			f.store.SetRawTarget(odd)
			f.awaitNext(t, 2)
			f.announce("second")
			f.awaitNext(t, 3)
			if got := fmt.Sprint(ids(f.Registry, "llm")); got != "[first second]" || f.lost.Load() > 0 {
				t.Errorf("targets %s, %d outages", got, f.lost.Load())
			}
		})
	}
}
