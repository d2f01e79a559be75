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
)

// stop begins the planned stop of daemon i.
func (f *fleet) stop(i int) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- f.daemons[i].Shutdown(context.Background()) }()
	return stopped
}

// named reports whether daemon i names the daemon of an address to callers.
func (f *fleet) named(i int, addr string) bool {
	f.t.Helper()
	_, list := get(f.t, http.DefaultClient, "http://"+f.daemons[i].Listen().Callers+caller.PathAddresses)
	return strings.Contains(list, addr)
}

// callUntil calls daemon i until the answer that named it has expired.
func (f *fleet) callUntil(i int, expired <-chan time.Time) {
	f.t.Helper()
	c := caller.New(caller.Options{Daemons: []string{f.daemons[i].Listen().Callers}, Fixed: true, Attempts: 1})
	defer c.Close()
	pace := time.NewTicker(2 * time.Millisecond)
	defer pace.Stop()
	for n := 0; ; n++ {
		<-pace.C
		a, _ := c.Do(f.t.Context(), caller.Request{Path: "/s/feed/boards", Body: []byte("b")})
		select {
		case <-expired:
			return
		default:
		}
		if !a.Whole || a.Code != code.OK {
			f.t.Fatalf("call %d to an address that callers may still hold: %+v", n, a)
		}
	}
}

// addressTTL is how long callers hold an address.
const addressTTL = 800 * time.Millisecond

// A daemon is stopped for an update. Callers hold its address from an answer
// that another daemon gave just before it heard of the stop. Until such
// answers have expired their calls must be answered, not refused; once the
// daemon refuses, nobody names it any more.
func TestPlannedStopServesUntilNobodyNamesIt(t *testing.T) {
	f := newFleet(t, 2, settings.TLS{})
	p := f.plain()
	f.inForce("feed", f.publish("feed", plainYAML(p.Addr(), time.Second)))
	old := f.daemons[0]
	addr := old.Listen().Callers
	eventually(t, "the other daemon names it", func() bool { return f.named(1, addr) })
	old.s.Control.AddressTTL = addressTTL
	old.s.Control.Heartbeat = 100 * time.Millisecond // gives the news more time, on a busy machine
	held := time.NewTimer(addressTTL)
	stopped := f.stop(0)
	eventually(t, "the other daemon doesn't name it", func() bool {
		draining := old.phase() == phaseDraining
		expires := time.NewTimer(addressTTL)
		if !f.named(1, addr) {
			return true
		}
		if draining {
			t.Fatal("it refuses requests while the other daemon names it")
		}
		held = expires
		return false
	})
	f.callUntil(0, held.C)
	if err := <-stopped; err != nil {
		t.Errorf("the stop: %v", err)
	}
}

// The holder of an engine group is stopped for an update. Nobody may order
// anything of its engines until the lease time has gone by, unless it gives
// the lease back; the successor then begins at once.
func TestPlannedStopGivesLeasesBack(t *testing.T) {
	f := newFleet(t, 2, settings.TLS{})
	e := f.engine(time.Millisecond)
	f.inForce("language", f.publish("language", modelYAML(e.Addr())))
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
		t.Errorf("first %+v, then %+v, taken over without a release", first, l)
	}
}
