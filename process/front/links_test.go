package front

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/process/roster"
)

// cutModes are the ways in which a daemon loses its links to the targets.
var cutModes = map[string]linkfault.Mode{"silent": linkfault.Silent, "reset": linkfault.Reset, "refused": linkfault.Refuse}

// Guards against a daemon that has lost its links to all targets and fails its
// callers, although another daemon reaches the targets.
func TestCallersOfDaemonWithoutLinksAreServed(t *testing.T) {
	for name, mode := range cutModes {
		t.Run(name, func(t *testing.T) {
			s := newTestPlatform(t)
			links := &linkfault.Links{}
			cut := s.launchWithDial(settingsText, links.Dial)
			s.startWith(replaceVM(settingsText, "vm-2"))
			s.waitFor(func() bool {
				return len(cut.roster.ReadyPeers()) == 1 && s.status(cut, "ready", standin.ReadyPath) == http.StatusOK
			})
			links.Set(mode)
			for i := range 3 {
				s.checkServed(cut, fmt.Sprint("cut-", i))
			}
			links.Set(linkfault.Pass)
			s.checkServed(cut, "restored")
		})
	}
}

// checkServed sends a request of each kind to a daemon and checks that each is
// answered and ran once.
func (p *testPlatform) checkServed(d *Daemon, id string) {
	p.t.Helper()
	for path, prompt := range map[string]string{"/p/x": "", "/i/x": "", "/s/x": "aa:10"} {
		id := id + strings.ReplaceAll(path, "/", "-")
		want := standin.Answer(id)
		if prompt != "" {
			want = standin.EventStream(3)
		}
		if status, body := p.post(d, path, id, prompt); status != http.StatusOK || body != want {
			p.t.Errorf("%s: status %d, %q", id, status, body)
		}
		runs := 0
		for _, target := range []*standin.Target{p.decode, p.plain} {
			for _, ran := range target.Ran() {
				if ran == id {
					runs++
				}
			}
		}
		if runs != 1 {
			p.t.Errorf("%s ran %d times", id, runs)
		}
	}
}

// Guards against requests that are forwarded to daemons that have no links or
// are leaving, and against a zone whose last daemons get those of all others.
func TestForwardPeers(t *testing.T) {
	member := func(vm, zone string, s roster.State) roster.Member {
		return roster.Member{VM: vm, Zone: zone, State: s}
	}
	self := member("self", "a", roster.Unlinked)
	far := member("far", "b", roster.Ready)
	for name, tc := range map[string]struct {
		others []roster.Member
		first  map[string]bool // that may come first
		count  int
	}{
		"near ones first": {[]roster.Member{member("n1", "a", roster.Ready), member("n2", "a", roster.Ready), far}, map[string]bool{"n1": true, "n2": true}, 3},
		"most of the zone without links": {[]roster.Member{member("n1", "a", roster.Ready), member("n2", "a", roster.Unlinked), far},
			map[string]bool{"n1": true, "far": true}, 3},
		"ones that lack links to other services, last": {[]roster.Member{member("n1", "a", roster.Unlinked), far}, map[string]bool{"far": true}, 2},
		"only such ones":        {[]roster.Member{member("n1", "a", roster.Unlinked), member("n2", "b", roster.Unlinked)}, map[string]bool{"n1": true, "n2": true}, 2},
		"none but leaving ones": {[]roster.Member{member("n1", "a", roster.Leaving), member("n2", "a", roster.Starting)}, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := &forwardPeers{members: func() []roster.Member { return append([]roster.Member{self}, tc.others...) }}
			seen := make(map[string]bool)
			for range 100 {
				list := p.list()
				if len(list) != tc.count {
					t.Fatalf("%d peers, want %d", len(list), tc.count)
				}
				if len(list) > 0 {
					seen[list[0].VM] = true
				}
			}
			if !maps.Equal(seen, tc.first) && len(tc.first)+len(seen) > 0 {
				t.Errorf("first ones %v, want %v", seen, tc.first)
			}
		})
	}
}
