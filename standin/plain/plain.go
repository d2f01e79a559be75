// Package plain is the stand-in for a plain service beside the model engines:
// it echoes, and counts how often each idempotency key and request ran.
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

const maxBody = 8 << 20

// The headers that the service reads and repeats.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderService   = "X-Standin"
	HeaderNotRun    = "X-Not-Run"
)

// Options are the settings of a Service.
type Options struct {
	Name    string
	Latency time.Duration // before each answer
	Exit    func()        // ends the process at a crash; by default the server only
}

// Record is what the service saw.
type Record struct {
	Name     string         `json:"name"`
	Runs     int            `json:"runs"`
	Keys     map[string]int `json:"keys"`     // runs by Idempotency-Key
	Requests map[string]int `json:"requests"` // runs by X-Request-Id
	Crashes  int            `json:"crashes"`
}

// Service is the plain service. It is safe for concurrent use.
type Service struct {
	standin.Host
	opts Options

	mu      sync.Mutex
	rec     Record
	latency time.Duration
	crashOn string
	lose    int // answers to lose after the run
	cut     int // answers to cut
	refuse  int // requests to refuse unrun
	late    int // answers to hold back
	lateBy  time.Duration
	cross   int // answers to cross

	crossing standin.Swapper[answer]
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

// Run serves on addr.
func (s *Service) Run(addr string) error { return s.Start(s.Handler(), addr) }

// Close ends the server; the record stays.
func (s *Service) Close() error { return s.Stop() }

// Record returns what the service saw so far.
func (s *Service) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rec
	r.Keys = clone(s.rec.Keys)
	r.Requests = clone(s.rec.Requests)
	return r
}

// Handler serves any path, and /_standin/ for the test's own use.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /_standin/fault", standin.FaultHandler(s.Apply))
	mux.HandleFunc("GET /_standin/record", func(w http.ResponseWriter, _ *http.Request) {
		standin.JSON(w, http.StatusOK, s.Record())
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

// plan says which faults strike one request.
type plan struct {
	refuse, lose, cut, cross, crash bool
	delay                           time.Duration
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID)) // refusals too
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
		a = s.crossing.Swap(r.Context(), a)
	}
	s.write(w, r, a, p.cut)
}

// begin counts the run, before anything can go wrong with its answer.
func (s *Service) begin(r *http.Request, body string) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if standin.ConsumeFault(&s.refuse) {
		return plan{refuse: true}
	}
	s.rec.Runs++
	if key := r.Header.Get(HeaderKey); key != "" {
		s.rec.Keys[key]++
	}
	if id := r.Header.Get(HeaderRequestID); id != "" {
		s.rec.Requests[id]++
	}
	if s.crashOn != "" && strings.Contains(body, s.crashOn) {
		s.rec.Crashes++
		return plan{crash: true}
	}
	p := plan{delay: s.latency, lose: standin.ConsumeFault(&s.lose), cut: standin.ConsumeFault(&s.cut), cross: standin.ConsumeFault(&s.cross)}
	if standin.ConsumeFault(&s.late) {
		p.delay += s.lateBy
	}
	return p
}

// echo repeats the body, or tells of the request when there is none.
func (s *Service) echo(r *http.Request, body []byte) []byte {
	if len(body) > 0 {
		return body
	}
	return fmt.Appendf(nil, "%s %s from %s\n", r.Method, r.URL.RequestURI(), s.opts.Name)
}

func (s *Service) write(w http.ResponseWriter, r *http.Request, a answer, cut bool) {
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

// answer is what may go to the wrong request.
type answer struct {
	id   string
	body []byte
}

// Apply switches a fault: "latency" (ms), "crash", "crash_on" (text),
// "silent", "lose", "cut", "cross", "refuse" (count each), "late" (count, ms).
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
	return s.set(f)
}

func (s *Service) set(f standin.Fault) error {
	d := time.Duration(f.MS) * time.Millisecond
	switch f.Kind {
	case "latency":
		s.latency = d
	case "crash_on":
		s.crashOn = f.Text
	case "lose":
		s.lose = f.Count
	case "cut":
		s.cut = f.Count
	case "cross":
		s.cross = f.Count
	case "refuse":
		s.refuse = f.Count
	case "late":
		s.late, s.lateBy = f.Count, d
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
