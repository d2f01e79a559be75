package burn

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/version/document"
)

// maxServices bounds the memory: samples of further services are dropped and
// counted in the report.
const maxServices = 64

// Options of a Tracker.
type Options struct {
	Daemon string           // VM id, which names the daemon in reports
	Now    func() time.Time // time.Now when nil
	// Objectives returns the objectives in force of a service. A service
	// without any is not measured.
	Objectives func(service string) (document.Objectives, bool)
}

// Tracker measures all services of one daemon. It is safe for concurrent use.
// Its memory is bounded: about 0.7 MB a service
// (BenchmarkService).
type Tracker struct {
	opts   Options
	loaded atomic.Bool // an earlier incarnation's snapshot, or none stands

	mu       sync.RWMutex
	services map[string]*service
	dropped  uint64
}

var _ Observer = (*Tracker)(nil)

// New returns a Tracker without samples.
func New(o Options) *Tracker {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Tracker{opts: o, services: make(map[string]*service)}
}

// Observe takes one finished request. It does no I/O and waits for no more
// than another sample of the same service, or a report's copy of it.
func (b *Tracker) Observe(s Sample) {
	objectives, ok := b.opts.Objectives(s.Service)
	if !ok {
		return
	}
	svc := b.service(s.Service)
	if svc == nil {
		return
	}
	svc.observe(s, objectives, b.opts.Now())
}

func (b *Tracker) service(name string) *service {
	b.mu.RLock()
	svc := b.services[name]
	b.mu.RUnlock()
	if svc != nil {
		return svc
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if svc := b.services[name]; svc != nil {
		return svc
	}
	if len(b.services) >= maxServices {
		b.dropped++
		return nil
	}
	svc = newService()
	b.services[name] = svc
	return svc
}

// names returns the measured services in order.
func (b *Tracker) names() []string {
	b.mu.RLock()
	defer b.mu.RUnlock()
	names := make([]string, 0, len(b.services))
	for name := range b.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Report sums up what this daemon measured.
func (b *Tracker) Report() *Report {
	now := b.opts.Now()
	r := &Report{Daemons: []string{b.opts.Daemon}, At: now.UTC()}
	for _, name := range b.names() {
		objectives, ok := b.opts.Objectives(name)
		if !ok {
			continue
		}
		r.Services = append(r.Services, b.service(name).report(name, objectives, now))
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	r.Dropped = b.dropped
	return r
}

// service measures one service.
type service struct {
	mu      sync.Mutex
	all     *series
	first   *recorder
	between *recorder
	answer  *recorder
	orgs    *orgs
}

func newService() *service {
	return &service{
		all:     newSeries(),
		first:   newRecorder(serviceScale),
		between: newRecorder(serviceScale),
		answer:  newRecorder(serviceScale),
		orgs:    newOrgs(),
	}
}

func (s *service) observe(x Sample, o document.Objectives, now time.Time) {
	v := judge(x, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.add(now, v, x.Code)
	if x.TimeToFirstToken > 0 {
		s.first.record(now, x.TimeToFirstToken)
	}
	if x.TimePerToken > 0 {
		s.between.record(now, x.TimePerToken)
	}
	if v.counted {
		s.answer.record(now, x.Total)
	}
	s.orgs.add(now, x, v)
}

func (s *service) report(name string, o document.Objectives, now time.Time) Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Service{
		Name:    name,
		Goals:   goalsOf(o),
		Windows: s.all.windows(now),
		First:   s.first.export(now),
		Between: s.between.export(now),
		Answer:  s.answer.export(now),
		Orgs:    s.orgs.report(now),
	}
}
