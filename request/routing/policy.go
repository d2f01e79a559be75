package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/balance"
)

// Options holds the rates that routing assumes for targets that have not
// reported their own, and the cost of network transfers. Zero fields take
// their defaults.
type Options struct {
	PrefillRate      float64       // prompt tokens/s of one engine; default 8000
	StepBase         time.Duration // duration of a decode step with one stream; default 18ms
	StepPerStream    time.Duration // added to a step by each further stream; default 250µs
	PlainServiceTime time.Duration // duration of one request of a plain service; default 20ms
	KVTransferRate   float64       // tokens/s of KV cache transfer between engines; 0: no transfer possible
	KVTransferDelay  time.Duration // delay before the first token is transferred; default 20ms
	BetweenTokens    time.Duration // objective for the time between tokens; 0: none
	ZoneDelay        time.Duration // round trip to another availability zone; default 1ms
	ReportLag        time.Duration // age of a load report that LoadAge doesn't include; default 100ms
	Utilisation      float64       // assumed share of the targets' capacity in use between reports; default 0.8
	RouterCount      int           // number of processes that route to the same targets; default 1
}

// Defaults of Options, and bounds on the age of reports and on Retry-After.
const (
	defaultPrefillRate      = 8000
	defaultStepBase         = 18 * time.Millisecond
	defaultStepPerStream    = 250 * time.Microsecond
	defaultPlainServiceTime = 20 * time.Millisecond
	defaultKVTransferDelay  = 20 * time.Millisecond
	defaultZoneDelay        = time.Millisecond
	defaultReportLag        = 100 * time.Millisecond
	defaultUtilisation      = 0.8
	maxReportAge            = 5 * time.Second // the age of older reports is capped at this value
	minRetryAfter           = 100 * time.Millisecond
)

func (o Options) withDefaults() Options {
	setFloat(&o.PrefillRate, defaultPrefillRate)
	setDuration(&o.StepBase, defaultStepBase)
	setDuration(&o.StepPerStream, defaultStepPerStream)
	setDuration(&o.PlainServiceTime, defaultPlainServiceTime)
	setDuration(&o.KVTransferDelay, defaultKVTransferDelay)
	setDuration(&o.ZoneDelay, defaultZoneDelay)
	setDuration(&o.ReportLag, defaultReportLag)
	setFloat(&o.Utilisation, defaultUtilisation)
	o.RouterCount = max(o.RouterCount, 1)
	return o
}

func setFloat(f *float64, v float64) {
	if *f == 0 {
		*f = v
	}
}

func setDuration(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Policy is the default Router. Its only state between requests is the number
// of routing processes.
type Policy struct {
	opts        Options
	routerCount atomic.Int64
	scratch     sync.Pool
}

var _ Router = (*Policy)(nil)

// New returns a Policy. One Policy can serve all services; a service with its
// own between-tokens objective may use a separate one.
func New(o Options) *Policy {
	p := &Policy{opts: o.withDefaults()}
	p.routerCount.Store(int64(p.opts.RouterCount))
	p.scratch.New = func() any { return &scratch{} }
	return p
}

// SetRouterCount sets the number of processes that route to the same targets. The
// policy uses it to estimate the load that the others added since a report.
func (p *Policy) SetRouterCount(n int) { p.routerCount.Store(int64(max(n, 1))) }

// candidate is a target that passed the filters.
type candidate struct {
	target *Target
	est    estimate
	score  float64
	cost   float64 // the score as an equivalent finish time in seconds
}

type scratch struct {
	cands    []candidate
	decoders []candidate
	costs    []float64 // of the candidates of a choice
	chooser  balance.Chooser
}

// Route implements Router.
func (p *Policy) Route(r Request, targets []Target) (Decision, error) {
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	full, err := p.filter(s, &r, targets)
	if err != nil {
		return Decision{}, err
	}
	if len(s.cands) == 0 {
		return Decision{}, p.overloaded(s, &r, full)
	}
	env := p.environment(s, &r, targets)
	s.cands = env.meetingObjective(s.cands)
	if len(s.cands) == 0 {
		return Decision{}, p.overloaded(s, &r, &targets[0])
	}
	for i := range s.cands {
		c := &s.cands[i]
		c.est = env.estimate(c.target)
		c.score = env.score(c)
		c.cost = costOf(c.score)
	}
	c := choose(s, s.cands, p.unreportedWork(s.cands, env), splitmix64(seedOf(&r)))
	return env.decision(c), nil
}

// filter fills s.cands. It returns a target that was left out only because it
// is at capacity, if any, and an error if no target could serve the request
// even when idle.
func (p *Policy) filter(s *scratch, r *Request, targets []Target) (full *Target, err error) {
	s.cands = s.cands[:0]
	for i := range targets {
		t := &targets[i]
		if !isLive(t) || isExcluded(r, t) || !servesModel(r, t) {
			continue
		}
		if !hasCapacity(t) || !idleIfExclusive(r, t) {
			full = t
			continue
		}
		s.cands = append(s.cands, candidate{target: t})
	}
	if len(s.cands) == 0 && full == nil {
		return nil, code.New(code.NoTarget, "none of %d targets can serve service %q, model %q", len(targets), r.Service, r.Model)
	}
	return full, nil
}

// overloaded returns the error for a request whose targets are all at capacity.
// Its Retry-After is the expected time until a target has capacity again.
func (p *Policy) overloaded(s *scratch, r *Request, full *Target) error {
	env := p.environment(s, r, nil)
	est := env.estimate(full)
	wait := est.finish / float64(max(full.Limit, 1))
	after := max(minRetryAfter, seconds(wait))
	return code.New(code.Overloaded, "every target of service %q is full", r.Service).WithRetryAfter(after)
}

// role returns the target's role. A target without a role is a mixed one.
func role(t *Target) port.Role {
	if t.Role == "" {
		return port.RoleMixed
	}
	return t.Role
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
