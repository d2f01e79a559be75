package dispatch

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// versionedStreams is the number of streams of a test with targets of two
// software versions.
const versionedStreams = 60

// addVersion serves two targets of a software version.
func (h *harness) addVersion(service string, role port.Role, software string, slots int) []*standin.Target {
	var out []*standin.Target
	for range 2 {
		out = append(out, h.addTarget(service, role))
		list := h.entries[service]
		list[len(list)-1].Software, list[len(list)-1].Slots = software, slots
	}
	return out
}

// streamCall returns a call of a resumable route. It takes up the stream that began
// with the request resumes after the event last, unless these are empty.
func (h *harness) streamCall(service, id, resumes, last string) *Call {
	c := h.newCall(route.Stream, 2, 3*time.Second)
	if service != "llm" {
		c.Service = &route.Service{Name: service}
	}
	header := standin.CallerHeaders(id, 3*time.Second, "aa:1000,bb:460")
	if resumes != "" {
		standin.SetResumes(header, resumes, last)
	}
	meta, err := platform.TargetProtocol{}.ParseRequest(header)
	if err != nil {
		h.t.Fatal(err)
	}
	c.Meta, c.Header = meta, platform.TargetProtocol{}.ForwardHeaders(header, false)
	c.CallerHeader = func() http.Header { return header.Clone() }
	c.Route.Resumable = true
	return c
}

// leavingRecorder is a recorder whose caller leaves after some events.
type leavingRecorder struct {
	recorder
	after int
}

// Write implements Stream.
func (r *leavingRecorder) Write(events []byte) error {
	if err := r.recorder.Write(events); err != nil {
		return err
	}
	r.callerGone = strings.Count(r.text, "\n\n") >= r.after
	return nil
}

// versionLayouts are services with targets of two software versions.
var versionLayouts = []struct {
	name    string
	service string
	prefill bool
}{{"engines with prefill", "llm", true}, {"engines", "llm", false}, {"plain targets", "app", false}}

// withVersions runs a test in each layout. targets are the targets that make events,
// by software version.
func withVersions(t *testing.T, test func(t *testing.T, h *harness, service string, targets map[string][]*standin.Target)) {
	for _, layout := range versionLayouts {
		t.Run(layout.name, func(t *testing.T) {
			withHarness(t, 10*versionedStreams, func(t *testing.T, h *harness) {
				if layout.prefill {
					h.addTarget("llm", port.RolePrefill)
				}
				role := port.RoleDecode
				if layout.service != "llm" {
					role = ""
				}
				byVersion := make(map[string][]*standin.Target)
				for _, software := range []string{"v1", "v2"} {
					byVersion[software] = h.addVersion(layout.service, role, software, 64)
					for _, target := range byVersion[software] {
						target.Set(func(b *standin.Behaviour) { b.Streamed = true })
					}
				}
				test(t, h, layout.service, byVersion)
			})
		})
	}
}

// versionsOf returns the software versions whose targets ran the requests.
func versionsOf(targets map[string][]*standin.Target, ids ...string) string {
	var out []string
	for _, software := range []string{"v1", "v2"} {
		for _, id := range ids {
			if ranAny(targets[software], id) {
				out = append(out, software)
				break
			}
		}
	}
	return strings.Join(out, " ")
}

func ranAny(targets []*standin.Target, id string) bool {
	for _, target := range targets {
		for _, ran := range target.Ran() {
			if ran == id {
				return true
			}
		}
	}
	return false
}

// occupy adds streams of other daemons' callers to the targets until the returned
// function is called, so that other targets are preferred.
func (h *harness) occupy(targets []*standin.Target) (release func()) {
	var done []func()
	for _, target := range targets {
		for range 8 {
			done = append(done, h.runner.opts.Engines.Decode(target.ID, 0, nil, 0))
		}
	}
	return func() {
		for _, f := range done {
			f()
		}
	}
}

// Guards against a stream whose target fails and that goes on, within its answer, at
// another software version.
func TestCutStreamGoesOnAtItsVersion(t *testing.T) {
	withVersions(t, func(t *testing.T, h *harness, service string, targets map[string][]*standin.Target) {
		setAll := func(cutAfter int) {
			for _, list := range targets {
				for _, target := range list {
					target.Set(func(b *standin.Behaviour) { b.Events, b.CutAfter = 5, cutAfter })
				}
			}
		}
		mixed, whole := 0, 0
		for i := range versionedStreams {
			id := fmt.Sprint("cut-", i)
			setAll(2)
			out := &repairingRecorder{after: 2, repair: func() { setAll(0) }}
			_, err := h.runner.Streamed(t.Context(), h.streamCall(service, id, "", ""), out)
			if err == nil && out.text == eventText(1, 5) {
				whole++
			}
			if versionsOf(targets, id) == "v1 v2" {
				mixed++
			}
		}
		if mixed > 0 || whole < versionedStreams/2 {
			t.Errorf("of %d streams %d are whole and %d of two versions", versionedStreams, whole, mixed)
		}
	})
}

// Guards against a stream that its caller takes up with a new request and that goes on
// at another software version, also after a second break.
func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	withVersions(t, func(t *testing.T, h *harness, service string, targets map[string][]*standin.Target) {
		mixed, whole := 0, 0
		takeUp := func(i int) {
			ids := []string{fmt.Sprint("first-", i), fmt.Sprint("second-", i), fmt.Sprint("third-", i)}
			text := ""
			for n, id := range ids {
				resumes, last := "", ""
				if n > 0 {
					resumes, last = ids[0], fmt.Sprint(n)
				}
				out := &leavingRecorder{after: 1}
				if n == len(ids)-1 {
					out.after = 100
				}
				_, err := h.runner.Streamed(t.Context(), h.streamCall(service, id, resumes, last), out)
				if err != nil && code.Of(err) != code.CallerGone {
					t.Log(err)
				}
				text += out.text
				if n == 0 {
					defer h.occupy(targets[versionsOf(targets, id)])()
				}
			}
			if text == eventText(1, 3) {
				whole++
			}
			if versionsOf(targets, ids...) == "v1 v2" {
				mixed++
			}
		}
		for i := range versionedStreams {
			takeUp(i)
		}
		if mixed > 0 || whole < versionedStreams/2 {
			t.Errorf("of %d streams %d are whole and %d of two versions", versionedStreams, whole, mixed)
		}
	})
}
