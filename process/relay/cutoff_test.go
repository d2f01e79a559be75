package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
)

// Guards against a daemon that reads the store itself, loses it, and continues
// to serve with outdated targets and routes although its peers have newer ones.
func TestReaderWithoutTheStoreFollowsItsPeers(t *testing.T) {
	for name, interval := range map[string]time.Duration{"records all the time": heartbeatInterval, "few records": time.Hour} {
		for after := time.Duration(0); after <= readWait; after += readWait / 4 {
			t.Run(fmt.Sprint(name, " ", after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { followsPeers(t, interval, after) })
			})
		}
	}
}

func followsPeers(t *testing.T, interval, after time.Duration) {
	s := &sharedStore{changed: make(chan struct{}), silent: make(map[string]bool)}
	net, now := memoryTransport{}, clock.NewRuntime().Now
	noReader := func() string { return "" }
	cut := newFollower("cut", s, net, now, noReader)
	cut.store.PeersWithStore = func() []string { return []string{"sound"} }
	reader := newFollower("reader", s, net, now, noReader)
	sound := newFollower("sound", s, net, now, func() string { return "reader" })
	ctx, stop := context.WithCancel(t.Context())
	go func() {
		for pause.For(ctx, interval) == nil {
			s.add("stays")
		}
	}()
	for _, f := range []*follower{cut, reader, sound} {
		f.Start()
	}
	_ = pause.For(ctx, 5*time.Second+after)
	s.stopAnswering("cut")
	for _, key := range []string{"leaves first", "leaves second", "leaves third"} {
		s.add(key)
		_ = pause.For(ctx, leaveBound)
		if !cut.hasKey(key) {
			t.Errorf("target %q isn't known after %v", key, leaveBound)
		}
		if age := now() - cut.store.AsOf(port.TopicTargets); age > leaveBound {
			t.Errorf("the targets are %v old", age)
		}
	}
	stop()
	for _, f := range []*follower{cut, reader, sound} {
		_ = f.Stop()
	}
}
