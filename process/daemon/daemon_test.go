package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/process/settings"
)

// Guards against daemons that serve an old version after a restart of the whole
// fleet. Two versions are published, then all VMs are replaced at once. The new
// processes must read the second version from the log and never serve the
// first.
func TestConfigurationSurvivesRestartOfAll(t *testing.T) {
	f := newFleet(t, 3, settings.TLS{})
	p := f.startPlain()
	first := f.publish("feed", plainYAML(p.Addr(), time.Second))
	f.waitForVersion("feed", first)
	second := f.publish("feed", plainYAML(p.Addr(), 2*time.Second))
	f.waitForVersion("feed", second)
	f.kill()
	for i := range f.daemons {
		f.start(i)
	}
	for i := range f.daemons {
		eventually(t, "the new daemon serves", func() bool {
			if v := f.version(i, "feed"); v == first {
				t.Fatalf("daemon %d went back to version %d", i, v)
			}
			status, _ := f.ready(i)
			return status == http.StatusOK
		})
		if v := f.version(i, "feed"); v != second {
			t.Errorf("daemon %d serves version %d, want %d", i, v, second)
		}
	}
}

// Guards against stale configuration on a daemon that can't reach the log but
// can reach its peers. It must get new records from the peers and keep serving,
// also after a restart.
func TestDaemonWithoutLogServesFromPeers(t *testing.T) {
	f := newFleet(t, 3, settings.TLS{})
	p := f.startPlain()
	f.waitForVersion("feed", f.publish("feed", plainYAML(p.Addr(), time.Second)))
	f.logProxies[0].cut()
	second := f.publish("feed", plainYAML(p.Addr(), 2*time.Second))
	f.waitForVersion("feed", second)
	eventually(t, "the log's age shows the cut", func() bool { return f.daemons[0].logAge() > 2*f.daemons[0].s.Control.Isolation })
	if status, body := f.ready(0); status != http.StatusOK {
		t.Errorf("with all peers reachable, readyz answers %d %s", status, body)
	}
	f.daemons[0].Kill()
	f.start(0)
	f.waitForVersion("feed", second, 0)
	f.logProxies[0].restore()
	f.waitForVersion("feed", f.publish("feed", plainYAML(p.Addr(), 3*time.Second)))
}

// A daemon that can reach neither the log nor its peers must refuse new
// requests without running them, with the code for isolation, because targets
// may have been drained meanwhile.
func TestIsolatedDaemonRefuses(t *testing.T) {
	f := newFleet(t, 3, settings.TLS{})
	p := f.startPlain()
	f.waitForVersion("feed", f.publish("feed", plainYAML(p.Addr(), time.Second)))
	eventually(t, "all daemons see each other as live", func() bool { live, _ := f.daemons[0].members.View().Reachable(); return live == 2 })
	f.logProxies[0].cut()
	f.daemons[1].Kill()
	f.daemons[2].Kill()
	eventually(t, "isolated", func() bool { return f.status(0).Code == code.Isolated })
	runs := p.Record().Runs
	c := caller.New(caller.Options{Daemons: []string{f.daemons[0].Listen().Callers}, SkipDiscovery: true, MaxAttempts: 1})
	defer c.Close()
	a, _ := c.Do(t.Context(), caller.Request{Path: "/s/feed/boards", Body: []byte("b")})
	if a.Code != code.Isolated || !a.NotRun || p.Record().Runs != runs {
		t.Errorf("%+v, %d runs", a, p.Record().Runs-runs)
	}
	if status, body := f.ready(0); status != http.StatusServiceUnavailable || !strings.HasPrefix(body, "1004 ") {
		t.Errorf("readyz: %d %s", status, body)
	}
	f.logProxies[0].restore()
	// The log is quiet and the peers stay down, so only reads of the log's tail
	// show that nothing new is in force. They must be frequent enough.
	eventually(t, "served again", func() bool { return f.status(0).State == "serving" })
	began, reads := time.Duration(0), 0
	eventually(t, "more reads", func() bool {
		if s := f.status(0); s.State != "serving" {
			t.Fatalf("with a reachable log, the daemon is %s, log age %d ms", s.State, s.LogAgeMs)
		}
		if at, _ := f.daemons[0].follower.LastReadStart(); at != began {
			began, reads = at, reads+1
		}
		return reads == 5
	})
}

// Guards against a planned stop that cuts a stream which takes longer than
// callers keep addresses. The stream must complete; new requests must be
// refused without being run, and other daemons must no longer list the address.
func TestPlannedStopCompletesOpenStream(t *testing.T) {
	f := newFleet(t, 2, settings.TLS{})
	e := f.startEngine(10 * time.Millisecond)
	f.waitForVersion("language", f.publish("language", modelYAML(e.Addr())))
	eventually(t, "the engine is live", func() bool { return len(f.status(0).Targets) == 1 && f.status(0).Targets[0].State == "live" })
	const tokens = 250
	old, other := f.daemons[0], f.daemons[1]
	c := caller.New(caller.Options{Daemons: []string{old.Listen().Callers}, SkipDiscovery: true, MaxAttempts: 1})
	defer c.Close()
	req := caller.Chat("m", "hello", tokens)
	begun, ended := make(chan struct{}), make(chan *caller.Answer, 1)
	req.OnToken = func(tok caller.Token) {
		if tok.Index == 0 {
			close(begun)
		}
	}
	go func() { a, _ := c.Do(t.Context(), req); ended <- a }()
	<-begun
	stopped := make(chan error, 1)
	go func() { stopped <- old.Shutdown(context.Background()) }()
	eventually(t, "drains", func() bool { return old.phase() == phaseDraining })
	if a, _ := c.Do(t.Context(), caller.Chat("m", "too late", 1)); a.Code != code.Draining || !a.NotRun {
		t.Errorf("a new request at the draining daemon: %+v", a)
	}
	eventually(t, "the other daemon lists only itself", func() bool {
		_, list := get(t, http.DefaultClient, "http://"+other.Listen().Callers+caller.PathAddresses)
		return !strings.Contains(list, old.Listen().Callers)
	})
	select {
	case <-ended:
		t.Fatal("the stream ended before the address list was updated; the test shows nothing")
	default:
	}
	if a := <-ended; !a.Complete || a.Tokens != tokens || a.CutAttempts > 0 {
		t.Errorf("the stream in flight: %+v", a)
	}
	if err := <-stopped; err != nil {
		t.Errorf("the stop: %v", err)
	}
}

// Checks the readiness probe and the status before the first document, while
// the daemon serves, and while it drains.
func TestStatusAndReadiness(t *testing.T) {
	f := newFleet(t, 2, settings.TLS{})
	f.logProxies[0].cut()
	f.logProxies[1].cut()
	f.kill()
	f.start(0)
	if status, body := f.ready(0); status != http.StatusServiceUnavailable || !strings.HasPrefix(body, "1014 ") {
		t.Errorf("before the log was read: %d %s", status, body)
	}
	f.logProxies[0].restore()
	p := f.startPlain()
	version := f.publish("feed", plainYAML(p.Addr(), time.Second))
	f.waitForVersion("feed", version, 0)
	s := f.status(0)
	if s.State != "serving" || s.Code != code.OK || len(s.Services) != 1 || s.Services[0].Version != version || s.Applied < version {
		t.Errorf("serving: %+v", s)
	}
	if status, _ := f.ready(0); status != http.StatusOK {
		t.Errorf("serving, but readyz answers %d", status)
	}
	f.daemons[0].setPhase(phaseDraining)
	if status, body := f.ready(0); status != http.StatusServiceUnavailable || !strings.HasPrefix(body, "1005 ") {
		t.Errorf("draining: %d %s", status, body)
	}
}
