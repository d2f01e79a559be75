package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/process/status"
	"github.com/pomelospool/pomelospool/standin/engine"
	"github.com/pomelospool/pomelospool/standin/logsvc"
	"github.com/pomelospool/pomelospool/standin/plain"
	"github.com/pomelospool/pomelospool/standin/vmlist"
	"github.com/pomelospool/pomelospool/standin/weights"
	"github.com/pomelospool/pomelospool/version/publish"
)

// TestMain suppresses log lines of the faults that tests inject.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// waitTimeout bounds the wait for an expected condition. No test result depends
// on its length.
const waitTimeout = 20 * time.Second

// eventually polls until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	end := time.After(waitTimeout)
	for !ok() {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// logProxy is a proxy between one daemon and the log. It can be cut: then it
// refuses new requests and cancels those in progress, like a network partition.
type logProxy struct {
	url string

	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

func newLogProxy(t *testing.T, l *logsvc.Log) *logProxy {
	g := &logProxy{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	h := l.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(g.context(), cancel)()
		if g.context().Err() != nil {
			http.Error(w, "cut off", http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r.WithContext(ctx))
	}))
	t.Cleanup(srv.Close)
	g.url = srv.URL
	return g
}

func (p *logProxy) context() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ctx
}

func (p *logProxy) cut() { p.cancel() }

func (p *logProxy) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ctx, p.cancel = context.WithCancel(context.Background())
}

// fleet is a set of daemons with stand-ins of the platform. Each daemon has its
// own IP address.
type fleet struct {
	t          *testing.T
	log        *logsvc.Log
	vms        *vmlist.List
	weights    *weights.Store
	logProxies []*logProxy
	daemons    []*Daemon
	peers      string // port, the same on all
	tls        settings.TLS
	dial       map[int]func(ctx context.Context, addr string) (net.Conn, error) // how a daemon connects to targets; nil: TCP
	wrap       func(l *listeners)                                               // changes the ports of daemons that are started; nil: doesn't
}

// daemonIP returns the IP address of daemon i on loopback. Each test process
// has its own addresses, because a restarted daemon takes its old port, which a
// concurrent run on the same machine could otherwise have taken.
func daemonIP(i int) string {
	id := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+id>>8%200, id&0xff, i+1)
}

func newFleet(t *testing.T, n int, tls settings.TLS) *fleet { return newFleetWithDial(t, n, tls, nil) }

func newFleetWithDial(t *testing.T, n int, tls settings.TLS, dial map[int]func(ctx context.Context, addr string) (net.Conn, error)) *fleet {
	f := &fleet{t: t, log: logsvc.New(logsvc.Options{}), tls: tls, dial: dial, daemons: make([]*Daemon, n)}
	var vms []port.VM
	for i := range n {
		vms = append(vms, port.VM{ID: fmt.Sprintf("vm-%d", i), Addr: daemonIP(i), Zone: "z"})
		f.logProxies = append(f.logProxies, newLogProxy(t, f.log))
	}
	f.vms = vmlist.New(vmlist.Options{VMs: vms})
	f.weights = weights.New(weights.Options{})
	f.run(f.vms.Run, f.vms.Close)
	f.run(f.weights.Run, f.weights.Close)
	f.peers = freePort(t)
	t.Cleanup(f.kill)
	for i := range n {
		f.start(i)
	}
	return f
}

func (f *fleet) run(run func(string) error, stop func() error) {
	f.t.Helper()
	if err := run("127.0.0.1:0"); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = stop() })
}

// Ports that daemons of a fleet share lie below those that the system assigns, which
// another fleet of the process could get meanwhile.
const (
	firstPeersPort = 20_000
	peersPorts     = 10_000
)

var peersPortsUsed atomic.Int32

// freePort returns a port that is free at the addresses of this process.
func freePort(t *testing.T) string {
	t.Helper()
	for range peersPorts {
		port := strconv.Itoa(firstPeersPort + int(peersPortsUsed.Add(1))%peersPorts)
		l, err := net.Listen("tcp", daemonIP(0)+":"+port)
		if err != nil {
			continue
		}
		_ = l.Close()
		return port
	}
	t.Fatal("no free port")
	return ""
}

// start starts daemon i with short timeouts.
func (f *fleet) start(i int) {
	f.t.Helper()
	s := settings.Default()
	s.VM, s.Zone, s.TLS = fmt.Sprintf("vm-%d", i), "z", f.tls
	s.Listen = settings.Listen{Callers: daemonIP(i) + ":0", Peers: daemonIP(i) + ":" + f.peers, Operators: daemonIP(i) + ":0"}
	s.Platform = settings.Platform{Log: f.logProxies[i].url, VMs: f.vms.URL(), Weights: f.weights.URL()}
	s.Control.Heartbeat = 40 * time.Millisecond
	s.Control.DeadAfter = 250 * time.Millisecond
	s.Control.Isolation = 400 * time.Millisecond
	s.Control.Lease, s.Control.Drift = 500*time.Millisecond, 100*time.Millisecond
	s.Control.AddressTTL, s.Control.LoadPoll = 150*time.Millisecond, 40*time.Millisecond
	d, err := newDaemon(s, f.dial[i])
	if err != nil {
		f.t.Fatal(err)
	}
	if f.wrap != nil {
		f.wrap(&d.listeners)
	}
	d.Start()
	f.daemons[i] = d
}

func (f *fleet) kill() {
	var all sync.WaitGroup
	for _, d := range f.daemons {
		if d != nil { // it couldn't be started otherwise
			all.Go(d.Kill)
		}
	}
	all.Wait()
}

// publish publishes a document and returns its version.
func (f *fleet) publish(service, yaml string) int64 {
	f.t.Helper()
	p := &publish.Publisher{Log: f.log, Writer: "test"}
	now, err := p.Current(f.t.Context(), service)
	if err == nil {
		var r publish.Result
		if r, err = p.Publish(f.t.Context(), service, now.Version, []byte(yaml)); err == nil {
			return r.Version
		}
	}
	f.t.Fatal(err)
	return 0
}

// version returns the version in force on daemon i, 0 for none.
func (f *fleet) version(i int, service string) int64 {
	snap := f.daemons[i].view.Load()
	if snap == nil || snap.Services[service] == nil {
		return 0
	}
	return snap.Services[service].Version
}

// waitForVersion waits until the version is in force on the given daemons, by
// default on all.
func (f *fleet) waitForVersion(service string, version int64, daemons ...int) {
	f.t.Helper()
	if len(daemons) == 0 {
		for i := range f.daemons {
			daemons = append(daemons, i)
		}
	}
	for _, i := range daemons {
		eventually(f.t, fmt.Sprintf("version %d of %s on daemon %d", version, service, i), func() bool {
			return f.version(i, service) == version
		})
	}
}

// plainYAML returns the document of a plain service. Versions differ in answer.
func plainYAML(addr string, answer time.Duration) string {
	return fmt.Sprintf("service: feed\nkind: plain\nowner: o\ntargets:\n  - {name: p, addr: %q, zone: z}\nobjectives: {answer: %s}\n", addr, answer)
}

func modelYAML(addr string) string {
	return fmt.Sprintf("service: language\nkind: model\nowner: o\nmodels:\n  - {name: m, version: \"1\", max_tokens: 4096}\n"+
		"targets:\n  - {name: e, addr: %q, zone: z, pinned: true}\nobjectives: {answer: 20s}\n", addr)
}

func (f *fleet) startPlain() *plain.Service {
	f.t.Helper()
	p := plain.New(plain.Options{Name: "p"})
	f.run(p.Run, p.Close)
	return p
}

// startEngine starts an engine that has its model already loaded.
func (f *fleet) startEngine(step time.Duration) *engine.Engine {
	f.t.Helper()
	e := engine.New(engine.Options{
		Name:     "e",
		Spec:     port.EngineSpec{Role: port.RoleMixed, Model: "m", Version: "1"},
		StepBase: step,
	})
	f.run(e.Run, e.Close)
	return e
}

// get sends a GET request and returns the status and body.
func get(t *testing.T, c *http.Client, url string, header ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, strings.TrimSpace(string(body))
}

func (f *fleet) status(i int) status.Status {
	f.t.Helper()
	_, body := get(f.t, http.DefaultClient, "http://"+f.daemons[i].Listen().Operators+status.Path)
	var s status.Status
	if err := json.Unmarshal([]byte(body), &s); err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *fleet) ready(i int) (int, string) {
	f.t.Helper()
	return get(f.t, http.DefaultClient, "http://"+f.daemons[i].Listen().Operators+"/readyz")
}
