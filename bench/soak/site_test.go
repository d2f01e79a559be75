package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// events is the length of the engines' streams.
const events = 5

// spot is one address of a target; targets follow each other there.
type spot struct {
	stage   string // of a new target
	leaving bool   // guarded by the site's lock, as is gone
	gone    bool
	now     atomic.Pointer[standin.Target]
	lives   atomic.Int32
	name    string
	proxy   *Proxy
	srv     *http.Server
	all     []*standin.Target // guarded by the site's lock
}

// site is a platform on loopback with its daemons.
type site struct {
	t     *testing.T
	dir   string
	base  string // first three numbers of the daemons' addresses
	judge *Judge
	store *standin.Store
	front *http.Server // of the store
	cloud *standin.Cloud
	side  *http.Server // of the cloud
	wires []*Proxy     // to the store, one a daemon
	procs []*process

	mu      sync.Mutex
	spots   []*spot
	version int

	end  context.CancelFunc // of what runs beside
	rest sync.WaitGroup
}

// newSite starts the store, the targets and the daemons of a seed.
func newSite(t *testing.T, seed uint64, program string, s Size) *site {
	t.Helper()
	dir := t.TempDir()
	if keep := os.Getenv("SOAK_DIR"); keep != "" {
		dir = filepath.Join(keep, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	w := &site{t: t, dir: dir, judge: NewJudge(), store: standin.NewStore(), cloud: standin.NewCloud()}
	w.base = freeNet(t)
	storeAddr, cloudAddr := w.serve(w.store, &w.front), w.serve(w.cloud, &w.side)
	for i := range s.Targets {
		w.addSpot(i)
	}
	w.publish()
	ctx, end := context.WithCancel(context.Background())
	w.end = end
	w.rest.Go(func() { w.announceAll(ctx) })
	for i := range s.Daemons {
		wire, err := NewProxy("127.0.0.1:0", storeAddr)
		if err != nil {
			t.Fatal(err)
		}
		w.wires = append(w.wires, wire)
		file, err := settings(dir, i, w.ip(i), wire.Addr(), cloudAddr)
		if err != nil {
			t.Fatal(err)
		}
		p := &process{index: i, program: program, file: file, judge: w.judge, out: filepath.Join(dir, fmt.Sprintf("daemon-%d.log", i))}
		w.procs = append(w.procs, p)
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// nets counts the address ranges that this process took.
var nets atomic.Int32

// freeNet returns a range of loopback addresses that nobody listens on: runs
// beside each other, of other processes too, must not meet.
func freeNet(t *testing.T) string {
	const first, ranges = 30, 200
	for range ranges * ranges {
		n := int(nets.Add(1)) + os.Getpid()
		base := fmt.Sprintf("127.%d.%d", first+n%ranges, 1+n/ranges%ranges)
		l, err := net.Listen("tcp", base+".250:17099")
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = l.Close() })
		return base
	}
	t.Fatal("no free range of loopback addresses")
	return ""
}

func (w *site) ip(i int) string { return fmt.Sprintf("%s.%d", w.base, i+1) }

// serve runs a server on a free port, whose address it returns.
func (w *site) serve(h http.Handler, srv **http.Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	*srv = &http.Server{Handler: h}
	go func() { _ = (*srv).Serve(l) }()
	return l.Addr().String()
}

func (w *site) addSpot(i int) {
	p := &spot{stage: []string{"", "prefill", "decode", ""}[i%4], name: fmt.Sprintf("i-%d", i)}
	addr := w.serve(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { p.now.Load().ServeHTTP(rw, req) }), &p.srv)
	var err error
	if p.proxy, err = NewProxy("127.0.0.1:0", addr); err != nil {
		w.t.Fatal(err)
	}
	w.spots = append(w.spots, p)
	w.reborn(p)
}

// reborn puts a new target at a spot, in place of the one before.
func (w *site) reborn(p *spot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := p.now.Load(); old != nil {
		w.store.Withdraw(old.ID)
	}
	t := standin.NewTarget(fmt.Sprintf("%s-%d", p.name, p.lives.Add(1)), p.stage)
	t.Set(func(b *standin.Behaviour) { b.Events, b.Gap = events, 2*time.Millisecond })
	p.now.Store(t)
	p.all = append(p.all, t)
	p.leaving, p.gone = false, false
	w.store.Announce(t, p.proxy.Addr(), false)
}

// announceEvery is the time in which targets write their entries again, with
// the role that they have then.
const announceEvery = 500 * time.Millisecond

// announceAll writes the targets' entries until ctx ends.
func (w *site) announceAll(ctx context.Context) {
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, p := range w.spots {
			w.announce(p, func() {})
		}
	}
}

// announce changes the state of the target at a spot and writes its entry.
func (w *site) announce(p *spot, change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	if !p.gone {
		w.store.Announce(p.now.Load(), p.proxy.Addr(), p.leaving)
	}
}

func (w *site) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.ConfigureKeyed(w.version, "/p/", organisation, key)
}

// The organisation of all callers, and its key.
const (
	organisation = "o1"
	key          = "k1"
)

func callerHeaders(id string, left time.Duration, prompt string) http.Header {
	h := standin.CallerHeaders(id, left, prompt)
	standin.SetKey(h, key)
	return h
}

// checkDuties reports what the targets and the cloud must not have seen: a
// caller's key, a request without its organisation, two counts of a window, two
// holders with one fencing number.
func (w *site) checkDuties() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.spots {
		for _, t := range p.all {
			for _, a := range t.ReceivedRequests() {
				if a.Key != "" || a.Organisation != organisation {
					w.judge.Fault("target %s saw a request of organisation %q with key %q", t.ID, a.Organisation, a.Key)
				}
			}
		}
	}
	for _, broken := range w.cloud.Violations() {
		w.judge.Fault("cloud: %s", broken)
	}
}

// usageLimit is how long after the last disturbance a window that ends then may
// wait for its report: for the lease of a holder that is gone, and until the
// report is due.
const usageLimit = 8 * time.Second

// reportsUsage checks that windows that end from now on are reported.
func (w *site) reportsUsage() {
	newest := func() int64 {
		windows := slices.Collect(maps.Keys(w.cloud.Usage()))
		return slices.Max(append(windows, 0))
	}
	now := time.Now().Unix() // windows are a second long
	if !await(usageLimit, func() bool { return newest() > now }) {
		w.judge.Fault("no window that ended after %d was reported within %v: the newest is %d", now, usageLimit, newest())
	}
}

// ran counts the runs of each attempt over all targets.
func (w *site) ran() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]int)
	for _, p := range w.spots {
		for _, t := range p.all {
			for _, id := range t.Ran() {
				out[id]++
			}
		}
	}
	return out
}

func (w *site) load(seed uint64, callers int) *Load {
	l := &Load{Seed: seed, Callers: callers, Judge: w.judge, Wire: Wire{
		Headers:   callerHeaders,
		Addresses: standin.QueryAddresses,
		NotRun:    standin.ReportsNotRun,
		Paths:     [...]string{"/p/x", "/i/x", "/s/x"},
		Host:      standin.Host,
		Answer:    standin.Answer,
		Events:    standin.EventStream(events),
	}}
	for i := range w.procs {
		l.Daemons = append(l.Daemons, Daemon{Callers: w.ip(i) + ":17000", Addresses: w.ip(i) + ":17002"})
	}
	return l
}

// ready reports whether a daemon takes requests.
func (w *site) ready(i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.ip(i)+":17001"+standin.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answers reports whether a daemon answers a request of each class well.
func (w *site) answers(i, try int) bool {
	paths := []string{"/p/x", "/i/x", "/s/x"}
	for class, path := range paths {
		id := fmt.Sprintf("end-%d-%d-%d", i, class, try)
		want, prompt := standin.Answer(id), ""
		if Class(class) == Stream {
			want, prompt = standin.EventStream(events), "aa:800,bb:660"
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.ip(i)+":17000"+path, http.NoBody)
		if err != nil {
			cancel()
			return false
		}
		req.Host, req.Header, req.Close = standin.Host, callerHeaders(id, patience, prompt), true
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			cancel()
			return false
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		cancel()
		if err != nil || resp.StatusCode != http.StatusOK || string(body) != want {
			return false
		}
	}
	return true
}

// await returns once the condition holds, and whether it did in time.
func await(limit time.Duration, holds func() bool) bool {
	over := time.After(limit)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-over:
			return false
		case <-tick.C:
		}
	}
	return true
}

// close ends everything that the site started.
func (w *site) close() {
	w.end()
	w.rest.Wait()
	for _, p := range w.procs {
		p.signal(syscall.SIGKILL)
		p.over()
	}
	for _, wire := range w.wires {
		wire.Close()
	}
	for _, p := range w.spots {
		_ = p.srv.Close()
		p.proxy.Close()
	}
	_ = w.front.Close()
	_ = w.side.Close()
}
