package front

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/platform/standin"
	targets "github.com/pomelospool/pomelospool/standin"
)

// segmentTime is the time between two writes of a caller that the daemon reads apart.
const segmentTime = 50 * time.Millisecond

// noticeTime is the time in which targets must stop after a caller has left.
const noticeTime = 500 * time.Millisecond

// newWitnessedPlatform returns a platform whose targets never answer.
func newWitnessedPlatform(t *testing.T) (*testPlatform, *targets.Witness) {
	w := targets.NewWitness(func(h http.Header) string { return h.Get("X-Pomelospool-Request-Id") })
	p := &testPlatform{
		t: t, store: standin.NewStore(),
		prefill: standin.NewTarget("i-p", "prefill"), decode: standin.NewTarget("i-d", "decode"), plain: standin.NewTarget("i-a", ""),
	}
	p.addr = p.serve(p.store)
	p.store.Configure(1, "/p/")
	for _, target := range []*standin.Target{p.prefill, p.decode, p.plain} {
		p.store.Announce(target, p.serve(w.Wrap(target)), false)
	}
	for _, target := range []*standin.Target{p.decode, p.plain} {
		target.Set(func(b *standin.Behaviour) { b.NoAnswer = true })
	}
	return p, w
}

// text returns a request as its caller sends it.
func text(path, id, body string) string {
	h := standin.CallerHeaders(id, 5*time.Second, "")
	if strings.HasPrefix(path, "/s/") {
		h = standin.CallerHeaders(id, 5*time.Second, "aa:10")
	}
	out := "POST " + path + " HTTP/1.1\r\nHost: a.example\r\n"
	for _, k := range slices.Sorted(maps.Keys(h)) {
		out += k + ": " + h.Get(k) + "\r\n"
	}
	return out + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

func (p *testPlatform) dialCallers(d *Daemon) net.Conn {
	c, err := net.Dial("tcp", d.addr("callers"))
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendUntilRuns is Witness.SendUntilRuns and returns the connection, too.
func (p *testPlatform) sendUntilRuns(d *Daemon, w *targets.Witness, name, path string) (net.Conn, string) {
	p.t.Helper()
	var c net.Conn
	id, err := w.SendUntilRuns(name, func(id string) <-chan struct{} {
		c = p.dialCallers(d)
		_, _ = io.WriteString(c, text(path, id, "body"))
		return targets.Answered(c)
	})
	if err != nil {
		p.t.Fatal(err)
	}
	return c, id
}

// departurePaths are the kinds of requests, by the step at which their callers leave.
var departurePaths = map[string]string{"unsafe": "/p/x", "safe": "/i/x", "prefill": "/s/prefill", "decode": "/s/decode"}

// Guards against targets that work for callers that have left, and against requests that
// reach targets after their callers have left: in every step of a request, at this daemon
// and through another one, with and without bytes between the request and the close.
func TestTargetsStopWhenCallerLeaves(t *testing.T) {
	between := map[string]func(id string) string{
		"nothing": func(string) string { return "" },
		"line":    func(string) string { return "\r\n" },
		"request": func(id string) string { return text("/i/next", id+"-next", "") },
	}
	for _, forwarded := range []bool{false, true} {
		p, w := newWitnessedPlatform(t)
		links := &linkfault.Links{}
		d := p.launchWithDial(settingsText, links.Dial)
		p.waitFor(func() bool { return p.status(d, "ready", standin.ReadyPath) == http.StatusOK })
		if forwarded {
			p.startWith(replaceVM(settingsText, "vm-2"))
			p.waitFor(func() bool { return len(d.roster.ReadyPeers()) == 1 })
			links.Set(linkfault.Refuse)
		}
		for step, path := range departurePaths {
			p.prefill.Set(func(b *standin.Behaviour) { b.NoAnswer = step == "prefill" })
			for name, early := range between {
				t.Run(fmt.Sprintf("%s, %s, forwarded %t", step, name, forwarded), func(t *testing.T) {
					c, id := p.sendUntilRuns(d, w, fmt.Sprintf("%s-%s-%t", step, name, forwarded), path)
					if step == "decode" {
						p.waitFor(func() bool { return p.decode.Arrivals() != nil })
					}
					if more := early(id); more != "" {
						_, _ = io.WriteString(c, more)
						<-time.After(segmentTime)
					}
					w.Leave(id, id+"-next")
					_ = c.Close()
					if err := w.AwaitNone(noticeTime); err != nil {
						t.Error(err)
					}
				})
			}
		}
		if late := w.BegunLate(); len(late) > 0 {
			t.Errorf("forwarded %t: begun after the close: %v", forwarded, late)
		}
	}
}

// Guards against requests that reach targets though their callers closed the connection
// before the daemon accepted it.
func TestRequestsReadAfterTheCloseReachNoTarget(t *testing.T) {
	p, w := newWitnessedPlatform(t)
	release := make(chan struct{})
	d := p.launchWrapped(settingsText, func(name string, l net.Listener) net.Listener {
		if name == "callers" {
			return &lateListener{Listener: l, release: release}
		}
		return l
	})
	p.waitFor(func() bool { return p.status(d, "ready", standin.ReadyPath) == http.StatusOK })
	const rounds = 8
	for i := range rounds {
		for step, path := range departurePaths {
			c := p.dialCallers(d)
			_, _ = io.WriteString(c, text(path, fmt.Sprint(step, i), "body"))
			w.Leave(fmt.Sprint(step, i))
			_ = c.Close()
		}
	}
	before := departures()
	close(release)
	p.waitFor(func() bool { return departures()-before == int64(rounds*len(departurePaths)) && d.ingress.Open() == 0 })
	if late := w.BegunLate(); len(late) > 0 {
		t.Errorf("begun after the close: %v", late)
	}
}

// departures returns the number of callers of this process that left.
func departures() int64 {
	n, ok := expvar.Get("drain").(*expvar.Map).Get("departures").(*expvar.Int)
	if !ok {
		return 0
	}
	return n.Value()
}

// lateListener accepts no connections until it is released, as a process that stands still.
type lateListener struct {
	net.Listener
	release <-chan struct{}
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	<-l.release
	return l.Listener.Accept()
}
