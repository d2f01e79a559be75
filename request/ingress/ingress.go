// Package ingress serves callers' HTTP requests. It finds the route of each
// request in the current configuration, has the request run and writes the
// answer. Every answer that the daemon itself generates has a numeric result
// code.
package ingress

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/internal/presence"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/request/forward"
	"github.com/pomelospool/pomelospool/request/limit"
	"github.com/pomelospool/pomelospool/request/stopping"
	"github.com/pomelospool/pomelospool/version/inforce"
	"github.com/pomelospool/pomelospool/version/route"
)

// Options configures an Ingress. All fields are required except TargetsAge,
// ConfigAge, OnStart and OthersServe.
type Options struct {
	Config   *inforce.Holder
	Protocol port.TargetProtocol
	Runner   *dispatch.Runner
	Observe  func(Observation) // called at the end of each request
	// TargetsAge returns the age of the latest list of targets, by which
	// requests are routed. It returns false if there is none yet. It may be
	// nil.
	TargetsAge func() (age time.Duration, known bool)
	// ConfigAge returns the age of the configuration in the same way. It may be
	// nil.
	ConfigAge func() (age time.Duration, known bool)
	// OnStart counts a request of an organisation that a target started to run
	// the given time ago. It may be nil.
	OnStart func(organisation string, ago time.Duration)
	// OthersServe reports whether another daemon takes requests and isn't being
	// stopped. If it is nil, one is assumed to.
	OthersServe func() bool
	// MaxConfigAge is the age above which the configuration may be outdated.
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

// Observation is the outcome of a request.
type Observation struct {
	Route       string
	Kind        route.Kind
	Code        code.Code
	Status      int
	Duration    time.Duration // from the request's arrival to the end of the answer
	TimeToFirst time.Duration // time to the first event; 0 if there was none
}

// Ingress is the HTTP handler for callers. It is safe for concurrent use.
type Ingress struct {
	o    Options
	open atomic.Int64
	stop atomic.Pointer[plannedStop] // nil: no stop is planned

	waiting    context.Context // of calls without an answer
	endWaiting context.CancelFunc
}

// New returns an Ingress.
func New(o Options) *Ingress {
	i := &Ingress{o: o}
	i.waiting, i.endWaiting = context.WithCancel(context.Background())
	return i
}

// Open returns the number of open requests.
func (i *Ingress) Open() int { return int(i.open.Load()) }

// ServeHTTP implements http.Handler.
func (i *Ingress) ServeHTTP(w http.ResponseWriter, req *http.Request) { i.serve(w, req, nil) }

// ServeForwarded serves a request that another daemon has forwarded.
func (i *Ingress) ServeForwarded(w http.ResponseWriter, req *http.Request) {
	e, err := forward.TakeEnvelope(req.Header)
	if err != nil {
		log.WithError(err).Warn("ingress: can't read a forwarded request")
		e.SetResult(w.Header(), code.New(code.BadRequest, ""))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.serve(w, req, &e)
}

// serve serves a request. envelope is nil for a request of a caller.
func (i *Ingress) serve(w http.ResponseWriter, req *http.Request, envelope *forward.Envelope) {
	i.open.Add(1)
	defer i.open.Add(-1)
	arrived := time.Now()
	if i.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{Ingress: i, w: w, req: req, arrived: arrived, envelope: envelope}
	c, err := x.read()
	if err == nil {
		err = x.run(c)
	}
	if err != nil {
		x.writeError(err)
	}
	x.observe(c, err)
	if x.headerSent.Load() && err != nil {
		// Once the header is sent, aborting the connection is the only way in
		// HTTP to signal that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// Reject answers a request whose header doesn't fit into the memory for callers.
func (i *Ingress) Reject(w http.ResponseWriter, req *http.Request) {
	x := &exchange{Ingress: i, w: w, req: req, arrived: time.Now()}
	x.meta, _ = i.o.Protocol.ParseRequest(req.Header) // the answer names the request, if it has an id
	if forward.IsForwarded(req.Header) {
		// An unreadable envelope gives the answer's marks nothing to name.
		e, _ := forward.TakeEnvelope(req.Header)
		x.envelope = &e
	}
	x.writeError(limit.MemoryExhausted())
}

// exchange is one request with its answer.
type exchange struct {
	*Ingress
	w          http.ResponseWriter
	req        *http.Request
	arrived    time.Time
	envelope   *forward.Envelope // of a forwarded request; nil: it came from a caller
	meta       port.RequestMeta
	trace      dispatch.Trace
	status     int
	headerSent atomic.Bool   // the header of a target's answer was sent
	out        *limit.Writer // writes a stream's events; nil before the first one
}

// read parses and validates the request.
func (x *exchange) read() (*dispatch.Call, error) {
	meta, err := x.o.Protocol.ParseRequest(x.req.Header)
	x.meta = meta
	if err != nil {
		return nil, code.Wrap(code.BadRequest, err, "")
	}
	if err := presence.Err(x.req.Context()); err != nil {
		return nil, code.Wrap(code.CallerGone, err, "before the request was read")
	}
	cfg := x.o.Config.Load()
	if cfg == nil {
		return nil, code.New(code.NoConfiguration, "").WithRetryAfter(noConfigurationRetryAfter)
	}
	if x.envelope != nil {
		x.meta.Timeout = x.envelope.Timeout
		if cfg = x.awaitVersion(x.envelope.Version); cfg.Version < x.envelope.Version {
			return nil, code.New(code.StaleConfiguration, "version %d, the request was matched by version %d", cfg.Version, x.envelope.Version).WithRetryAfter(noConfigurationRetryAfter)
		}
	}
	uri := requestURI(x.req)
	path, _, _ := strings.Cut(uri, "?")
	r := cfg.Match(x.req.Host, path)
	if r == nil {
		return nil, code.New(code.UnknownRoute, "version %d", cfg.Version)
	}
	org := cfg.Organisation(meta.APIKey)
	if org == nil && cfg.RequiresKeys() && !r.Public {
		return nil, x.unknownKey(cfg)
	}
	svc := cfg.Services[r.Service(splitSeed(r, &meta))]
	if svc == nil {
		return nil, code.New(code.NoTarget, "route %q names a service that the configuration lacks", r.Name).WithRetryAfter(noConfigurationRetryAfter)
	}
	if max := cfg.Limits.HeaderBytes; max > 0 && x.envelope == nil && limit.HeaderBytes(x.req) > max {
		return nil, code.New(code.HeaderTooLarge, "at most %d bytes", max)
	}
	body, err := limit.ReadBody(x.w, x.req, maxBodyBytes(cfg.Limits), bodyReadTimeout)
	if err != nil {
		return nil, err
	}
	// The headers are copied for the target and once more to be sent.
	if quota.FromContext(x.req.Context()).Grow(headerCopies*quota.CostOf(x.req.Header)) != nil {
		return nil, limit.MemoryExhausted()
	}
	c := &dispatch.Call{
		Meta:    x.meta,
		Route:   r,
		Service: svc,
		Version: cfg.Version,
		Arrived: x.arrived,
		Method:  x.req.Method,
		URI:     uri,
		Host:    x.req.Host,
		Header:  x.o.Protocol.ForwardHeaders(x.req.Header, cfg.RequiresKeys()),
		Body:    body,

		CallerHeader: func() http.Header { return x.o.Protocol.ForwardHeaders(x.req.Header, false) },

		Priority: r.Priority,
	}
	if x.envelope != nil {
		c.Forwarded, c.PriorRuns = true, x.envelope.Runs
	}
	if org != nil {
		c.Organisation = org.Name
		if x.o.OnStart != nil {
			c.OnStart = func(ago time.Duration) { x.o.OnStart(org.Name, ago) }
		}
		if org.Priority != nil {
			c.Priority = *org.Priority
		}
	}
	c.Deadline = x.arrived.Add(callTimeout(c))
	if x.mustRefuse(c) {
		return c, x.refuse(c)
	}
	return c, nil
}

// splitSeed returns the seed by which a route's service is selected. A request that
// takes a stream up goes to the service of the request that began it.
func splitSeed(r *route.Route, m *port.RequestMeta) uint64 {
	if r.Resumable && m.Resumes != "" {
		return route.Seed(m.Resumes)
	}
	return route.Seed(m.RequestID)
}

// headerCopies is the number of copies of a request's headers that are held while it runs.
const headerCopies = 2

const (
	// versionWait is the time in which a daemon gets a version that another one
	// already has: two reads of the configuration and the store's latency.
	versionWait = 300 * time.Millisecond
	// versionPoll is the interval between two looks at the configuration.
	versionPoll = 5 * time.Millisecond
)

// awaitVersion returns the configuration, once it has the version or
// versionWait has passed.
func (x *exchange) awaitVersion(version int64) *route.Config {
	cfg := x.o.Config.Load()
	for end := x.arrived.Add(versionWait); cfg.Version < version && time.Now().Before(end); cfg = x.o.Config.Load() {
		if pause.For(x.req.Context(), versionPoll) != nil {
			break
		}
	}
	return cfg
}

// unknownKey returns the error for a key that isn't in the configuration.
// Callers don't retry a 401, so a daemon whose configuration may be outdated
// returns a retryable error instead.
func (x *exchange) unknownKey(cfg *route.Config) error {
	if age, known := x.o.configAge(); known && age > x.o.MaxConfigAge {
		return code.New(code.StaleConfiguration, "version %d was confirmed %v ago", cfg.Version, age.Round(time.Millisecond)).WithRetryAfter(noConfigurationRetryAfter)
	}
	return code.New(code.Unauthorized, "version %d", cfg.Version)
}

const (
	// bodyReadTimeout bounds the time to read a body.
	bodyReadTimeout = 10 * time.Second
	// defaultBodyBytes is the maximum body size if the configuration sets none.
	defaultBodyBytes = 8 << 20
)

func maxBodyBytes(l route.Limits) int64 {
	if l.BodyBytes > 0 {
		return l.BodyBytes
	}
	return defaultBodyBytes
}

// noConfigurationRetryAfter is the Retry-After time while the configuration is
// missing or outdated. A daemon that has just started reads it within
// milliseconds.
const noConfigurationRetryAfter = 300 * time.Millisecond

// callTimeout returns the time that a call may take: the route's timeout, or
// the caller's remaining time if that is shorter.
func callTimeout(c *dispatch.Call) time.Duration {
	timeout := c.Route.MaxDuration()
	if c.Meta.Timeout > 0 {
		return min(timeout, c.Meta.Timeout)
	}
	return timeout
}

// requestURI returns the path and query as the caller sent them.
func requestURI(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// run runs the call and writes its answer.
func (x *exchange) run(c *dispatch.Call) error {
	// A stream that has begun may still end in time.
	ctx, release := stopping.WithStop(x.req.Context(), x.waiting, func() bool { return !x.headerSent.Load() })
	defer release()
	var err error
	if c.Route.Kind == route.Stream {
		x.trace, err = x.o.Runner.Streamed(ctx, c, x)
		return stopping.Error(ctx, err)
	}
	var a *dispatch.Answer
	if a, x.trace, err = x.o.Runner.Plain(ctx, c); err != nil {
		return stopping.Error(ctx, err)
	}
	return x.writeAnswer(a)
}

// observe logs the request and reports the Observation.
func (x *exchange) observe(c *dispatch.Call, err error) {
	duration := time.Since(x.arrived)
	o := Observation{Code: code.Of(err), Status: x.status, Duration: duration, TimeToFirst: x.trace.TimeToFirst}
	fields := log.Fields{
		"request": x.meta.RequestID,
		"code":    int(o.Code),
		"status":  x.status,
		"ms":      duration.Milliseconds(),
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
		fields["software"] = strings.Join(x.trace.Software, " ")
		fields["left_ms"] = c.Meta.Timeout.Milliseconds()
		fields["timeout_ms"] = c.Route.Timeout.Milliseconds()
		if c.Meta.MaxOutputTokens > 0 {
			fields["output_tokens"] = c.Meta.MaxOutputTokens
			fields["hint_tokens"] = c.Meta.OutputHint
			fields["last_event"] = x.trace.LastEvent
			fields["predicted_stream_ms"] = x.trace.PredictedDuration.Milliseconds()
		}
	}
	if c != nil && c.TakesUp() {
		fields["resumes"], fields["after_event"], fields["origin_source"] = c.Meta.Resumes, c.Meta.LastEventID, string(x.trace.OriginSource)
	}
	if x.trace.ForwardedTo != "" {
		fields["forwarded_to"] = x.trace.ForwardedTo
	}
	if x.envelope != nil {
		fields["forwarded_by"] = x.envelope.From
	}
	if age, known := x.o.targetsAge(); known {
		fields["targets_age_ms"] = age.Milliseconds()
	}
	if x.trace.PredictedFirst > 0 {
		fields["predicted_ms"] = x.trace.PredictedFirst.Milliseconds()
		fields["first_ms"] = x.trace.TimeToFirst.Milliseconds()
	}
	if x.trace.UsefulFor > 0 {
		fields["useful_ms"] = x.trace.UsefulFor.Milliseconds()
		fields["queued_ms"] = x.trace.PredictedWait.Milliseconds()
		fields["reserved_engines"] = x.trace.Reserved
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
	if q := x.trace.Quarantined; q != nil {
		fields["quarantined"], fields["quarantined_part"] = q.Fingerprint.String(), q.Part
	}
	if d, left := presence.DepartureOf(x.req.Context()); left {
		fields["left_after_ms"], fields["left_noticed_by"], fields["close_age_ms"] = d.At.Sub(x.arrived).Milliseconds(), string(d.By), d.Age.Milliseconds()
	}
	if len(x.trace.Exchanges) > 0 {
		fields["exchanges"] = x.trace.ExchangeList()
	}
	if len(x.trace.Causes) > 0 {
		fields["causes"] = strings.Join(x.trace.Causes, "; ")
	}
	entry := log.WithFields(fields)
	if err != nil {
		entry = entry.WithField("error", errorDetail(err))
		if after := answer.Error(err).RetryAfter; after > 0 {
			entry = entry.WithField("retry_after_ms", after.Milliseconds())
		}
	}
	entry.Info("ingress: request ended")
	if x.envelope == nil && x.o.Observe != nil { // the daemon that the caller called observes it
		x.o.Observe(o)
	}
}

// errorDetail returns an error's code and detail. It omits wrapped errors,
// since these may quote content of callers or targets.
func errorDetail(err error) string {
	var e *code.Error
	if !errors.As(err, &e) {
		return "internal"
	}
	return e.Code.Info().Name + " " + e.Detail
}
