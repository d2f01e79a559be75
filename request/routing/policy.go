package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
)

// Options hold the rates that routing assumes until a target has measured its
// own, and what crossing the network costs. A zero field takes its default.
type Options struct {
	PrefillRate   float64       // prompt tokens/s of one engine; 8000
	StepBase      time.Duration // one decode step with one stream; 18ms
	StepPerStream time.Duration // what each further stream adds to a step; 250µs
	PlainTime     time.Duration // one request of a plain service; 20ms
	KVMoveRate    float64       // tokens/s of KV cache between engines; 0: KV can't be moved
	KVMoveDelay   time.Duration // before the first moved token; 20ms
	BetweenTokens time.Duration // objective; 0: none
	ZoneDelay     time.Duration // a round trip to another availability zone; 1ms
	Lag           time.Duration // staleness of a load report that LoadAge doesn't show; 100ms
	Utilisation   float64       // share of the targets' capacity in use, for stale reports; 0.8
	Deciders      int           // processes that route to the same targets; 1
}

// The defaults of Options, and the bounds on what reports are believed.
const (
	defaultPrefillRate   = 8000
	defaultStepBase      = 18 * time.Millisecond
	defaultStepPerStream = 250 * time.Microsecond
	defaultPlainTime     = 20 * time.Millisecond
	defaultKVMoveDelay   = 20 * time.Millisecond
	defaultZoneDelay     = time.Millisecond
	defaultLag           = 100 * time.Millisecond
	defaultUtilisation   = 0.8
	maxReportAge         = 5 * time.Second // an older report counts as this old
	minRetryAfter        = 100 * time.Millisecond
)

func (o Options) withDefaults() Options {
	setFloat(&o.PrefillRate, defaultPrefillRate)
	setDuration(&o.StepBase, defaultStepBase)
	setDuration(&o.StepPerStream, defaultStepPerStream)
	setDuration(&o.PlainTime, defaultPlainTime)
	setDuration(&o.KVMoveDelay, defaultKVMoveDelay)
	setDuration(&o.ZoneDelay, defaultZoneDelay)
	setDuration(&o.Lag, defaultLag)
	setFloat(&o.Utilisation, defaultUtilisation)
	o.Deciders = max(o.Deciders, 1)
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

// Policy is the Router of pomelospool. It keeps no state between requests but
// the number of deciders.
type Policy struct {
	opts     Options
	deciders atomic.Int64
	scratch  sync.Pool
}

var _ Router = (*Policy)(nil)

// New returns a Policy. One serves all services; a service with a
// between-tokens objective may have its own.
func New(o Options) *Policy {
	p := &Policy{opts: o.withDefaults()}
	p.deciders.Store(int64(p.opts.Deciders))
	p.scratch.New = func() any { return &scratch{} }
	return p
}

// SetDeciders tells how many processes route to the same targets now. The
// more there are, the less of the load since a report this one knows itself.
func (p *Policy) SetDeciders(n int) { p.deciders.Store(int64(max(n, 1))) }

// candidate is a target that passed the filters.
type candidate struct {
	t      *Target
	est    estimate
	score  float64
	cost   float64 // seconds that stand for the score
	weight float64
}

type scratch struct {
	cands    []candidate
	decoders []candidate
	levels   []float64
}

// Route filters, scores and picks.
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
	s.cands = env.withPace(s.cands)
	if len(s.cands) == 0 {
		return Decision{}, p.overloaded(s, &r, &targets[0])
	}
	for i := range s.cands {
		c := &s.cands[i]
		c.est = env.estimate(c.t)
		c.score = env.score(c)
		c.cost = costOf(c.score)
	}
	c := choose(s, s.cands, p.unseenWork(s.cands, env), mix(seedOf(&r)))
	return env.decision(c), nil
}

// filter fills s.cands. It returns the targets that only lack room, or an
// error when no target could serve the request even if it were idle.
func (p *Policy) filter(s *scratch, r *Request, targets []Target) (full *Target, err error) {
	s.cands = s.cands[:0]
	for i := range targets {
		t := &targets[i]
		if !isLive(t) || isExcluded(r, t) || !servesModel(r, t) {
			continue
		}
		if !hasRoom(t) || !mayRunAlone(r, t) {
			full = t
			continue
		}
		s.cands = append(s.cands, candidate{t: t})
	}
	if len(s.cands) == 0 && full == nil {
		return nil, code.New(code.NoTarget, "none of %d targets can serve service %q, model %q", len(targets), r.Service, r.Model)
	}
	return full, nil
}

// overloaded refuses a request for which all targets are full. It tells the
// caller to come back when one of them is likely to have a place again.
func (p *Policy) overloaded(s *scratch, r *Request, full *Target) error {
	env := p.environment(s, r, nil)
	est := env.estimate(full)
	wait := est.finish / float64(max(full.Limit, 1))
	after := max(minRetryAfter, seconds(wait))
	return code.New(code.Overloaded, "every target of service %q is full", r.Service).After(after)
}

// role gives the role a target serves in; one without a role serves all.
func role(t *Target) port.Role {
	if t.Role == "" {
		return port.RoleMixed
	}
	return t.Role
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
