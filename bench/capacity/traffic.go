package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/connection/address"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/port/httpapi"
	"github.com/pomelospool/pomelospool/process/burn"
	"github.com/pomelospool/pomelospool/request/admission"
	"github.com/pomelospool/pomelospool/request/entry"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/standin/engine"
	"github.com/pomelospool/pomelospool/standin/logsvc"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// Traffic is what requests and the watch over targets cost a daemon.
type Traffic struct {
	Route    Slope // µs of one decision over targets
	Request  Slope // µs of processor time of one request over its tokens
	Orgs     Slope // bytes of fair shares over organisations
	Burn     Slope // bytes of the burn report over services
	LoadPoll Poll  // one read of an engine's load
	LogPoll  Poll  // one idle long poll of the log
}

// Poll is what one call of a control adapter costs.
type Poll struct {
	Bytes float64       // both ways, headers included
	CPU   time.Duration // of client and server together
}

// MeasureRoute returns the time of one routing decision over targets.
func MeasureRoute(sizes []int) Slope {
	var points []Point
	for _, n := range sizes {
		targets := routeTargets(n)
		p := routing.New(routing.Options{Deciders: 8})
		seed := uint64(0)
		took := perOp(opTime, func() {
			seed++
			r := routing.Request{ID: "r", Model: "m", PromptTokens: 800, OutputTokens: 225, Deadline: 30 * time.Second, Zone: "z0", Seed: seed}
			if _, err := p.Route(r, targets); err != nil {
				panic(err)
			}
		})
		points = append(points, Point{float64(n), float64(took.Nanoseconds()) / 1e3})
	}
	return Fit("one routing decision", "targets watched", "µs", points...)
}

func routeTargets(n int) []routing.Target {
	targets := make([]routing.Target, n)
	for i := range targets {
		targets[i] = routing.Target{
			Name: fmt.Sprint(i), Addr: fmt.Sprint(i), Zone: fmt.Sprint("z", i%5), Model: "m", Role: roles[i%len(roles)],
			Live: true, Limit: 64, InFlight: i % 7,
			Load: port.Load{Running: 8, QueuedPrefill: i * 37 % 9000, DecodeRemaining: 900, KVUsed: 40000, KVCapacity: 131072, PrefillRate: 9000, DecodeRate: 400},
		}
	}
	return targets
}

// fixed gives the same targets always.
type fixed []routing.Target

// Targets implements attempt.Targets.
func (f fixed) Targets(*view.Service) []routing.Target { return f }

// streamTarget answers each request with as many tokens as it asks for.
func streamTarget() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var n int
		_, _ = fmt.Sscanf(string(body[strings.Index(string(body), `"max_tokens":`):]), `"max_tokens":%d`, &n)
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(w)
		for i := range n {
			end := "null"
			if i == n-1 {
				end = `"length"`
			}
			fmt.Fprintf(w, `data: {"id":%q,"token_index":%d,"choices":[{"text":" token","finish_reason":%s}]}`+"\n\n", id, i, end)
			_ = flush.Flush()
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
}

// entryBefore returns an entry before one target.
func entryBefore(addr string) (*httptest.Server, func()) {
	doc := planDocument()
	doc.Targets = []document.Target{{Name: "e", Addr: addr, Model: "m"}}
	doc.Limits = document.Limits{BodyBytes: 1 << 20, PromptTokens: 32768, OutputTokens: 32768, StreamsPerCaller: 1 << 20, QueuePerTarget: 1 << 20, MaxDeadline: time.Minute}
	doc.Retry = document.Retry{Attempts: 1}
	holder := &view.Holder{}
	holder.Store(view.NewSnapshot(1, []*view.Service{{Doc: doc, Version: 1}}, nil))
	targets := routeTargets(watchedTargets)
	for i := range targets {
		targets[i].Live = i == 0
	}
	targets[0].Addr, targets[0].Limit, targets[0].Role = addr, 1<<20, port.RoleMixed
	targets[0].Load = port.Load{KVCapacity: 1 << 30, PrefillRate: 1e7, DecodeRate: 1e6}
	p := pool.New(pool.Options{})
	e := entry.New(entry.Options{
		View: holder, Pool: p, Router: routing.New(routing.Options{}), Targets: fixed(targets),
		Addresses: address.NewBook(func() []address.Member { return nil }, time.Second),
	})
	s := httptest.NewServer(e)
	return s, func() {
		s.Close()
		_ = e.Close()
		_ = p.Close()
	}
}

// watchedTargets is how many targets a daemon watches at the target size.
const watchedTargets = 16

// ask sends one streamed request and reads the whole answer.
func ask(c *http.Client, url string, tokens int) error {
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"stream":true,"max_tokens":%d}`, strings.Repeat("word ", 640), tokens)
	resp, err := c.Post(url+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(data), "[DONE]") {
		return fmt.Errorf("status %d, %d bytes: %.200s", resp.StatusCode, len(data), data)
	}
	return nil
}

// MeasureRequest returns the processor time that a daemon adds to a request
// over its tokens: the whole process through an entry less the whole process
// with the same caller and target alone.
func MeasureRequest(tokens []int) (Slope, error) {
	target := streamTarget()
	defer target.Close()
	front, stop := entryBefore(strings.TrimPrefix(target.URL, "http://"))
	defer stop()
	c := &http.Client{}
	defer c.CloseIdleConnections()
	var points []Point
	for _, n := range tokens {
		through, err := requestCPU(c, front.URL, n)
		if err != nil {
			return Slope{}, err
		}
		direct, err := requestCPU(c, target.URL, n)
		if err != nil {
			return Slope{}, err
		}
		points = append(points, Point{float64(n), through - direct})
	}
	return Fit("processor time of a request", "tokens", "µs", points...), nil
}

const requestRounds = 300

func requestCPU(c *http.Client, url string, tokens int) (float64, error) {
	if err := ask(c, url, tokens); err != nil {
		return 0, err
	}
	began := cpuTime()
	for range requestRounds {
		if err := ask(c, url, tokens); err != nil {
			return 0, err
		}
	}
	return float64((cpuTime() - began).Microseconds()) / requestRounds, nil
}

// MeasureOrgs returns the memory of fair shares after each number of
// organisations has sent a request.
func MeasureOrgs(sizes []int) Slope {
	var points []Point
	doc := planDocument()
	targets := routeTargets(watchedTargets)
	for _, n := range sizes {
		before := heap()
		c := admission.New(time.Now)
		for i := range n {
			release, err := c.Admit(admission.Ask{
				Doc: doc, Org: fmt.Sprintf("organisation-%06d", i), Cost: 100, Left: time.Minute,
				Decision: routing.Decision{Finish: time.Second, First: 100 * time.Millisecond}, Targets: targets,
				Idle: func() (time.Duration, bool) { return time.Second, true },
			})
			if err == nil {
				release()
			}
		}
		points = append(points, Point{float64(n), max(heap()-before, 0)})
		runtime.KeepAlive(c)
	}
	return Fit("memory of fair shares", "organisations", "B", points...)
}

// MeasureBurn returns the memory of the burn report over services.
func MeasureBurn(sizes []int) Slope {
	var points []Point
	for _, n := range sizes {
		before := heap()
		b := burn.New(burn.Options{Daemon: "vm", Objectives: func(string) (document.Objectives, bool) { return planDocument().Objectives, true }})
		for s := range n {
			for i := range 5000 {
				b.Observe(burn.Sample{
					Service: fmt.Sprint("s", s), Org: fmt.Sprint("o", i), First: time.Duration(i) * time.Millisecond,
					Between: 30 * time.Millisecond, Total: time.Duration(i) * 3 * time.Millisecond, Tokens: 200,
				})
			}
		}
		points = append(points, Point{float64(n), heap() - before})
		runtime.KeepAlive(b)
	}
	return Fit("memory of the burn report", "services", "B", points...)
}

// pollRounds is how many calls a poll's cost is the mean of.
const pollRounds = 500

// MeasureLoadPoll returns what reading one engine's load costs.
func MeasureLoadPoll() (Poll, error) {
	e := engine.New(engine.Options{Name: "e"})
	defer e.Close()
	return measurePoll(e.Handler(), func(url string) (func() error, func() error) {
		a := httpapi.NewEngine(strings.TrimPrefix(url, "http://"), httpapi.Options{MaxConns: 1})
		return func() error { _, err := a.Load(context.Background()); return err }, a.Close
	})
}

// MeasureLogPoll returns what one read of the log without news costs.
func MeasureLogPoll() (Poll, error) {
	return measurePoll(logsvc.New(logsvc.Options{}).Handler(), func(url string) (func() error, func() error) {
		a := httpapi.NewLog(url, httpapi.Options{MaxConns: 1})
		return func() error { _, _, err := a.Read(context.Background(), "control", 1, 512, 0); return err }, a.Close
	})
}

func measurePoll(h http.Handler, connect func(url string) (call, end func() error)) (Poll, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Poll{}, err
	}
	var w wire
	s := &http.Server{Handler: h}
	go s.Serve(&countedListener{Listener: l, w: &w, reads: true})
	defer s.Close()
	call, end := connect("http://" + l.Addr().String())
	defer end()
	if err := call(); err != nil {
		return Poll{}, err
	}
	bytes, cpu := w.total(), cpuTime()
	for range pollRounds {
		if err := call(); err != nil {
			return Poll{}, err
		}
	}
	return Poll{Bytes: (w.total() - bytes) / pollRounds, CPU: (cpuTime() - cpu) / pollRounds}, nil
}
