package ingress

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/connection/targets"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/version/inforce"
	"github.com/pomelospool/pomelospool/version/route"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// fixture is an Ingress on loopback with one plain and one decode target.
type fixture struct {
	*Ingress
	srv          *httptest.Server
	plain        *standin.Target
	decode       *standin.Target
	entries      map[string][]port.TargetEntry
	observations chan Observation
}

// Targets implements dispatch.Targets.
func (f *fixture) Targets(service string) *targets.Set { return targets.NewSet(f.entries[service]) }

// noControl is an engine control that does nothing.
type noControl struct{}

func (noControl) Report(context.Context, string, string) (port.RoleReport, error) {
	return port.RoleReport{}, nil
}
func (noControl) CachedParts(context.Context, string, string) ([]port.PromptPart, error) {
	return nil, nil
}
func (noControl) Order(context.Context, port.RoleOrder) error    { return nil }
func (noControl) ReleaseKV(context.Context, port.KVSource) error { return nil }

func config(version int64) *route.Config { return keyedConfig(version, nil) }

// keyedConfig returns a configuration with the given keys.
func keyedConfig(version int64, keys *route.Keys) *route.Config {
	return limitedConfig(version, keys, route.Limits{BodyBytes: 1000})
}

// limitedConfig returns a configuration with the given keys and limits.
func limitedConfig(version int64, keys *route.Keys, limits route.Limits) *route.Config {
	routes := []*route.Route{
		{Name: "plain", Host: "a.example", Prefix: "/p/", Kind: route.Unsafe, Attempts: 1, Timeout: time.Minute, Split: []route.WeightedService{{Service: "app", Weight: 1}}},
		{Name: "stream", Host: "a.example", Prefix: "/s/", Kind: route.Stream, Priority: 3, Attempts: 1, Timeout: time.Minute, Split: []route.WeightedService{{Service: "llm", Weight: 1}}},
		{Name: "public", Host: "a.example", Prefix: "/public/", Kind: route.Unsafe, Attempts: 1, Timeout: time.Minute, Public: true, Split: []route.WeightedService{{Service: "app", Weight: 1}}},
		{Name: "absent", Host: "a.example", Prefix: "/absent/", Attempts: 1, Split: []route.WeightedService{{Service: "nothing", Weight: 1}}},
	}
	services := []*route.Service{{Name: "app"}, {Name: "llm", Engine: &route.Engine{Slots: 4, KVTokens: 1000}}}
	return route.New(version, routes, services, limits, keys)
}

func start(t *testing.T, configured bool) *fixture {
	if !configured {
		return startWith(t, nil)
	}
	return startWith(t, config(7))
}

// startWith starts a fixture with a configuration; nil means none.
func startWith(t *testing.T, cfg *route.Config) *fixture {
	return startChanged(t, cfg, func(*dispatch.Options) {})
}

// startChanged is like startWith. change modifies the options of the runner.
func startChanged(t *testing.T, cfg *route.Config, change func(*dispatch.Options)) *fixture {
	f := &fixture{
		plain:        standin.NewTarget("i-plain", ""),
		decode:       standin.NewTarget("i-decode", "decode"),
		observations: make(chan Observation, 10_000),
	}
	addr := func(h http.Handler) string {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	f.entries = map[string][]port.TargetEntry{
		"app": {{ID: "i-plain", Addr: addr(f.plain), Slots: 4}},
		"llm": {{ID: "i-decode", Addr: addr(f.decode), Slots: 4, Role: port.RoleDecode}},
	}
	holder := inforce.New(func(port.KeyedRecord) (*route.Config, bool, error) { return cfg, true, nil })
	if cfg != nil {
		holder.Apply([]port.KeyedRecord{{}})
	}
	pool := h1.New(h1.Options{})
	t.Cleanup(pool.Close)
	o := dispatch.Options{
		Protocol: platform.TargetProtocol{}, Pool: pool, Targets: f, Control: noControl{},
		Engines: engines.New(time.Now, func(engines.Work) {}), Health: health.New(time.Now, nil), Speed: speed.NewTracker(), Queues: noQueues{}, Demand: demand.New(time.Now),
		Budget: budget.NewFleet(budget.FleetOptions{Slack: 10, Window: 10 * time.Second, Daemons: func() int { return 1 }, Clock: clock.NewRuntime().Now}),
	}
	change(&o)
	f.Ingress = New(Options{
		Config: holder, Protocol: platform.TargetProtocol{}, Observe: func(o Observation) { f.observations <- o },
		Runner: dispatch.New(o),
	})
	f.srv = httptest.NewServer(f.Ingress)
	t.Cleanup(f.srv.Close)
	return f
}

func (f *fixture) do(t *testing.T, method, path, host string, h http.Header, body string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, f.srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Header = host, h
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

func headers(id string) http.Header { return standin.CallerHeaders(id, 30*time.Second, "") }

func TestAnswersAreForwardedUnchanged(t *testing.T) {
	f := start(t, true)
	resp, body := f.do(t, "POST", "/p/x?y=%20", "a.example", headers("r1"), "hello")
	if resp.StatusCode != 200 || body != "answer to r1" || resp.Header.Get(answer.HeaderCode) != "" {
		t.Errorf("status %d, body %q", resp.StatusCode, body)
	}
	if o := <-f.observations; o.Route != "plain" || o.Code != code.OK {
		t.Errorf("observed %+v", o)
	}
	resp, body = f.do(t, "POST", "/s/x", "a.example", standin.CallerHeaders("r2", 30*time.Second, "aa:10"), "")
	if resp.StatusCode != 200 || !strings.HasSuffix(body, "data: piece 3\n\n") {
		t.Errorf("status %d, body %q", resp.StatusCode, body)
	}
}

// Each error answer of the daemon has its result code and states that the
// request did not run.
func TestErrorAnswers(t *testing.T) {
	cases := []struct {
		name, path, host, body string
		h                      http.Header
		status                 int
		code                   code.Code
	}{
		{"no route", "/z/", "a.example", "", headers("r1"), 404, code.UnknownRoute},
		{"no host", "/p/", "b.example", "", headers("r1"), 404, code.UnknownRoute},
		{"a route's service is absent", "/absent/", "a.example", "", headers("r1"), 503, code.NoTarget},
		{"a header makes no sense", "/p/", "a.example", "", standin.CallerHeaders("r1", time.Second, "aa"), 400, code.BadRequest},
		{"the body is too large", "/p/", "a.example", strings.Repeat("x", 1001), headers("r1"), 413, code.BodyTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := start(t, true)
			resp, body := f.do(t, "POST", tc.path, tc.host, tc.h, tc.body)
			var e struct {
				Error struct {
					Code   int  `json:"code"`
					NotRun bool `json:"not_run"`
				} `json:"error"`
			}
			if err := json.Unmarshal([]byte(body), &e); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tc.status || e.Error.Code != int(tc.code) || !e.Error.NotRun {
				t.Errorf("status %d, %s", resp.StatusCode, body)
			}
			if len(f.plain.Ran()) != 0 {
				t.Error("the request ran")
			}
		})
	}
}

// Guards against a daemon that has just started and answers "no such route" for
// an existing route: callers don't retry that error.
func TestMissingConfigurationIsRetryable(t *testing.T) {
	f := start(t, false)
	resp, _ := f.do(t, "POST", "/p/", "a.example", headers("r1"), "")
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, headers %v", resp.StatusCode, resp.Header)
	}
}

// Headers that only daemons may set are not forwarded from callers.
func TestForgedHeadersAreDropped(t *testing.T) {
	f := start(t, true)
	h := headers("r1")
	standin.SetForbiddenHeaders(h)
	if resp, _ := f.do(t, "POST", "/p/", "a.example", h, ""); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	a := f.plain.ReceivedRequests()[0]
	if a.KV != "" || a.Priority != "" || a.Prefill || a.ExpectedTarget != "i-plain" || a.Organisation != "" || a.Timeout <= 0 || a.Timeout > 30*time.Second {
		t.Errorf("the target saw %+v", a)
	}
}

// Guards against request smuggling: a request hidden in the body of another one
// must not run. The body is forwarded with the length that was read here.
func TestSmuggledRequestDoesNotRun(t *testing.T) {
	f := start(t, true)
	hidden := "POST /p/hidden HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"
	h := headers("r1")
	if resp, _ := f.do(t, "POST", "/p/", "a.example", h, hidden); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if ran := f.plain.Ran(); len(ran) != 1 {
		t.Errorf("ran %v", ran)
	}
}

// A stream that is cut must not look complete to the caller.
func TestCutStreamAbortsConnection(t *testing.T) {
	f := start(t, true)
	f.decode.Set(func(b *standin.Behaviour) { b.CutAfter = 2 })
	conn, err := (&http.Transport{}).RoundTrip(mustRequest(t, f))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Body.Close()
	text, err := io.ReadAll(bufio.NewReader(conn.Body))
	if err == nil {
		t.Errorf("a cut stream ended without an error: %q", text)
	}
}

func mustRequest(t *testing.T, f *fixture) *http.Request {
	req, err := http.NewRequestWithContext(t.Context(), "POST", f.srv.URL+"/s/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Header = "a.example", standin.CallerHeaders("r1", 30*time.Second, "aa:10")
	return req
}

// While the daemon stops, every answer asks its caller to close the connection.
func TestStoppingClosesCallerConnections(t *testing.T) {
	f := start(t, true)
	f.StopAt(time.Now().Add(time.Hour), time.Now())
	resp, _ := f.do(t, "POST", "/p/", "a.example", headers("r1"), "")
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
}

// noQueues represents a small fleet, in which daemons exchange their load
// directly and don't query each other's queues.
type noQueues struct{}

func (noQueues) CanQueryQueues() bool                             { return false }
func (noQueues) Queues(context.Context, []string) []time.Duration { return nil }
