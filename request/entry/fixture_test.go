package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/address"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/standin/token"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// TestMain suppresses the log lines of provoked faults.
func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

const pollLimit = time.Minute // for a poll whose condition never holds

// await polls until cond returns true.
func await(t testing.TB, cond func() bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	limit := time.After(pollLimit)
	for !cond() {
		select {
		case <-tick.C:
		case <-limit:
			t.Fatal("timed out waiting for the condition")
		}
	}
}

const (
	testModel       = "m"
	progressTimeout = 300 * time.Millisecond // for a target's progress
)

// leastLoaded is a minimal Router.
type leastLoaded struct{ finish time.Duration }

func (l leastLoaded) Route(r routing.Request, targets []routing.Target) (routing.Decision, error) {
	best, full := -1, false
	for i, t := range targets {
		if !t.Live || contains(r.Exclude, t.Name) {
			continue
		}
		if t.InFlight >= t.Limit || r.Exclusive && t.InFlight > 0 {
			full = true
			continue
		}
		if best < 0 || cost(t) < cost(targets[best]) {
			best = i
		}
	}
	switch {
	case best >= 0:
		return routing.Decision{Target: targets[best].Name, TimeToCompletion: l.finish}, nil
	case full:
		return routing.Decision{}, code.New(code.Overloaded, "")
	}
	return routing.Decision{}, code.New(code.NoTarget, "")
}

func cost(t routing.Target) int {
	if t.Suspect {
		return t.InFlight + 1000
	}
	return t.InFlight
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// docTargets returns a document's targets with their status in the pool.
type docTargets struct{ pool *pool.Pool }

func (d docTargets) Targets(svc *view.Service) []routing.Target {
	var out []routing.Target
	for _, t := range svc.Doc.Targets {
		s := d.pool.Status(t.Addr)
		out = append(out, routing.Target{
			Name: t.Name, Addr: t.Addr, Zone: t.Zone, Model: t.Model, Role: port.RoleMixed,
			Live: !s.Down && !t.Drain, Suspect: s.Suspect || s.Refusing, InFlight: s.InFlight, Limit: svc.Doc.Limits.QueuePerTarget,
		})
	}
	return out
}

// fixture is an Entry that serves on a listener, with targets on listeners of the
// same network.
type fixture struct {
	t      testing.TB
	entry  *Entry
	pool   *pool.Pool
	client *http.Client
	url    string
	addr   string
}

const entryAddr = "entry:80" // of a fixture on an in-memory network

// runInBubble runs a test in virtual time, on an in-memory network of its own. No
// other process can reach its servers, and a busy machine ends none of its waits.
func runInBubble(t *testing.T, test func(t *testing.T, n *pipenet.Net)) {
	synctest.Test(t, func(t *testing.T) { test(t, &pipenet.Net{}) })
}

// newFixture serves models at the addresses of engines and the service "app" at
// those of plains. change may modify the options and documents.
func newFixture(t testing.TB, engines, plains []string, change func(*Options, *document.Document)) *fixture {
	t.Helper()
	return newFixtureOn(t, nil, engines, plains, change)
}

// newFixtureOn is newFixture on an in-memory network, or on TCP if n is nil.
func newFixtureOn(t testing.TB, n *pipenet.Net, engines, plains []string, change func(*Options, *document.Document)) *fixture {
	t.Helper()
	po := pool.Options{ProbeInterval: 10 * time.Millisecond, ProbeTimeout: progressTimeout}
	if n != nil {
		po.Dial = n.Dial
	}
	p := pool.New(po)
	llm := &document.Document{Service: "llm", Kind: document.KindModel, Models: []document.Model{{Name: testModel}}, Targets: targets("e", engines)}
	app := &document.Document{Service: "app", Kind: document.KindPlain, Targets: targets("p", plains), Once: document.Once{Paths: []string{"/holds"}}}
	o := Options{View: &view.Holder{}, Pool: p, Router: leastLoaded{}, MinHeaderTimeout: progressTimeout, ReadTimeout: progressTimeout, WriteTimeout: progressTimeout}
	o.Targets = docTargets{p}
	o.Addresses = address.NewSelector(func() []address.Member { return []address.Member{{Addr: "127.0.0.1:1", Zone: "a"}} }, time.Second)
	for _, d := range []*document.Document{llm, app} {
		d.Objectives.Answer = 10 * time.Second
		d.Limits.QueuePerTarget = 1000
		d.Retry = document.Retry{Attempts: 3, Budget: 0.1}
		if change != nil {
			change(&o, d)
		}
	}
	o.View.Store(view.NewSnapshot(1, []*view.Service{{Doc: llm, Version: 1}, {Doc: app, Version: 1}}, nil))
	f := &fixture{t: t, entry: New(o), pool: p, client: http.DefaultClient}
	f.serve(o, f.listen(n))
	return f
}

// listen returns the listener for callers and selects the client that reaches it.
func (f *fixture) listen(n *pipenet.Net) net.Listener {
	if n != nil {
		f.addr = entryAddr
		f.client = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return n.Dial(ctx, addr)
		}}}
		return n.Listen(entryAddr)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.addr = l.Addr().String()
	return l
}

func (f *fixture) serve(o Options, l net.Listener) {
	srv := NewServer(o.Limits, f.entry)
	go srv.Serve(Listen(l, o.Limits))
	f.url = "http://" + f.addr
	f.t.Cleanup(func() {
		f.client.CloseIdleConnections()
		srv.Close()
		f.entry.Close()
		f.pool.Close()
	})
}

func targets(prefix string, addrs []string) []document.Target {
	var out []document.Target
	for i, a := range addrs {
		out = append(out, document.Target{Name: fmt.Sprint(prefix, i), Addr: a, Zone: fmt.Sprint("z", i), Model: testModel})
	}
	return out
}

// reply is an answer as the caller received it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body
}

func (r reply) code() string { return r.header.Get(answer.HeaderCode) }

func (f *fixture) do(method, path, body string, header ...string) reply {
	f.t.Helper()
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func modelRequest(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%v}`, testModel, prompt, tokens, stream)
}

// complete requests a streamed completion.
func (f *fixture) complete(prompt string, tokens int, header ...string) reply {
	f.t.Helper()
	return f.do("POST", "/v1/completions", modelRequest(prompt, tokens, true), header...)
}

type event struct {
	ID      string
	Choices []struct{ Text string }
	Error   *struct{ Code int }
}

// checkStream returns an error if a streamed answer isn't the expected one.
func checkStream(body, id, prompt string, tokens int) error {
	var text strings.Builder
	done := false
	for _, line := range bytes.Split([]byte(body), []byte("\n\n")) {
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return err
		}
		if e.Error != nil {
			return fmt.Errorf("error %d in the stream", e.Error.Code)
		}
		if e.ID != id {
			return fmt.Errorf("chunk of %q", e.ID)
		}
		text.WriteString(e.Choices[0].Text)
	}
	if want := token.Text(token.Hash(prompt), 0, tokens); text.String() != want {
		return fmt.Errorf("got %q, want %q", text.String(), want)
	}
	if !done {
		return fmt.Errorf("no end marker")
	}
	return nil
}
