package front

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
)

// beginStream begins a stream at a daemon, reads its first event and breaks it off. It
// returns the software version that made the event.
func (p *testPlatform) beginStream(d *Daemon, id string) string {
	ctx, cancel := context.WithCancel(p.t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+d.addr("callers")+standin.ResumablePrefix+"x", strings.NewReader("body"))
	if err != nil {
		p.t.Fatal(err)
	}
	req.Host, req.Header = "a.example", standin.CallerHeaders(id, 5*time.Second, "aa:10")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	event := ""
	for lines := bufio.NewReader(resp.Body); !strings.HasSuffix(event, "\n\n"); {
		line, err := lines.ReadString('\n')
		if err != nil {
			p.t.Fatal(err)
		}
		event += line
	}
	_, software, err := standin.ParseEvent(event)
	if err != nil {
		p.t.Fatal(err)
	}
	return software
}

// takeUp takes a stream up after its first event.
func (p *testPlatform) takeUp(d *Daemon, id, resumes string) (status int, body string) {
	h := standin.CallerHeaders(id, 5*time.Second, "aa:10")
	standin.SetResumes(h, resumes, "1")
	return p.postWithHeaders(d, standin.ResumablePrefix+"x", h)
}

// serveTwoVersions replaces the decoding engine with two of different versions.
func (p *testPlatform) serveTwoVersions() {
	p.store.Withdraw(p.decode.ID)
	for _, software := range []string{"v1", "v2"} {
		target := standin.NewTarget("i-"+software, "decode")
		target.Software = software
		target.Set(func(b *standin.Behaviour) { b.Gap = 20 * time.Millisecond })
		p.store.Announce(target, p.serve(target), false)
	}
}

// Guards against streams that go on at another software version, or not at all, once
// the daemon at which they began is gone.
func TestStreamIsTakenUpAtAnotherDaemon(t *testing.T) {
	s := newTestPlatform(t)
	s.serveTwoVersions()
	a := s.start()
	b := s.startWith(replaceVM(settingsText, "vm-2"))
	s.waitFor(func() bool { return len(a.roster.Members()) == 2 && len(b.roster.Members()) == 2 })
	const streams = 6
	began := make(map[string]string)
	for i := range streams {
		id := "r" + string(rune('0'+i))
		began[id] = s.beginStream(a, id)
	}
	a.close()
	for id, software := range began {
		status, body := s.takeUp(b, "second "+id, id)
		if status != http.StatusOK || strings.Count(body, " by "+software+"\n") != 2 {
			t.Errorf("stream %s began at %s: status %d, %q", id, software, status, body)
		}
	}
	if status, body := s.takeUp(b, "r9", "unknown"); status != http.StatusServiceUnavailable || !strings.Contains(body, "ORIGIN_UNKNOWN") {
		t.Errorf("an unknown stream: status %d, %q", status, body)
	}
}

// Guards against streams that can't go on after the loss of all daemons though the
// targets had one software version throughout.
func TestOnlyVersionOutlivesAllDaemons(t *testing.T) {
	s := newTestPlatform(t)
	first := s.startWith("bootstrap: true\n" + settingsText)
	s.waitFor(func() bool {
		page, err := platform.NewStore(s.addr).Newest(t.Context(), port.TopicVersions, "")
		return err == nil && len(page.Records) > 0
	})
	software := s.beginStream(first, "r1")
	first.close()
	second := s.start()
	s.waitFor(func() bool {
		_, from := second.origins.Find(t.Context(), origin.Stream{Service: "llm", Request: "r1"})
		return from == origin.FromOnlyVersion
	})
	if status, body := s.takeUp(second, "r2", "r1"); status != http.StatusOK || !strings.Contains(body, " by "+software+"\n") {
		t.Errorf("status %d, %q", status, body)
	}
}

// savedStreams returns the number of the streams r0 to r9 whose origins are in the store.
func (p *testPlatform) savedStreams() (n int) {
	origins := origin.New(origin.Options{})
	p.readSaved(port.TopicStreams, origins)
	for i := range 10 {
		if _, from := origins.Find(p.t.Context(), origin.Stream{Service: "llm", Request: "r" + string(rune('0'+i))}); from == origin.FromRecord {
			n++
		}
	}
	return n
}

// Guards against streams that can't go on after the loss of all daemons while targets of
// two software versions serve.
func TestStreamsOfTwoVersionsOutliveAllDaemons(t *testing.T) {
	s := newTestPlatform(t)
	s.serveTwoVersions()
	lost := []*Daemon{s.start(), s.startWith(replaceVM(settingsText, "vm-2"))}
	began := make(map[string]string)
	for i := range 6 {
		id := "r" + string(rune('0'+i))
		began[id] = s.beginStream(lost[i%2], id)
	}
	s.waitFor(func() bool { return s.savedStreams() == len(began) })
	for _, d := range lost {
		d.close()
	}
	d := s.startWith(replaceVM(settingsText, "vm-3"))
	s.waitFor(func() bool {
		_, from := d.origins.Find(t.Context(), origin.Stream{Service: "llm", Request: "r0"})
		return from == origin.FromRecord
	})
	for id, software := range began {
		status, body := s.takeUp(d, "second "+id, id)
		if status != http.StatusOK || strings.Count(body, " by "+software+"\n") != 2 {
			t.Errorf("stream %s began at %s: status %d, %q", id, software, status, body)
		}
	}
}
