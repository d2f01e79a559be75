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

// Guards against a daemon that reads the store itself, loses it and serves on
// with old targets and routes although its peers have newer ones.
func TestReaderWithoutTheStoreFollowsItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sharedStore{changed: make(chan struct{}), silent: make(map[string]bool)}
		net, now := inMemory{}, clock.NewRuntime().Now
		noReader := func() string { return "" }
		cut := newFollower("cut", s, net, now, noReader)
		cut.store.Hearing = func() []string { return []string{"sound"} }
		sound := newFollower("sound", s, net, now, noReader)
		ctx, stop := context.WithCancel(t.Context())
		go func() {
			for pause.For(ctx, beatEvery) == nil {
				s.add("stays")
			}
		}()
		for _, f := range []*follower{cut, sound} {
			f.Start()
		}
		_ = pause.For(ctx, 5*time.Second)
		s.silence("cut")
		for _, key := range []string{"leaves first", "leaves second", "leaves third"} {
			s.add(key)
			_ = pause.For(ctx, leaveBound)
			if !cut.knows(key) {
				t.Errorf("target %q isn't known %v later", key, leaveBound)
			}
			if age := now() - cut.store.AsOf(port.TopicTargets); age > leaveBound {
				t.Errorf("the targets are %v old", age)
			}
		}
		stop()
		for _, f := range []*follower{cut, sound} {
			_ = f.Stop()
		}
	})
}
