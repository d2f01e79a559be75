package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/standin/plain"
)

// stop begins a planned stop of daemon i.
func (f *fleet) stop(i int) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- f.daemons[i].Shutdown(context.Background()) }()
	return stopped
}

// listsAddress reports whether daemon i lists the address in its address
// answers.
func (f *fleet) listsAddress(i int, addr string) bool {
	f.t.Helper()
	_, list := get(f.t, http.DefaultClient, "http://"+f.daemons[i].Listen().Callers+caller.PathAddresses)
	return strings.Contains(list, addr)
}

// callUntil calls daemon i until the last address answer that listed it has
// expired.
func (f *fleet) callUntil(i int, expired <-chan time.Time) {
	f.t.Helper()
	c := caller.New(caller.Options{Daemons: []string{f.daemons[i].Listen().Callers}, SkipDiscovery: true, MaxAttempts: 1})
	defer c.Close()
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		<-ticker.C
		a, _ := c.Do(f.t.Context(), caller.Request{Path: "/s/feed/boards", Body: []byte("b")})
		select {
		case <-expired:
			return
		default:
		}
		if !a.Complete || a.Code != code.OK {
			f.t.Fatalf("call %d to an address that callers may still have cached: %+v", n, a)
		}
	}
}

// addressTTL is how long callers keep an address.
const addressTTL = 800 * time.Millisecond

// Guards against calls that are refused during a planned stop. Callers may have
// the daemon's address from an answer that another daemon gave just before it
// learned of the stop. Calls must be served until such answers have expired,
// and no daemon may list the address once the stopping daemon refuses requests.
func TestPlannedStopServesUntilAddressesExpire(t *testing.T) {
	f := newFleet(t, 2, settings.TLS{})
	p := f.startPlain()
	f.waitForVersion("feed", f.publish("feed", plainYAML(p.Addr(), time.Second)))
	old := f.daemons[0]
	addr := old.Listen().Callers
	eventually(t, "the other daemon lists it", func() bool { return f.listsAddress(1, addr) })
	old.s.Control.AddressTTL = addressTTL
	old.s.Control.Heartbeat = 100 * time.Millisecond // more time for heartbeats to spread on a busy machine
	held := time.NewTimer(addressTTL)
	stopped := f.stop(0)
	eventually(t, "the other daemon no longer lists it", func() bool {
		draining := old.phase() == phaseDraining
		expires := time.NewTimer(addressTTL)
		if !f.listsAddress(1, addr) {
			return true
		}
		if draining {
			t.Fatal("it refuses requests while the other daemon lists it")
		}
		held = expires
		return false
	})
	f.callUntil(0, held.C)
	if err := <-stopped; err != nil {
		t.Errorf("the stop: %v", err)
	}
}

// Guards against a gap in orders when the holder of an engine group's lease is
// stopped for an update. Unless the holder releases the lease, no daemon may
// order these engines until it expires.
func TestPlannedStopReleasesLeases(t *testing.T) {
	f := newFleet(t, 2, settings.TLS{})
	e := f.startEngine(time.Millisecond)
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
	first, other := lease(0), 1-holder
	if err := <-f.stop(holder); err != nil {
		t.Errorf("the stop: %v", err)
	}
	eventually(t, "a successor", func() bool { return lease(other).Holder == f.daemons[other].self })
	if l := lease(other); l.Claim == first.Claim || !l.PreviousReleased {
		t.Errorf("first %+v, then %+v: taken over without a release", first, l)
	}
}

// Guards against a stream that is accepted by a daemon that is being stopped, though
// it may last beyond the drain limit, and is cut there. It must be refused as not run
// while the daemon still serves what ends in time.
func TestPlannedStopRefusesWhatOutlastsIt(t *testing.T) {
	f := newFleet(t, 2, settings.TLS{})
	e := f.startEngine(10 * time.Millisecond)
	f.waitForVersion("language", f.publish("language", modelYAML(e.Addr())))
	eventually(t, "the engine is live", func() bool { return len(f.status(0).Targets) == 1 && f.status(0).Targets[0].State == "live" })
	old := f.daemons[0]
	old.s.Control.AddressTTL = time.Minute // until the limit, callers may have the address
	c := caller.New(caller.Options{Daemons: []string{old.Listen().Callers}, SkipDiscovery: true, MaxAttempts: 1})
	defer c.Close()
	const limit = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- old.Shutdown(ctx) }()
	eventually(t, "leaves", func() bool { return old.phase() == phaseLeaving })
	if a, _ := c.Do(t.Context(), caller.Chat("m", "long", 1000)); a.Code != code.Draining || !a.NotRun {
		t.Errorf("a stream that would be cut: %+v", a)
	}
	brief := caller.Chat("m", "short", 1)
	brief.Deadline = limit / 4
	if a, _ := c.Do(t.Context(), brief); !a.Complete || a.Code != code.OK {
		t.Errorf("a request that ends in time: %+v", a)
	}
	if err := <-stopped; err != nil {
		t.Errorf("the stop: %v", err)
	}
}

// Guards against requests whose connections are closed without any answer, or in the
// middle of a stream, since they are open at the end of a planned stop.
func TestPlannedStopAnswersWhatItEnds(t *testing.T) {
	f := newFleet(t, 2, settings.TLS{})
	e, p := f.startEngine(10*time.Millisecond), plain.New(plain.Options{Name: "p", Latency: time.Minute})
	f.run(p.Run, p.Close)
	f.waitForVersion("feed", f.publish("feed", plainYAML(p.Addr(), time.Second)))
	f.waitForVersion("language", f.publish("language", modelYAML(e.Addr())))
	eventually(t, "the targets are live", func() bool {
		s := f.status(0).Targets
		return len(s) == 2 && s[0].State == "live" && s[1].State == "live"
	})
	c := caller.New(caller.Options{Daemons: []string{f.daemons[0].Listen().Callers}, SkipDiscovery: true, MaxAttempts: 1})
	defer c.Close()
	const calls = 2
	answers := make(chan *caller.Answer, calls)
	for _, r := range []caller.Request{caller.Chat("m", "long", 1000), {Path: "/s/feed/list", Body: []byte("b")}} {
		r.Deadline = time.Minute
		go func() {
			a, _ := c.Do(t.Context(), r)
			answers <- a
		}()
	}
	eventually(t, "both run", func() bool { return f.daemons[0].entry.Open() == calls })
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = f.daemons[0].Shutdown(ctx) // reports that it cut requests
	for range calls {
		if a := <-answers; a.Code != code.Stopped {
			t.Errorf("%+v", a)
		}
	}
}
