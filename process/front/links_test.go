package front

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/platform/standin"
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
