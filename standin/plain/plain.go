// Package plain is the stand-in for a plain service, a target that doesn't serve
// a language model. It echoes requests and counts the runs of each idempotency
// key and each request id.
package plain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/standin"
)

const maxBodyBytes = 8 << 20

// Headers that the service reads or sets.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderService   = "X-Standin"
	HeaderNotRun    = "X-Not-Run"
)

// Options are the settings of a Service.
type Options struct {
	Name    string
	Latency time.Duration // delay of each answer
	Exit    func()        // called on a crash; by default, it resets all connections and stops listening
}

// Record counts the requests that the service has run.
type Record struct {
	Name     string         `json:"name"`
	Runs     int            `json:"runs"`
	Keys     map[string]int `json:"keys"`     // runs by Idempotency-Key
	Requests map[string]int `json:"requests"` // runs by X-Request-Id
	Crashes  int            `json:"crashes"`
}

// Service is the stand-in plain service. It is safe for concurrent use.
type Service struct {
	standin.Host
	opts Options

	mu          sync.Mutex
	rec         Record
	latency     time.Duration
	crashMarker string
	loseCount   int // answers to lose
	cutCount    int // answers to truncate
	refuseCount int // requests to refuse
	delayCount  int // answers to delay
	answerDelay time.Duration
	crossCount  int // answers to swap

	swapper standin.Swapper[answer]
}

// New returns a service.
func New(o Options) *Service {
	s := &Service{opts: o, latency: o.Latency}
	s.rec = Record{Name: o.Name, Keys: make(map[string]int), Requests: make(map[string]int)}
	if s.opts.Exit == nil {
		s.opts.Exit = s.Crash
	}
	return s
}

// Run serves the service over HTTP on addr.
func (s *Service) Run(addr string) error { return s.Start(s.Handler(), addr) }

// Close stops the server. The record remains available.
func (s *Service) Close() error { return s.Stop() }

// Record returns a copy of the service's record.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rec
	r.Keys = clone(s.rec.Keys)
	r.Requests = clone(s.rec.Requests)
	return r
}

// Handler serves any path, and the stand-in's own endpoints under /_standin/.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /_standin/fault", standin.FaultHandler(s.Apply))
	mux.HandleFunc("GET /_standin/record", func(w http.ResponseWriter, _ *http.Request) {
		standin.JSON(w, http.StatusOK, s.Record())
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

// faultPlan holds the faults that apply to one request.
type faultPlan struct {
	refuse, lose, cut, cross, crash bool
	delay                           time.Duration
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID)) // also for refusals
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		standin.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	p := s.begin(r, string(body))
	if p.refuse {
		w.Header().Set(HeaderNotRun, "true")
		standin.Error(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if p.crash {
		s.opts.Exit()
		panic(http.ErrAbortHandler)
	}
	if pause.For(r.Context(), p.delay) != nil {
		return
	}
	if p.lose {
		s.Abort(r)
	}
	a := answer{id: r.Header.Get(HeaderRequestID), body: s.echo(r, body)}
	if p.cross {
		a = s.swapper.Swap(r.Context(), a)
	}
	s.writeAnswer(w, r, a, p.cut)
}

// begin counts the run, before a fault can affect its answer, and returns the
// faults of the request. A refused request isn't counted.
func (s *Service) begin(r *http.Request, body string) faultPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if standin.ConsumeFault(&s.refuseCount) {
		return faultPlan{refuse: true}
	}
	s.rec.Runs++
	if key := r.Header.Get(HeaderKey); key != "" {
		s.rec.Keys[key]++
	}
	if id := r.Header.Get(HeaderRequestID); id != "" {
		s.rec.Requests[id]++
	}
	if s.crashMarker != "" && strings.Contains(body, s.crashMarker) {
		s.rec.Crashes++
		return faultPlan{crash: true}
	}
	p := faultPlan{delay: s.latency, lose: standin.ConsumeFault(&s.loseCount), cut: standin.ConsumeFault(&s.cutCount), cross: standin.ConsumeFault(&s.crossCount)}
	if standin.ConsumeFault(&s.delayCount) {
		p.delay += s.answerDelay
	}
	return p
}

// echo returns the request's body, or a description of the request if the body
// is empty.
func (s *Service) echo(r *http.Request, body []byte) []byte {
	if len(body) > 0 {
		return body
	}
	return fmt.Appendf(nil, "%s %s from %s\n", r.Method, r.URL.RequestURI(), s.opts.Name)
}

func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, a answer, cut bool) {
	h := w.Header()
	h.Set(HeaderRequestID, a.id)
	h.Set(HeaderService, s.opts.Name)
	if t := r.Header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	}
	h.Set("Content-Length", fmt.Sprint(len(a.body)))
	if cut {
		w.Write(a.body[:len(a.body)/2])
		http.NewResponseController(w).Flush()
		s.Abort(r)
	}
	w.Write(a.body)
}

// answer is the part of an answer that the "cross" fault swaps.
type answer struct {
	id   string
	body []byte
}

// Apply sets a fault by its kind:
//   - "crash" crashes the service, and "silent" stalls its connections, at once.
//   - "crash_on" (text) crashes it on a request whose body contains text.
//   - "latency" (ms) sets the latency.
//   - "refuse" (count) refuses the next requests.
//   - "lose", "cut" and "cross" (count) lose, truncate or swap the next answers.
//   - "late" (count, ms) delays the next answers.
func (s *Service) Apply(ctx context.Context, f standin.Fault) error {
	switch f.Kind {
	case "crash":
		s.opts.Exit()
		return nil
	case "silent":
		s.Stall(ctx)
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setFault(f)
}

func (s *Service) setFault(f standin.Fault) error {
	d := time.Duration(f.MS) * time.Millisecond
	switch f.Kind {
	case "latency":
		s.latency = d
	case "crash_on":
		s.crashMarker = f.Text
	case "lose":
		s.loseCount = f.Count
	case "cut":
		s.cutCount = f.Count
	case "cross":
		s.crossCount = f.Count
	case "refuse":
		s.refuseCount = f.Count
	case "late":
		s.delayCount, s.answerDelay = f.Count, d
	default:
		return fmt.Errorf("%w: %q", standin.ErrUnknownFault, f.Kind)
	}
	return nil
}

func clone(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
