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

// resume takes up a stream of the harness's engines after its first event.
func (h *harness) resume(id, resumes string) (*recorder, Trace, error) {
	out := &recorder{}
	trace, err := h.runner.Streamed(h.t.Context(), h.streamCall("llm", id, resumes, "1"), out)
	return out, trace, err
}

// Guards against a stream that goes on at any version if the one at which it began
// isn't known, against a prefill for it, and against an answer that makes its caller
// wait or says that it may have run.
func TestStreamOfUnknownOriginIsRejected(t *testing.T) {
	withHarness(t, 10, func(t *testing.T, h *harness) {
		targets := []*standin.Target{h.addTarget("llm", port.RolePrefill)}
		targets = append(targets, h.addVersion("llm", port.RoleDecode, "v1", 8)...)
		targets = append(targets, h.addVersion("llm", port.RoleDecode, "v2", 8)...)
		for _, resumes := range []string{"", "unknown"} {
			c := h.streamCall("llm", "r1", resumes, "1")
			c.Meta.LastEventID = "1"
			_, err := h.runner.Streamed(t.Context(), c, &recorder{})
			e, ok := err.(*code.Error)
			if !ok || e.Code != code.OriginUnknown || !e.Code.Info().NotRun || e.RetryAfter <= 0 {
				t.Errorf("stream of request %q: %v", resumes, err)
			}
		}
		for _, target := range targets {
			if n := len(target.Arrivals()); n > 0 {
				t.Errorf("%s received %d requests", target.ID, n)
			}
		}
	})
}

// Guards against a prefill for a stream whose version isn't served any more.
func TestStreamOfVersionThatIsGoneIsRejected(t *testing.T) {
	withHarness(t, 10, func(t *testing.T, h *harness) {
		p := h.addTarget("llm", port.RolePrefill)
		h.addVersion("llm", port.RoleDecode, "v1", 8)
		out := &leavingRecorder{after: 1}
		_, _ = h.runner.Streamed(t.Context(), h.streamCall("llm", "r1", "", ""), out)
		for i := range h.entries["llm"] {
			if h.entries["llm"][i].Role == port.RoleDecode {
				h.entries["llm"][i].Leaving = true
			}
		}
		h.addVersion("llm", port.RoleDecode, "v2", 8)
		_, trace, err := h.resume("r2", "r1")
		if e, ok := err.(*code.Error); !ok || e.Code != code.OriginGone || e.RetryAfter <= 0 || trace.Sends != 0 || len(p.Arrivals()) != 1 {
			t.Errorf("%d sends, %v", trace.Sends, err)
		}
	})
}

// Guards against a cut stream without another target of its version: its answer must
// look cut, with no events of another version and no useless prefill.
func TestCutStreamWithoutItsVersionIsCut(t *testing.T) {
	withHarness(t, 10, func(t *testing.T, h *harness) {
		p := h.addTarget("llm", port.RolePrefill)
		first := h.addTarget("llm", port.RoleDecode)
		first.Set(func(b *standin.Behaviour) { b.CutAfter = 2 })
		out := &repairingRecorder{after: 2, repair: func() {
			h.entries["llm"] = h.entries["llm"][:1]
			h.addVersion("llm", port.RoleDecode, "v2", 8)
		}}
		_, err := h.runner.Streamed(t.Context(), h.streamCall("llm", "r1", "", ""), out)
		if code.Of(err) != code.TargetFailed || out.text != eventText(1, 2) || len(p.Arrivals()) != 1 {
			t.Errorf("%q after %d prefills, %v", out.text, len(p.Arrivals()), err)
		}
	})
}

// Guards against streams that are admitted once and rejected when their callers take
// them up, because new ones have taken all slots of their version's targets.
func TestStreamIsTakenUpAtFullTargets(t *testing.T) {
	withHarness(t, 10, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RolePrefill)
		list := h.addVersion("llm", port.RoleDecode, "v1", 4)
		_, _ = h.runner.Streamed(t.Context(), h.streamCall("llm", "r1", "", ""), &leavingRecorder{after: 1})
		defer h.occupy(list)()
		if _, _, err := h.runStream(t.Context(), true); code.Of(err) != code.Overloaded {
			t.Fatalf("a new stream: %v", err)
		}
		out, _, err := h.resume("r2", "r1")
		if err != nil || out.text != eventText(2, 3) {
			t.Errorf("%q, %v", out.text, err)
		}
	})
}

// Guards against streams of another organisation that can be taken up, or whose
// version can be found out.
func TestStreamOfAnotherOrganisationIsUnknown(t *testing.T) {
	withHarness(t, 10, func(t *testing.T, h *harness) {
		h.addVersion("llm", port.RoleDecode, "v1", 8)
		h.addVersion("llm", port.RoleDecode, "v2", 8)
		own := h.streamCall("llm", "r1", "", "")
		own.Organisation = "a"
		_, _ = h.runner.Streamed(t.Context(), own, &leavingRecorder{after: 1})
		for organisation, want := range map[string]code.Code{"a": 0, "b": code.OriginUnknown, "": code.OriginUnknown} {
			c := h.streamCall("llm", "r2 of "+organisation, "r1", "1")
			c.Organisation = organisation
			if _, err := h.runner.Streamed(t.Context(), c, &recorder{}); code.Of(err) != want {
				t.Errorf("organisation %q: %v", organisation, err)
			}
		}
	})
}

// unsettledVersion is Origins of which one version isn't known to all daemons.
type unsettledVersion struct {
	Origins
	version string
}

func (u unsettledVersion) Settled(_, software string) bool { return software != u.version }

// Guards against streams that begin at a version that another daemon doesn't know,
// while targets of a known one take requests.
func TestNewStreamsPreferSettledVersions(t *testing.T) {
	withVersions(t, func(t *testing.T, h *harness, service string, targets map[string][]*standin.Target) {
		h.runner.opts.Origins = unsettledVersion{h.runner.opts.Origins, "v2"}
		for i := range versionedStreams {
			if _, err := h.runner.Streamed(t.Context(), h.streamCall(service, fmt.Sprint(i), "", ""), &recorder{}); err != nil {
				t.Fatal(err)
			}
			if v := versionsOf(targets, fmt.Sprint(i)); v != "v1" {
				t.Errorf("stream %d began at %s", i, v)
			}
		}
		h.runner.opts.Origins = unsettledVersion{h.runner.opts.Origins, "v1"}
		for _, target := range targets["v2"] {
			target.Set(func(b *standin.Behaviour) { b.Refuse = true })
		}
		if _, err := h.runner.Streamed(t.Context(), h.streamCall(service, "last", "", ""), &recorder{}); err != nil {
			t.Errorf("without another target: %v", err)
		}
	})
}
