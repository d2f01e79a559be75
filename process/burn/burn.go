package burn

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/version/document"
)

// maxServices bounds the memory. Samples of further services are dropped and
// counted in the report.
const maxServices = 64

// Options of a Tracker.
type Options struct {
	Daemon string           // VM id, which identifies the daemon in reports
	Now    func() time.Time // time.Now when nil
	// Objectives returns a service's objectives in force. A service without
	// objectives is not measured.
	Objectives func(service string) (document.Objectives, bool)
}

// Tracker measures all services of one daemon. It is safe for concurrent use.
// Its memory is bounded to about 0.7 MB per service (BenchmarkService).
type Tracker struct {
	opts   Options
	loaded atomic.Bool // Load has restored the last snapshot, or found none

	mu       sync.RWMutex
	services map[string]*service
	dropped  uint64
}

var _ Observer = (*Tracker)(nil)

// New returns an empty Tracker.
func New(o Options) *Tracker {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Tracker{opts: o, services: make(map[string]*service)}
}

// Observe implements Observer. It does no I/O, and blocks only while another
// sample of the same service is added or a report copies its counts.
func (t *Tracker) Observe(s Sample) {
	objectives, ok := t.opts.Objectives(s.Service)
	if !ok {
		return
	}
	svc := t.service(s.Service)
	if svc == nil {
		return
	}
	svc.observe(s, objectives, t.opts.Now())
}

func (t *Tracker) service(name string) *service {
	t.mu.RLock()
	svc := t.services[name]
	t.mu.RUnlock()
	if svc != nil {
		return svc
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if svc := t.services[name]; svc != nil {
		return svc
	}
	if len(t.services) >= maxServices {
		t.dropped++
		return nil
	}
	svc = newService()
	t.services[name] = svc
	return svc
}

// names returns the names of the measured services in alphabetical order.
func (t *Tracker) names() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Report returns the measurements of this daemon.
func (t *Tracker) Report() *Report {
	now := t.opts.Now()
	r := &Report{Daemons: []string{t.opts.Daemon}, At: now.UTC()}
	for _, name := range t.names() {
		objectives, ok := t.opts.Objectives(name)
		if !ok {
			continue
		}
		r.Services = append(r.Services, t.service(name).report(name, objectives, now))
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r.Dropped = t.dropped
	return r
}

// service holds the measurements of one service.
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
	v := gradeSample(x, o)
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
