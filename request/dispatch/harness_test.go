package dispatch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/connection/targets"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/version/route"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// harness is a Runner with stand-in targets on an in-memory network.
type harness struct {
	t        *testing.T
	net      *pipenet.Net
	runner   *Runner
	budget   *budget.Fleet
	mu       sync.Mutex // guards entries of targets that restart
	entries  map[string][]port.TargetEntry
	set      *targets.Set // used in place of entries if it isn't nil
	released chan port.KVSource
	speed    *speed.Tracker // has estimates for service llm
}

// Targets implements Targets.
func (h *harness) Targets(service string) *targets.Set {
	if h.set != nil {
		return h.set
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return targets.NewSet(slices.Clone(h.entries[service]))
}

// recordingControl records the KV caches that are released.
type recordingControl struct{ h *harness }

func (c recordingControl) Report(context.Context, string, string) (port.RoleReport, error) {
	return port.RoleReport{}, nil
}
func (c recordingControl) Order(context.Context, port.RoleOrder) error { return nil }
func (recordingControl) CachedParts(context.Context, string, string) ([]port.PromptPart, error) {
	return nil, nil
}
func (c recordingControl) ReleaseKV(_ context.Context, s port.KVSource) error {
	c.h.released <- s
	return nil
}

// withHarness runs a test in virtual time. slack is the number of retries
// that the budget allows on top of its ratio.
func withHarness(t *testing.T, slack float64, test func(t *testing.T, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(slack)
		h.t = t
		test(t, h)
		h.runner.Stop()
		h.runner.opts.Pool.Close()
		h.net.Close()
		synctest.Wait()
	})
}

func newHarness(slack float64) *harness {
	h := &harness{net: &pipenet.Net{}, entries: map[string][]port.TargetEntry{}, released: make(chan port.KVSource, 100), speed: speed.NewTracker()}
	h.speed.Merge([]speed.Update{{Service: xxhash.Sum64String("llm"), PerToken: 23e3, PerPair: 257, PromptOverheadUs: 50_000, FirstEventUs: 40_000, Prompts: 1000}})
	start, uptime := time.Now(), time.Duration(0)
	h.budget = budget.NewFleet(budget.FleetOptions{
		Slack: (slack + 0.1) / budget.SpendableShare, Window: 10 * time.Second,
		Clock:   func() time.Duration { return time.Since(start) + uptime },
		Daemons: func() int { return 1 },
	})
	h.budget.NewCall("earlier")
	uptime = time.Hour // a process that has just begun to serve may not spend the slack
	pool := h1.New(h1.Options{Dial: h.net.Dial})
	h.runner = New(Options{
		Protocol: platform.TargetProtocol{}, Pool: pool, Targets: h,
		Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil),
		Budget: h.budget, Control: recordingControl{h}, Zone: "a", Speed: h.speed, Queues: noQueues{}, Demand: demand.New(time.Now),
		Quarantine: quarantine.New(quarantine.Options{Self: "vm", ToleratedCrashes: 2}),
	})
	return h
}

// addTarget serves a stand-in target. Its address is its id.
func (h *harness) addTarget(service string, role port.Role) *standin.Target {
	id := service + string(rune('0'+len(h.entries[service])))
	stage := map[port.Role]string{port.RolePrefill: "prefill", port.RoleDecode: "decode"}[role]
	target := standin.NewTarget(id, stage)
	h.net.Serve(id, target)
	h.entries[service] = append(h.entries[service], port.TargetEntry{ID: id, Service: service, Addr: id, Zone: "a", Slots: 4, Role: role})
	return target
}

// newCall returns a call of a route of that kind.
func (h *harness) newCall(kind route.Kind, attempts int, timeout time.Duration) *Call {
	svc := &route.Service{Name: "app", HealthPath: standin.HealthPath}
	prompt := ""
	if kind == route.Stream {
		svc = &route.Service{Name: "llm", HealthPath: standin.HealthPath, Engine: &route.Engine{Slots: 4, KVTokens: 100_000, KVTokenBytes: 1, LinkBytesPerSecond: 1e9}}
		prompt = "aa:1000,bb:460"
	}
	header := standin.CallerHeaders("req-1", 3*time.Second, prompt)
	meta, err := platform.TargetProtocol{}.ParseRequest(header)
	if err != nil {
		h.t.Fatal(err)
	}
	now := time.Now()
	c := &Call{
		Meta: meta, Service: svc, Arrived: now, Deadline: now.Add(min(timeout, meta.Timeout)),
		Method: "POST", URI: "/p/x?y=1", Host: "a.example", Header: platform.TargetProtocol{}.ForwardHeaders(header, false), Body: []byte("body"),
		CallerHeader: func() http.Header { return header },
		Route:        &route.Route{Name: "r", Kind: kind, Attempts: attempts, Objective: 500 * time.Millisecond, Timeout: timeout},
	}
	return c
}

// recorder is a Stream that records what is sent to the caller.
type recorder struct {
	status     int
	text       string
	callerGone bool
}

// Begin implements Stream.
func (r *recorder) Begin(status int, _ http.Header) { r.status = status }

// Write implements Stream.
func (r *recorder) Write(events []byte) error {
	if r.callerGone {
		return context.Canceled
	}
	r.text += string(events)
	return nil
}

// eventText returns the text of the events with ids from to to.
func eventText(from, to int) string {
	out := ""
	for n := from; n <= to; n++ {
		out += "id: " + string(rune('0'+n)) + "\ndata: piece " + string(rune('0'+n)) + "\n\n"
	}
	return out
}

// noQueues represents a small fleet, in which the tracked load is accurate.
type noQueues struct{}

func (noQueues) CanQueryQueues() bool                             { return false }
func (noQueues) Queues(context.Context, []string) []time.Duration { return nil }
