package dispatch

import (
	"context"
	"net/http"
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
	"github.com/pomelospool/pomelospool/version/route"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// rig is a Runner before stand-in targets on a network in memory.
type rig struct {
	t       *testing.T
	net     *pipenet.Net
	runner  *Runner
	budget  *budget.Fleet
	entries map[string][]port.TargetEntry
	set     *targets.Set // in place of entries, if there are many
	freed   chan port.KVSource
	speed   *speed.Tracker // knows the engines of service llm
}

// Targets implements Targets.
func (r *rig) Targets(service string) *targets.Set {
	if r.set != nil {
		return r.set
	}
	return targets.NewSet(r.entries[service])
}

// control notes what is released.
type control struct{ r *rig }

func (c control) Report(context.Context, string, string) (port.RoleReport, error) {
	return port.RoleReport{}, nil
}
func (c control) Order(context.Context, port.RoleOrder) error { return nil }
func (control) Kept(context.Context, string, string) ([]port.PromptPart, error) {
	return nil, nil
}
func (c control) Release(_ context.Context, s port.KVSource) error {
	c.r.freed <- s
	return nil
}

// withRig runs a test on virtual time. slack is what the budget allows.
func withRig(t *testing.T, slack float64, test func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(slack)
		r.t = t
		test(t, r)
		r.runner.opts.Pool.Close()
		r.net.Close()
		synctest.Wait()
	})
}

func newRig(slack float64) *rig {
	r := &rig{net: &pipenet.Net{}, entries: map[string][]port.TargetEntry{}, freed: make(chan port.KVSource, 100), speed: speed.NewTracker()}
	r.speed.Merge([]speed.Update{{Service: xxhash.Sum64String("llm"), PerToken: 23e3, PerPair: 257, PromptOverheadUs: 50_000, FirstEventUs: 40_000, Prompts: 1000}})
	r.budget = budget.NewFleet(budget.FleetOptions{
		Slack: (slack + 0.1) / budget.Spent, Window: 10 * time.Second, Now: time.Now,
		Daemons: func() int { return 1 },
	})
	pool := h1.New(h1.Options{Dial: r.net.Dial})
	r.runner = New(Options{
		Wire: platform.Wire{}, Pool: pool, Targets: r,
		Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil),
		Budget: r.budget, Control: control{r}, Zone: "a", Speed: r.speed, Queues: noQueues{}, Demand: demand.New(time.Now),
	})
	return r
}

// add serves a target. Its address is its id.
func (r *rig) add(service string, role port.Role) *standin.Target {
	id := service + string(rune('0'+len(r.entries[service])))
	stage := map[port.Role]string{port.RolePrefill: "prefill", port.RoleDecode: "decode"}[role]
	target := standin.NewTarget(id, stage)
	r.net.Serve(id, target)
	r.entries[service] = append(r.entries[service], port.TargetEntry{ID: id, Service: service, Addr: id, Zone: "a", Slots: 4, Role: role})
	return target
}

// call makes a call of a route's kind.
func (r *rig) call(kind route.Kind, attempts int, timeout time.Duration) *Call {
	svc := &route.Service{Name: "app"}
	prompt := ""
	if kind == route.Stream {
		svc = &route.Service{Name: "llm", Engine: &route.Engine{Slots: 4, KVTokens: 100_000, KVTokenBytes: 1, LinkBytes: 1e9}}
		prompt = "aa:1000,bb:460"
	}
	h := standin.CallerHeaders("req-1", 3*time.Second, prompt)
	ask, err := platform.Wire{}.Ask(h)
	if err != nil {
		r.t.Fatal(err)
	}
	now := time.Now()
	c := &Call{
		Ask: ask, Service: svc, Arrived: now, GiveUp: now.Add(min(timeout, ask.Left)),
		Method: "POST", URI: "/p/x?y=1", Host: "a.example", Header: platform.Wire{}.Forward(h, false), Body: []byte("body"),
		Route: &route.Route{Name: "r", Kind: kind, Attempts: attempts, Objective: 500 * time.Millisecond, Timeout: timeout},
	}
	return c
}

// sheet is a Stream that keeps what it gets.
type sheet struct {
	status int
	text   string
	gone   bool
}

// Begin implements Stream.
func (s *sheet) Begin(status int, _ http.Header) { s.status = status }

// Write implements Stream.
func (s *sheet) Write(events []byte) error {
	if s.gone {
		return context.Canceled
	}
	s.text += string(events)
	return nil
}

func pieces(from, to int) string {
	out := ""
	for n := from; n <= to; n++ {
		out += "id: " + string(rune('0'+n)) + "\ndata: piece " + string(rune('0'+n)) + "\n\n"
	}
	return out
}

// noQueues stands for a small fleet, whose daemons hear of all work at once.
type noQueues struct{}

func (noQueues) Asks() bool                                       { return false }
func (noQueues) Queues(context.Context, []string) []time.Duration { return nil }
