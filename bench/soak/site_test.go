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
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// targetSlot is one target address. Successive targets use it.
type targetSlot struct {
	stage      string // stage of new targets
	leaving    bool   // guarded by environment.mu
	removed    bool   // guarded by environment.mu
	current    atomic.Pointer[standin.Target]
	generation atomic.Int32
	dark       atomic.Bool // its target has ended, and the proxy has a mode for that
	service    string      // see standin.Target
	versions   int         // number of software versions, which follow each other
	name       string
	proxy      *Proxy
	gate       gate
	srv        *http.Server
	targets    []*standin.Target // guarded by environment.mu
}

// environment is a platform on loopback together with its daemons.
type environment struct {
	t            *testing.T
	dir          string
	addrPrefix   string // first three octets of the daemons' IP addresses
	judge        *Judge
	store        *standin.Store
	storeServer  *http.Server // serves store
	cloud        *standin.Cloud
	cloudServer  *http.Server // serves cloud
	budget       Budget       // of the daemons
	storeProxies []*Proxy     // to the store, one for each daemon
	daemons      []*process

	load        *Load         // of the trial
	stopLimit   time.Duration // for the time from SIGTERM to the exit of a daemon
	connections atomic.Int64  // that targets accepted

	crashMode atomic.Int32 // Mode of the proxy of a target that a part has crashed; Pass: it refuses connections

	mu            sync.Mutex
	slots         []*targetSlot
	changed       func(*standin.Behaviour) // of all targets; nil: nothing
	configVersion int

	cancel     context.CancelFunc // stops the background goroutines
	background sync.WaitGroup     // of the background goroutines
}

// newEnvironment starts the store, the cloud, the targets and the daemons.
func newEnvironment(t *testing.T, seed uint64, program string, s Size, budget Budget) *environment {
	t.Helper()
	dir := t.TempDir()
	if keep := os.Getenv("SOAK_DIR"); keep != "" {
		dir = filepath.Join(keep, strings.ReplaceAll(t.Name(), "/", "_"))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	env := &environment{t: t, dir: dir, judge: NewJudge(), budget: budget, store: standin.NewStore(), cloud: standin.NewCloud(), stopLimit: maxStopTime}
	env.addrPrefix = reserveRange(t)
	storeAddr, cloudAddr := env.startServer(env.store, &env.storeServer), env.startServer(env.cloud, &env.cloudServer)
	for i := range s.Targets {
		env.addSlot(&targetSlot{stage: firstStage(i)}, i, s.Versions)
	}
	for i := range s.SlowTargets {
		env.addSlot(&targetSlot{service: standin.SlowService}, s.Targets+i, s.Versions)
	}
	env.publish()
	ctx, cancel := context.WithCancel(context.Background())
	env.cancel = cancel
	env.background.Go(func() { env.announceAll(ctx) })
	for i := range s.Daemons {
		proxy, err := NewProxy(env.anyPort(), storeAddr)
		if err != nil {
			t.Fatal(err)
		}
		env.storeProxies = append(env.storeProxies, proxy)
		path, err := writeSettings(dir, i, env.ip(i), proxy.Addr(), cloudAddr, budget)
		if err != nil {
			t.Fatal(err)
		}
		p := &process{index: i, program: program, settingsPath: path, judge: env.judge, logPath: filepath.Join(dir, fmt.Sprintf("daemon-%d.log", i)), clockPath: filepath.Join(dir, fmt.Sprintf("clock-%d", i)), linksPath: filepath.Join(dir, fmt.Sprintf("links-%d", i)), late: s.Late}
		env.daemons = append(env.daemons, p)
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	return env
}

// rangesTried counts the address ranges that this process has tried.
var rangesTried atomic.Int32

// reserveRange returns an unused range of loopback addresses and reserves it
// until the test ends. Concurrent runs, also of other processes, must not use
// the same addresses.
func reserveRange(t *testing.T) string {
	const first, ranges = 30, 200
	for range ranges * ranges {
		n := int(rangesTried.Add(1)) + os.Getpid()
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

func (env *environment) ip(i int) string { return fmt.Sprintf("%s.%d", env.addrPrefix, i+1) }

// startServer starts a server on a free port and returns its address.
func (env *environment) startServer(h http.Handler, srv **http.Server) string {
	l := env.listen()
	*srv = &http.Server{Handler: h}
	go func() { _ = (*srv).Serve(l) }()
	return l.Addr().String()
}

// anyPort is an address with a free port for the store, the cloud, the targets and their
// proxies. No other test sends requests to it, also not to a port that was its own.
func (env *environment) anyPort() string { return env.addrPrefix + ".200:0" }

// listen listens on a free port.
func (env *environment) listen() net.Listener {
	env.t.Helper()
	l, err := net.Listen("tcp", env.anyPort())
	if err != nil {
		env.t.Fatal(err)
	}
	return l
}

// firstStage returns the stage of the first target of a slot.
func firstStage(slot int) string { return [...]string{"", "prefill", "decode", ""}[slot%4] }

func (env *environment) addSlot(slot *targetSlot, i, versions int) {
	slot.name, slot.versions = fmt.Sprintf("i-%d", i), max(versions, 1)
	slot.generation.Store(int32(i / 4))
	l := &gatedListener{env.listen(), &slot.gate}
	slot.srv = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { slot.current.Load().ServeHTTP(rw, req) })}
	slot.srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		env.connections.Add(1)
		return standin.ConnContext(ctx, c)
	}
	go func() { _ = slot.srv.Serve(l) }()
	var err error
	if slot.proxy, err = NewProxy(env.anyPort(), l.Addr().String()); err != nil {
		env.t.Fatal(err)
	}
	env.slots = append(env.slots, slot)
	env.replaceTarget(slot)
}

// replaceTarget replaces the target of a slot by a new one.
func (env *environment) replaceTarget(slot *targetSlot) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if old := slot.current.Load(); old != nil {
		env.store.Withdraw(old.ID)
	}
	generation := slot.generation.Add(1)
	t := standin.NewTarget(fmt.Sprintf("%s-%d", slot.name, generation), slot.stage)
	t.Service = slot.service
	t.Software = fmt.Sprint("v", int(generation)%slot.versions)
	t.Set(func(b *standin.Behaviour) {
		b.Events, b.Gap = events, 2*time.Millisecond
		b.Unframed = generation%3 == 0
		if slot.service == standin.SlowService {
			b.GapOf = slowGap
		}
		b.CrashBody, b.CrashPart = crashBody, crashPart
		b.OnCrash = func(part bool) { env.crashTarget(slot, t, part) }
	})
	if env.changed != nil {
		t.Set(env.changed)
	}
	slot.current.Store(t)
	slot.targets = append(slot.targets, t)
	slot.leaving, slot.removed = false, false
	env.store.Announce(t, slot.proxy.Addr(), false)
}

// announceInterval is the time between two writes of a target's entry. Each
// write has the target's current role.
const announceInterval = 500 * time.Millisecond

// announceAll writes the targets' entries periodically until ctx is done.
func (env *environment) announceAll(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, slot := range env.slots {
			env.announce(slot, func() {})
		}
	}
}

// announce changes the state of a slot and writes the entry of its target.
func (env *environment) announce(slot *targetSlot, change func()) {
	env.mu.Lock()
	defer env.mu.Unlock()
	change()
	if !slot.removed {
		env.store.Announce(slot.current.Load(), slot.proxy.Addr(), slot.leaving)
	}
}

func (env *environment) publish() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.configVersion++
	env.store.ConfigureKeyed(env.configVersion, "/p/", organisation, key)
}

// The organisation of all callers and its key.
const (
	organisation = "o1"
	key          = "k1"
)

func callerHeaders(id string, left time.Duration, prompt string) http.Header {
	h := standin.CallerHeaders(id, left, prompt)
	standin.SetKey(h, key)
	return h
}

// checkDuties reports violations that the targets and the cloud recorded: a
// request with a caller's key or without its organisation, two counts of one
// window, and two holders with the same fencing number.
func (env *environment) checkDuties() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, slot := range env.slots {
		for _, t := range slot.targets {
			headers := t.RequestHeaders()
			for i, a := range t.ReceivedRequests() {
				if a.Key != "" || a.Organisation != organisation {
					env.judge.ReportFault("target %s received a request of organisation %q with key %q: %v", t.ID, a.Organisation, a.Key, headers[i])
				}
			}
		}
	}
	for _, broken := range env.cloud.Violations() {
		env.judge.ReportFault("cloud: %s", broken)
	}
}

// checkBudgets reports a service that received more extra sends than the
// settings allow.
func (env *environment) checkBudgets() {
	env.mu.Lock()
	defer env.mu.Unlock()
	var decisions []decision
	for _, p := range env.daemons {
		list, err := readDecisions(p.logPath, p.index)
		if err != nil {
			env.t.Log(err)
		}
		decisions = append(decisions, list...)
	}
	arrivals := make(map[bool][]standin.Arrival) // by whether the service has engines
	for _, slot := range env.slots {
		for _, t := range slot.targets {
			arrivals[slot.stage != ""] = append(arrivals[slot.stage != ""], t.Arrivals()...)
		}
	}
	for engines, list := range arrivals {
		sent := env.judge.SentTimes(func(c Class) bool { return (c == Stream) == engines })
		use := env.budget.Busiest(sent, list)
		text := fmt.Sprintf("retry budget, service with engines %v: %v; %v", engines, use, explain(use, list, decisions))
		env.t.Log(text)
		if use.Exceeded() {
			env.judge.ReportFault("%s", text)
		}
	}
}

// maxReportDelay is the longest time until a window that ends after the last
// fault is reported. It covers the lease of a holder that has exited and the
// time until the report is due.
const maxReportDelay = 8 * time.Second

// checkUsageReported checks that windows that end from now on are reported.
func (env *environment) checkUsageReported() {
	newest := func() int64 {
		windows := slices.Collect(maps.Keys(env.cloud.Usage()))
		return slices.Max(append(windows, 0))
	}
	now := time.Now().Unix() // a window lasts one second
	if !eventually(maxReportDelay, func() bool { return newest() > now }) {
		env.judge.ReportFault("no window that ended after %d was reported within %v: the newest is %d", now, maxReportDelay, newest())
	}
}

// runCounts returns the number of runs of each request over all targets and
// records with the judge which requests targets received.
func (env *environment) runCounts() map[string]int {
	env.mu.Lock()
	defer env.mu.Unlock()
	out := make(map[string]int)
	for _, slot := range env.slots {
		for _, t := range slot.targets {
			for _, id := range t.Ran() {
				out[id]++
			}
			for _, a := range t.Arrivals() {
				env.judge.RecordPassedOn(a.ID)
			}
		}
	}
	return out
}

func (env *environment) newLoad(seed uint64, callers int) *Load {
	l := &Load{Seed: seed, Callers: callers, Judge: env.judge, Protocol: CallerProtocol{
		Headers:          callerHeaders,
		ResolveAddresses: standin.QueryAddresses,
		NotRun:           standin.ReportsNotRun,
		Paths:            classPaths,
		SlowPaths:        [...]string{standin.SlowUnsafePrefix, standin.SlowSafePrefix, standin.SlowStreamPrefix},
		Host:             standin.Host,
		Answer:           standin.Answer,
		Events:           standin.EventStream(events),
	}}
	for i := range env.daemons {
		l.Daemons = append(l.Daemons, Daemon{Callers: env.ip(i) + ":17000", Addresses: env.ip(i) + ":17002"})
	}
	return l
}

// ready reports whether a daemon's readiness check succeeds.
func (env *environment) ready(i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+env.ip(i)+":17001"+standin.ReadyPath, http.NoBody)
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

// classPaths are paths of the routes, by Class.
var classPaths = [...]string{"/p/x", "/i/x", "/s/x"}

// post sends a request to a daemon over a connection of its own and reads the
// answer. The response is nil if there is no header.
func (env *environment) post(ctx context.Context, daemon int, class Class, id, body string) (resp *http.Response, text string, err error) {
	prompt := ""
	if class == Stream {
		prompt = "aa:800,bb:660"
	}
	return env.postPrompt(ctx, daemon, class, id, body, prompt)
}

func (env *environment) postPrompt(ctx context.Context, daemon int, class Class, id, body, prompt string) (resp *http.Response, text string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+env.ip(daemon)+":17000"+classPaths[class], strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Host, req.Header, req.Close = standin.Host, callerHeaders(id, requestTimeout, prompt), true
	if resp, err = http.DefaultTransport.RoundTrip(req); err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// answersAll reports whether a daemon answers a request of each class correctly.
func (env *environment) answersAll(i, try int) bool {
	for class := range classPaths {
		id := fmt.Sprintf("end-%d-%d-%d", i, class, try)
		want := standin.Answer(id)
		if Class(class) == Stream {
			want = standin.EventStream(events)
		}
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		resp, body, err := env.post(ctx, i, Class(class), id, "")
		cancel()
		if err != nil || resp.StatusCode != http.StatusOK || body != want {
			return false
		}
	}
	return true
}

// eventually polls a condition until it holds or the limit has passed. It
// reports whether the condition held in time.
func eventually(limit time.Duration, cond func() bool) bool {
	timeout := time.After(limit)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-timeout:
			return false
		case <-tick.C:
		}
	}
	return true
}

// close stops everything that newEnvironment started.
func (env *environment) close() {
	env.cancel()
	env.background.Wait()
	for _, p := range env.daemons {
		<-p.signal(syscall.SIGKILL)
	}
	for _, proxy := range env.storeProxies {
		proxy.Close()
	}
	for _, slot := range env.slots {
		_ = slot.srv.Close()
		slot.proxy.Close()
	}
	_ = env.storeServer.Close()
	_ = env.cloudServer.Close()
}
