package daemon

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/process/settings"
)

// Guards against a daemon that has lost its links to all targets and fails its
// callers, although another daemon reaches the targets.
func TestDaemonWithoutLinksServesThroughPeers(t *testing.T) {
	for name, mode := range map[string]linkfault.Mode{"silent": linkfault.Silent, "reset": linkfault.Reset, "refused": linkfault.Refuse} {
		t.Run(name, func(t *testing.T) {
			links := &linkfault.Links{}
			f := newFleetWithLinks(t, 2, links)
			p, e := f.startPlain(), f.startEngine(0)
			f.waitForVersion("feed", f.publish("feed", onceYAML(p.Addr())))
			f.waitForVersion("language", f.publish("language", modelYAML(e.Addr())))
			for i := range f.daemons {
				eventually(t, "the engine and the other daemon are live", func() bool {
					live, _ := f.daemons[i].members.View().Reachable()
					s := f.status(i)
					return live == 1 && len(s.Targets) == 2 && s.Targets[0].State == "live" && s.Targets[1].State == "live"
				})
			}
			links.Set(mode)
			c := caller.New(caller.Options{Daemons: []string{f.daemons[0].Listen().Callers}, SkipDiscovery: true, MaxAttempts: 1})
			defer c.Close()
			for i := range 2 {
				key := fmt.Sprintf("key-%d", i)
				stream := caller.Chat("m", "hello", 8)
				for kind, req := range map[string]caller.Request{
					"call":              {Path: "/s/feed/list", Body: []byte("b")},
					"at-most-once call": {Path: "/s/feed/boards", Body: []byte("b"), Key: key},
					"stream":            stream,
				} {
					if a, err := c.Do(t.Context(), req); a.Code != code.OK || !a.Complete {
						t.Errorf("%s %d: code %d, complete %v, %v", kind, i, a.Code, a.Complete, err)
					}
				}
				if n := p.Record().Keys[key]; n != 1 {
					t.Errorf("%s ran %d times", key, n)
				}
			}
		})
	}
}

// newFleetWithLinks returns a fleet whose first daemon connects to targets over
// the links.
func newFleetWithLinks(t *testing.T, n int, links *linkfault.Links) *fleet {
	return newFleetWithDial(t, n, settings.TLS{}, map[int]func(context.Context, string) (net.Conn, error){0: links.Dial})
}

// Guards against a daemon that finds by itself that the only target is down, and refuses
// its callers, although another daemon reaches the target.
func TestTargetThatOnlyThisDaemonFindsDownIsReachedThroughPeers(t *testing.T) {
	for name, mode := range map[string]linkfault.Mode{"reset": linkfault.Reset, "refused": linkfault.Refuse} {
		t.Run(name, func(t *testing.T) {
			links := &linkfault.Links{}
			f := newFleetWithLinks(t, 2, links)
			e := f.startEngine(0)
			f.waitForVersion("language", f.publish("language", modelYAML(e.Addr())))
			state := func(i int) string {
				s := f.status(i).Targets
				if len(s) != 1 {
					return ""
				}
				return s[0].State
			}
			for i := range f.daemons {
				eventually(t, "the engine and the other daemon are live", func() bool {
					live, _ := f.daemons[i].members.View().Reachable()
					return live == 1 && state(i) == "live"
				})
			}
			links.Set(mode)
			d := f.daemons[0]
			d.pool.ReportUnreachable(e.Addr(), syscall.ECONNREFUSED)
			eventually(t, "the daemon finds the engine down", func() bool { return state(0) != "live" })
			c := caller.New(caller.Options{Daemons: []string{d.Listen().Callers}, SkipDiscovery: true, MaxAttempts: 1})
			defer c.Close()
			if a, err := c.Do(t.Context(), caller.Chat("m", "hello", 8)); a.Code != code.OK || !a.Complete {
				t.Errorf("code %d, complete %v, %v", a.Code, a.Complete, err)
			}
		})
	}
}
