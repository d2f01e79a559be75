package daemon

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/shutdown"
	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/settings"
)

// Guards against leases that stay until they expire, and results that aren't recorded,
// since an open stream used all of the time that a planned stop has.
func TestPlannedStopReleasesLeasesThoughAStreamIsOpen(t *testing.T) {
	const limit, tokens = 6 * time.Second, 800
	f := newFleet(t, 2, settings.TLS{})
	e := f.startEngine(10 * time.Millisecond)
	f.waitForVersion("language", f.publish("language", modelYAML(e.Addr())))
	lease := func(i int) (l fold.Lease) {
		for _, l = range f.daemons[i].follower.State().Leases {
		}
		return l
	}
	holder := -1
	eventually(t, "a holder", func() bool {
		for i, d := range f.daemons {
			if lease(0).Holder == d.self {
				holder = i
			}
		}
		return holder >= 0
	})
	other, old := 1-holder, f.daemons[holder]
	eventually(t, "the engine is live", func() bool {
		targets := f.status(holder).Targets
		return len(targets) == 1 && targets[0].State == "live"
	})
	c := caller.New(caller.Options{Daemons: []string{old.Listen().Callers}, SkipDiscovery: true, MaxAttempts: 1})
	defer c.Close()
	req := caller.Chat("m", "hello", tokens)
	begun, ended := make(chan struct{}), make(chan struct{})
	req.OnToken = func(tok caller.Token) {
		if tok.Index == 0 {
			close(begun)
		}
	}
	go func() {
		defer close(ended)
		_, _ = c.Do(t.Context(), req)
	}()
	select {
	case <-begun:
	case <-ended:
		t.Fatal("the stream ended before its first token")
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	if err := old.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the stop: %v", err)
	}
	<-ended
	eventually(t, "a successor", func() bool { return lease(other).Holder == f.daemons[other].self })
	if l := lease(other); !l.PreviousReleased {
		t.Errorf("%+v: taken over without a release", l)
	}
}

// Guards against a daemon that is still there when its limit for a stop is over, since
// open requests used all of it.
func TestStopKeepsTimeForItsEnd(t *testing.T) {
	for limit, want := range map[time.Duration]time.Duration{2 * time.Second: 500 * time.Millisecond, time.Minute: endTime} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			drain, cancelDrain := withTimeToEnd(ctx)
			defer cancelDrain()
			<-drain.Done()
			if end, _ := ctx.Deadline(); time.Until(end) != want {
				t.Errorf("%v of %v left, want %v", time.Until(end), limit, want)
			}
		})
	}
}

// Guards against a stop that waits for a part that doesn't end.
func TestStopEndsAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 10 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		never := make(chan struct{})
		begun := time.Now()
		err := stopWithin(ctx, func(context.Context) error {
			<-never
			return nil
		})
		if took := time.Since(begun); !errors.Is(err, shutdown.ErrDeadline) || took > limit {
			t.Errorf("%v after %v", err, took)
		}
		close(never)
	})
}
