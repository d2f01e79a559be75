package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/relay"
	"github.com/pomelospool/pomelospool/process/settings"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// testPlatform is a platform on loopback: a store, two engines and a plain
// target.
type testPlatform struct {
	t       *testing.T
	store   *standin.Store
	addr    string
	prefill *standin.Target
	decode  *standin.Target
	plain   *standin.Target
}

func newTestPlatform(t *testing.T) *testPlatform {
	s := &testPlatform{
		t: t, store: standin.NewStore(),
		prefill: standin.NewTarget("i-p", "prefill"),
		decode:  standin.NewTarget("i-d", "decode"),
		plain:   standin.NewTarget("i-a", ""),
	}
	s.addr = s.serve(s.store)
	s.store.Configure(1, "/p/")
	for _, target := range []*standin.Target{s.prefill, s.decode, s.plain} {
		s.store.Announce(target, s.serve(target), false)
	}
	return s
}

func (p *testPlatform) serve(h http.Handler) string {
	srv := httptest.NewServer(h)
	p.t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

const settingsText = `
vm: vm-1
zone: a
listen: {callers: "127.0.0.1:0", ready: "127.0.0.1:0", addresses: "127.0.0.1:0", peers: "127.0.0.1:0", operators: "127.0.0.1:0"}
store: {addr: "STORE"}
bounds: {grace: 2s}
`

// withCloud returns settings with duties at the cloud c.
func (p *testPlatform) withCloud(c *standin.Cloud) string {
	return strings.ReplaceAll(dutiesText, "CLOUD", p.serve(c))
}

func replaceVM(text, vm string) string { return strings.Replace(text, "vm: vm-1", "vm: "+vm, 1) }

func (p *testPlatform) start() *Daemon { return p.startWith(settingsText) }

func (p *testPlatform) startWith(text string) *Daemon {
	d := p.launch(text)
	p.waitFor(func() bool { return p.status(d, "ready", standin.ReadyPath) == http.StatusOK })
	return d
}

// launch starts a daemon without waiting for it to be ready.
func (p *testPlatform) launch(text string) *Daemon { return p.launchWithDial(text, nil) }

// launchWithDial is like launch. The daemon connects to targets with dial.
func (p *testPlatform) launchWithDial(text string, dial func(ctx context.Context, addr string) (net.Conn, error)) *Daemon {
	d := p.create(text, dial)
	d.Start()
	return d
}

// launchWrapped is like launch. The daemon's ports use the listeners that wrap returns.
func (p *testPlatform) launchWrapped(text string, wrap func(name string, l net.Listener) net.Listener) *Daemon {
	d := p.create(text, nil)
	for _, s := range d.servers {
		s.l = wrap(s.name, s.l)
	}
	d.Start()
	return d
}

// create returns a daemon that isn't started.
func (p *testPlatform) create(text string, dial func(ctx context.Context, addr string) (net.Conn, error)) *Daemon {
	parsed, problems := settings.Parse("test", []byte(strings.ReplaceAll(text, "STORE", p.addr)))
	if len(problems) > 0 {
		p.t.Fatal(problems)
	}
	d, err := newDaemon(parsed, dial)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(d.close)
	return d
}

// waitFor polls until the condition holds. Only the test's own time limit ends
// the wait.
func (p *testPlatform) waitFor(holds func() bool) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-p.t.Context().Done():
			p.t.Fatal("the test ended before the condition held")
		}
	}
}

func (d *Daemon) addr(name string) string {
	for _, srv := range d.servers {
		if srv.name == name {
			return srv.l.Addr().String()
		}
	}
	return ""
}

func (p *testPlatform) status(d *Daemon, port, path string) int {
	resp, err := http.Get("http://" + d.addr(port) + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func (p *testPlatform) post(d *Daemon, path, id, prompt string) (int, string) {
	p.t.Helper()
	return p.postWithHeaders(d, path, standin.CallerHeaders(id, 5*time.Second, prompt))
}

// postWithHeaders sends a request with the given headers.
func (p *testPlatform) postWithHeaders(d *Daemon, path string, h http.Header) (int, string) {
	req, err := http.NewRequest("POST", "http://"+d.addr("callers")+path, strings.NewReader("body"))
	if err != nil {
		p.t.Fatal(err)
	}
	req.Host, req.Header = "a.example", h
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err.Error()
	}
	return resp.StatusCode, string(text)
}

// Covers the whole path: configuration and targets from the store, a plain
// answer, a stream with separate prefill and decode engines, a new version, a
// leaving target.
func TestEndToEnd(t *testing.T) {
	s := newTestPlatform(t)
	d := s.start()
	if status, body := s.post(d, "/p/x", "r1", ""); status != 200 || body != "answer to r1" {
		t.Errorf("plain: %d %q", status, body)
	}
	if status, body := s.post(d, "/s/x", "r2", "aa:10"); status != 200 || !strings.HasSuffix(body, "data: piece 3\n\n") {
		t.Errorf("stream: %d %q", status, body)
	}
	if n := len(s.prefill.ReceivedRequests()); n != 1 {
		t.Errorf("%d prefills", n)
	}
	s.store.Configure(2, "/q/")
	s.waitFor(func() bool { status, _ := s.post(d, "/q/x", "r3", ""); return status == 200 })
	if status, _ := s.post(d, "/p/x", "r4", ""); status != 404 {
		t.Errorf("removed route: status %d", status)
	}
	s.store.Announce(s.plain, "127.0.0.1:1", true)
	s.waitFor(func() bool { status, _ := s.post(d, "/q/x", "r5", ""); return status == 503 })
	if status := s.status(d, "operators", "/metrics"); status != 200 {
		t.Errorf("metrics: %d", status)
	}
}

// A daemon that starts while the store is unavailable must not be ready. It
// must answer callers with 503, not 404 as for an unknown route.
func TestStartWhileStoreIsUnavailable(t *testing.T) {
	s := newTestPlatform(t)
	s.store.SetMode(standin.Unavailable)
	parsed, _ := settings.Parse("test", []byte(strings.ReplaceAll(settingsText, "STORE", s.addr)))
	d, err := New(parsed)
	if err != nil {
		t.Fatal(err)
	}
	d.Start()
	defer d.close()
	if status, _ := s.post(d, "/p/x", "r1", ""); status != 503 {
		t.Errorf("without a configuration: %d", status)
	}
	if status := s.status(d, "ready", standin.ReadyPath); status != 503 {
		t.Errorf("ready without a configuration: %d", status)
	}
	s.store.SetMode(standin.Up)
	s.waitFor(func() bool { status, _ := s.post(d, "/p/x", "r2", ""); return status == 200 })
}

// Guards against an outage when daemons are restarted one by one while the
// store is unavailable: each must take configuration and targets from a running
// daemon and serve.
func TestStartFromPeersWhileStoreIsUnavailable(t *testing.T) {
	s := newTestPlatform(t)
	s.start()
	text := strings.Replace(settingsText, "vm: vm-1", "vm: vm-2", 1)
	second := s.startWith(text)
	s.waitFor(func() bool { return len(second.roster.ReadyPeers()) == 1 })
	text = strings.Replace(text, `peers: "127.0.0.1:0"`, `peers: "`+second.addr("peers")+`"`, 1)
	second.close()
	s.store.SetMode(standin.Unavailable)
	d := s.launch(text)
	s.waitFor(func() bool { status, _ := s.post(d, "/p/x", "r1", ""); return status == 200 })
	if !d.storeLost.Load() {
		t.Error("the store counts as available: the daemon would claim leadership")
	}
	s.store.SetMode(standin.Up)
	s.store.Configure(2, "/q/")
	s.waitFor(func() bool { status, _ := s.post(d, "/q/x", "r2", ""); return status == 200 })
}

// Guards against requests to a target that left while this daemon couldn't read the
// store for a moment, too short for an entry to lapse: it must not be kept.
func TestTargetThatLeavesWhileTheStoreIsNotRead(t *testing.T) {
	s := newTestPlatform(t)
	d := s.start()
	checked := false
	for _, target := range []*standin.Target{s.prefill, s.decode, s.plain} {
		s.waitFor(func() bool { _, known := d.registry.Lookup(target.ID); return known })
		before := d.store.AsOf(port.TopicTargets)
		s.store.SetMode(standin.Unavailable)
		s.waitFor(d.storeLost.Load)
		s.store.Withdraw(target.ID)
		s.store.SetMode(standin.Up)
		s.waitFor(func() bool { return !d.storeLost.Load() })
		if d.store.AvailableSince(port.TopicTargets) > before {
			// The test's process was stopped for seconds, in which entries may lapse.
			// Until its end, the grace period after that keeps other entries too.
			_ = pause.For(t.Context(), 3*time.Second)
			continue
		}
		checked = true
		if _, known := d.registry.Lookup(target.ID); known {
			t.Errorf("target %s is kept", target.ID)
		}
	}
	if !checked {
		t.Error("the store counted as unavailable in each case")
	}
}

// Guards against a planned stop that cuts a stream which began before it.
func TestShutdownCompletesOpenStream(t *testing.T) {
	s := newTestPlatform(t)
	s.decode.Set(func(b *standin.Behaviour) { b.Gap = 100 * time.Millisecond })
	d := s.start()
	type result struct {
		status int
		body   string
	}
	done := make(chan result, 1)
	go func() {
		status, body := s.post(d, "/s/x", "r1", "aa:10")
		done <- result{status, body}
	}()
	s.waitFor(func() bool { return len(s.decode.Ran()) == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- d.Shutdown() }()
	s.waitFor(func() bool { return s.status(d, "ready", standin.ReadyPath) != http.StatusOK })
	if r := <-done; r.status != 200 || !strings.HasSuffix(r.body, "data: piece 3\n\n") {
		t.Errorf("the open stream: %+v", r)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// slowStoreLatency is the response time of a slow store.
const slowStoreLatency = 200 * time.Millisecond

// A version must be in force within its bound, and a leaving target must get no
// new work after its bound, even if a read missed the record. The wait of that
// read, the interval before the next read and the next read itself must fit
// into the bound.
func TestMissedRecordsAreReadWithinTheirBounds(t *testing.T) {
	d := &Daemon{s: settings.Default()}
	if got := relay.ReadWait(d.s.Bounds.ApplyConfig, 0) + configInterval + slowStoreLatency; got > d.s.Bounds.ApplyConfig*3/4 {
		t.Errorf("a version may take %v of %v", got, d.s.Bounds.ApplyConfig)
	}
	if got := relay.ReadWait(d.s.Bounds.Drain, 0) + relay.MaxReadInterval + slowStoreLatency; got > d.s.Bounds.Drain*3/4 {
		t.Errorf("a leaving target may get work for %v of %v", got, d.s.Bounds.Drain)
	}
}
