// Package ingress takes callers' requests over HTTP, finds their route in the
// configuration in force, has them run and writes the answers. It gives every
// answer of its own a numbered code.
package ingress

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/request/limit"
	"github.com/pomelospool/pomelospool/version/inforce"
	"github.com/pomelospool/pomelospool/version/route"
)

// Options of an Ingress. All are needed but TargetsAge and ConfigAge.
type Options struct {
	Config  *inforce.Holder
	Wire    port.TargetProtocol
	Runner  *dispatch.Runner
	Observe func(Observation) // called at the end of each request
	// TargetsAge is the age of the newest answer on the targets, by which requests
	// are decided; false before there is one. It may be nil.
	TargetsAge func() (age time.Duration, known bool)
	// ConfigAge is the same for the configuration. It may be nil.
	ConfigAge func() (age time.Duration, known bool)
	// Started counts a request of an organisation that a target began to run
	// that long ago. It may be nil.
	Started func(organisation string, ago time.Duration)
	// MaxConfigAge is the age from which on the configuration may be outdated.
	MaxConfigAge time.Duration
}

func (o *Options) configAge() (time.Duration, bool) {
	if o.ConfigAge == nil {
		return 0, false
	}
	return o.ConfigAge()
}

func (o *Options) targetsAge() (time.Duration, bool) {
	if o.TargetsAge == nil {
		return 0, false
	}
	return o.TargetsAge()
}

// Observation is what a request's end shows.
type Observation struct {
	Route  string
	Kind   route.Kind
	Code   code.Code
	Status int
	Whole  time.Duration // from the arrival to the end of the answer
	First  time.Duration // to the first event, 0: none
}

// Ingress is the callers' http.Handler. It is safe for concurrent use.
type Ingress struct {
	o       Options
	open    atomic.Int64
	leaving atomic.Pointer[time.Time] // when the process ends; nil: it stays
	lengths lengths
}

// New returns an Ingress.
func New(o Options) *Ingress { return &Ingress{o: o} }

// Open is the number of requests that are running.
func (i *Ingress) Open() int { return int(i.open.Load()) }

// Leave says when the process ends. Until then every answer asks its caller to
// open no further request on the connection, and a request whose answer can't
// be whole by then is refused: another daemon can answer it.
func (i *Ingress) Leave(end time.Time) { i.leaving.Store(&end) }

// leavesBefore reports whether the process ends before the call is answered.
func (i *Ingress) leavesBefore(c *dispatch.Call) bool {
	end := i.leaving.Load()
	return end != nil && c.Arrived.Add(i.lengths.predict(c)).After(*end)
}

// elsewhereAfter is when a caller may come back that another daemon can serve.
const elsewhereAfter = 20 * time.Millisecond

// defaultTimeout bounds requests of routes that state none.
const defaultTimeout = 30 * time.Second

// ServeHTTP answers one request of a caller.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	i.open.Add(1)
	defer i.open.Add(-1)
	arrived := time.Now()
	if i.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{Ingress: i, w: w, req: req, arrived: arrived}
	c, err := x.read()
	if err == nil {
		err = x.run(c)
	}
	if err != nil {
		x.fail(err)
	}
	x.observe(c, err)
	if x.begun && err != nil {
		// A broken connection is HTTP's only way to say that an answer whose
		// header went out isn't whole.
		panic(http.ErrAbortHandler)
	}
}

// exchange is one request and its answer.
type exchange struct {
	*Ingress
	w       http.ResponseWriter
	req     *http.Request
	arrived time.Time
	ask     port.RequestMeta
	trace   dispatch.Trace
	status  int
	begun   bool          // the header of a target's answer went out
	out     *limit.Writer // of a stream's events; nil before the first
}

// read reads and checks the request.
func (x *exchange) read() (*dispatch.Call, error) {
	ask, err := x.o.Wire.ParseRequest(x.req.Header)
	x.ask = ask
	if err != nil {
		return nil, code.Wrap(code.BadRequest, err, "")
	}
	cfg := x.o.Config.Load()
	if cfg == nil {
		return nil, code.New(code.NoConfiguration, "").WithRetryAfter(noConfigurationAfter)
	}
	uri := requestURI(x.req)
	path, _, _ := strings.Cut(uri, "?")
	r := cfg.Match(x.req.Host, path)
	if r == nil {
		return nil, code.New(code.UnknownRoute, "version %d", cfg.Version)
	}
	org := cfg.Organisation(ask.APIKey)
	if org == nil && cfg.Keyed() && !r.Public {
		return nil, x.unknownKey(cfg)
	}
	svc := cfg.Services[r.Service(route.Seed(ask.RequestID))]
	if svc == nil {
		return nil, code.New(code.NoTarget, "route %q names a service that the configuration lacks", r.Name).WithRetryAfter(noConfigurationAfter)
	}
	body, err := limit.ReadBody(x.w, x.req, bodyBytes(cfg.Limits), bodyTime)
	if err != nil {
		return nil, err
	}
	c := &dispatch.Call{
		Ask:     ask,
		Route:   r,
		Service: svc,
		Version: cfg.Version,
		Arrived: x.arrived,
		Method:  x.req.Method,
		URI:     uri,
		Host:    x.req.Host,
		Header:  x.o.Wire.ForwardHeaders(x.req.Header, cfg.Keyed()),
		Body:    body,

		Priority: r.Priority,
	}
	if org != nil {
		c.Organisation = org.Name
		if x.o.Started != nil {
			c.OnStart = func(ago time.Duration) { x.o.Started(org.Name, ago) }
		}
		if org.Priority != nil {
			c.Priority = *org.Priority
		}
	}
	c.Deadline = x.arrived.Add(patience(c))
	if x.leavesBefore(c) {
		return c, code.New(code.Draining, "the answer would take longer than this daemon stays").WithRetryAfter(elsewhereAfter)
	}
	return c, nil
}

// unknownKey rejects a caller whose key the configuration doesn't hold. A
// daemon that may have missed a newer one doesn't know: callers take a 401 for
// final.
func (x *exchange) unknownKey(cfg *route.Config) error {
	if age, known := x.o.configAge(); known && age > x.o.MaxConfigAge {
		return code.New(code.StaleConfiguration, "version %d was confirmed %v ago", cfg.Version, age.Round(time.Millisecond)).WithRetryAfter(noConfigurationAfter)
	}
	return code.New(code.Unauthorized, "version %d", cfg.Version)
}

const (
	// bodyTime bounds the reading of a body.
	bodyTime = 10 * time.Second
	// defaultBody is the largest body while the configuration names none.
	defaultBody = 8 << 20
)

func bodyBytes(l route.Limits) int64 {
	if l.BodyBytes > 0 {
		return l.BodyBytes
	}
	return defaultBody
}

// noConfigurationAfter is when a caller may come back to a daemon that has
// just started: it reads the configuration some milliseconds later.
const noConfigurationAfter = 300 * time.Millisecond

// patience is how long a call may take, by its route and by its caller.
func patience(c *dispatch.Call) time.Duration {
	timeout := c.Route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.Ask.Timeout > 0 {
		return min(timeout, c.Ask.Timeout)
	}
	return timeout
}

// requestURI is path and query as the caller sent them.
func requestURI(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

func (x *exchange) run(c *dispatch.Call) error {
	ctx := x.req.Context()
	if c.Route.Kind == route.Stream {
		var err error
		x.trace, err = x.o.Runner.Streamed(ctx, c, x)
		return err
	}
	a, trace, err := x.o.Runner.Plain(ctx, c)
	x.trace = trace
	if err != nil {
		return err
	}
	return x.writeWhole(a)
}

// observe writes the request's log line and counts it.
func (x *exchange) observe(c *dispatch.Call, err error) {
	whole := time.Since(x.arrived)
	o := Observation{Code: code.Of(err), Status: x.status, Whole: whole, First: x.trace.TimeToFirst}
	fields := log.Fields{
		"request": x.ask.RequestID,
		"code":    int(o.Code),
		"status":  x.status,
		"ms":      whole.Milliseconds(),
		"sends":   x.trace.Sends,
		"failed":  err != nil || x.status >= http.StatusBadRequest || len(x.trace.Causes) > 0,
	}
	if c != nil {
		o.Route, o.Kind = c.Route.Name, c.Route.Kind
		fields["route"] = c.Route.Name
		fields["version"] = c.Version
		fields["service"] = c.Service.Name
		fields["organisation"] = c.Organisation
		fields["targets"] = strings.Join(x.trace.Targets, " ")
		fields["left_ms"] = c.Ask.Timeout.Milliseconds()
		fields["timeout_ms"] = c.Route.Timeout.Milliseconds()
		if c.Ask.MaxOutputTokens > 0 {
			fields["output_tokens"] = c.Ask.MaxOutputTokens
			fields["hint_tokens"] = c.Ask.OutputHint
			fields["last_event"] = x.trace.LastEvent
			fields["predicted_stream_ms"] = x.trace.PredictedDuration.Milliseconds()
		}
	}
	if age, known := x.o.targetsAge(); known {
		fields["targets_age_ms"] = age.Milliseconds()
	}
	if x.trace.PredictedFirst > 0 {
		fields["predicted_ms"] = x.trace.PredictedFirst.Milliseconds()
		fields["first_ms"] = x.trace.TimeToFirst.Milliseconds()
	}
	if p := x.trace.Prefill; p.Duration > 0 {
		fields["prompt_tokens"] = p.PromptTokens
		fields["shared_tokens"] = p.SharedTokens
		fields["missing_tokens"] = p.MissingTokens
		fields["fetched_tokens"] = p.FetchedTokens
		fields["fetch_guessed"] = p.Speculative
		fields["predicted_wait_ms"] = p.PredictedWait.Milliseconds()
		fields["predicted_read_ms"] = p.PredictedPrefill.Milliseconds()
		fields["prefill_ms"] = p.Duration.Milliseconds()
	}
	if len(x.trace.Causes) > 0 {
		fields["causes"] = strings.Join(x.trace.Causes, "; ")
	}
	entry := log.WithFields(fields)
	if err != nil {
		entry = entry.WithField("error", detail(err))
		if after := answer.Error(err).RetryAfter; after > 0 {
			entry = entry.WithField("retry_after_ms", after.Milliseconds())
		}
	}
	entry.Info("ingress: request ended")
	if err == nil && c != nil {
		x.lengths.note(c.Route.Name, c.Ask.MaxOutputTokens, x.trace.TimeToFirst, whole)
	}
	if x.o.Observe != nil {
		x.o.Observe(o)
	}
}

// detail is an error's code and detail, without the chain of what is wrapped,
// which may quote what others sent.
func detail(err error) string {
	var e *code.Error
	if !errors.As(err, &e) {
		return "internal"
	}
	return e.Code.Info().Name + " " + e.Detail
}
