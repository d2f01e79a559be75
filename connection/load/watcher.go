// Package load follows the load of the targets that this process may use and
// corrects its lag by what the process sent itself.
package load

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

const (
	defaultPoll  = 250 * time.Millisecond
	defaultWatch = 64
	defaultReads = 250.0
	syncEvery    = 500 * time.Millisecond
	stateEvery   = 4 // load reads per state read
	pollLimit    = time.Second
	maxLag       = time.Second // of a load report behind its reading
)

// Options of a Watcher.
type Options struct {
	View    *view.Holder
	Pool    *pool.Pool
	Engine  func(addr string) port.Engine // control side of an engine
	Process string                        // names this process in hashed choices
	Zone    string                        // its availability zone
	Poll    time.Duration                 // between load reads of one engine; 250ms
	Watch   int                           // targets watched in all, about; 64
	Reads   float64                       // calls a second to all engines together; 250
	// Crashed is called once for each death of a target that was noticed.
	Crashed func(target string)
}

// Watcher is safe for concurrent use.
type Watcher struct {
	opts Options
	tomb tomb.Tomb
	due  chan struct{} // a sync is wanted before the next tick

	telling  sync.Mutex // held while Crashed is told of a death
	mu       sync.RWMutex
	watched  map[string]*engine // by address
	services map[string]chosen  // by service name
}

// chosen is the watched part of one service's targets.
type chosen struct {
	version int64
	targets []document.Target
}

// New returns a Watcher that follows the snapshots in o.View until Close.
func New(o Options) *Watcher {
	if o.Poll <= 0 {
		o.Poll = defaultPoll
	}
	if o.Watch <= 0 {
		o.Watch = defaultWatch
	}
	if o.Reads <= 0 {
		o.Reads = defaultReads
	}
	w := &Watcher{opts: o, due: make(chan struct{}, 1), watched: make(map[string]*engine), services: make(map[string]chosen)}
	w.tomb.Go(w.follow)
	return w
}

// Close stops the polling.
func (w *Watcher) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *Watcher) follow() error {
	tick := time.NewTicker(syncEvery)
	defer tick.Stop()
	for {
		if s := w.opts.View.Load(); s != nil {
			w.sync(s)
		}
		select {
		case <-w.tomb.Dying():
			return nil
		case <-tick.C:
		case <-w.due:
		}
	}
}

// hurry asks for a sync without waiting for it.
func (w *Watcher) hurry() {
	select {
	case w.due <- struct{}{}:
	default:
	}
}

// sync starts and stops polling as services and targets come and go.
func (w *Watcher) sync(s *view.Snapshot) {
	all := 0
	for _, svc := range s.Services {
		all += len(svc.Doc.Targets)
	}
	services := make(map[string]chosen, len(s.Services))
	keep := make(map[string]bool, all)
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, svc := range s.Services {
		targets := w.choose(svc.Doc, all)
		services[name] = chosen{version: svc.Version, targets: targets}
		for _, t := range targets {
			keep[t.Addr] = true
			if svc.Doc.Kind == document.KindModel {
				w.startPolling(t)
			}
		}
	}
	w.services = services
	for addr, e := range w.watched {
		if !keep[addr] {
			e.stop()
			delete(w.watched, addr)
		}
	}
	w.opts.Pool.Retain(keep)
}

func (w *Watcher) choose(doc *document.Document, all int) []document.Target {
	n := quota(w.opts.Watch, len(doc.Targets), all)
	return subset(doc.Targets, w.opts.Zone, w.opts.Process, n)
}

// startPolling polls t's engine. Callers hold w.mu.
func (w *Watcher) startPolling(t document.Target) {
	if w.opts.Engine == nil || w.watched[t.Addr] != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine{name: t.Name, addr: t.Addr, api: w.opts.Engine(t.Addr), stop: cancel}
	w.watched[t.Addr] = e
	w.tomb.Go(func() error {
		defer cancel()
		w.poll(ctx, e)
		return nil
	})
}

// Targets returns what is known now of the targets of svc that this process
// watches. It never waits for I/O.
func (w *Watcher) Targets(svc *view.Service) []routing.Target {
	now := time.Now()
	snap := w.opts.View.Load()
	w.mu.RLock()
	defer w.mu.RUnlock()
	c, ok := w.services[svc.Doc.Service]
	if !ok || c.version != svc.Version {
		// A sync takes the new version over at once; until then its targets
		// are chosen anew for each request.
		w.hurry()
		c.targets = w.choose(svc.Doc, len(svc.Doc.Targets))
	}
	out := make([]routing.Target, 0, len(c.targets))
	willing := 0
	refusing := make([]bool, 0, len(c.targets))
	for _, t := range c.targets {
		status := w.opts.Pool.Status(t.Addr)
		r := w.target(svc.Doc, t, status, snap, now)
		out = append(out, r)
		refusing = append(refusing, status.Refusing)
		if r.Live && !r.Changing && !status.Refusing {
			willing++
		}
	}
	if willing > 0 {
		leaveAlone(out, refusing)
	}
	return out
}

// leaveAlone takes the targets that refused a request a moment ago out of the
// choice. A low score doesn't do: a leaving engine has nothing in flight, and
// under load even a tenth of its score is the best one.
func leaveAlone(targets []routing.Target, refusing []bool) {
	for i := range targets {
		targets[i].Live = targets[i].Live && !refusing[i]
	}
}

// target joins the document, the engine's own word and the pool's.
//
// A target that is leaving gets no new work: its mark in the snapshot, in the
// document and in its own state are all looked at for each request, so the
// slowest of the three alone decides when the last new request reaches it.
func (w *Watcher) target(doc *document.Document, t document.Target, status pool.Status, snap *view.Snapshot, now time.Time) routing.Target {
	leaving := t.Drain || snap != nil && snap.Leaving[t.Addr]
	r := routing.Target{
		Name:     t.Name,
		Addr:     t.Addr,
		Zone:     t.Zone,
		Model:    t.Model,
		Adapter:  t.Adapter,
		Role:     t.Role,
		Live:     !leaving && !status.Down,
		Suspect:  status.Suspect,
		InFlight: status.InFlight,
		Limit:    doc.Limits.QueuePerTarget,
	}
	if e := w.watched[t.Addr]; e != nil {
		e.fill(&r, w.opts.Pool, now)
	}
	return r
}

// Down takes the pool's word that addr refused a connection. Only a refusal
// is a death: an address that can't be reached may lie behind a partition,
// and all that was in flight there would be suspected for nothing.
func (w *Watcher) Down(addr string, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	w.mu.RLock()
	e := w.watched[addr]
	name := w.nameOf(addr)
	w.mu.RUnlock()
	if e != nil && !e.noteDeath() {
		return
	}
	w.crashed(name)
}

// nameOf finds the target's name in the documents in force, which a version
// that came a moment ago is part of already.
func (w *Watcher) nameOf(addr string) string {
	snap := w.opts.View.Load()
	if snap == nil {
		return addr
	}
	for _, svc := range snap.Services {
		for _, t := range svc.Doc.Targets {
			if t.Addr == addr {
				return t.Name
			}
		}
	}
	return addr
}

func (w *Watcher) crashed(name string) {
	w.telling.Lock()
	defer w.telling.Unlock()
	log.WithField("target", name).Warn("load: target died")
	if w.opts.Crashed != nil {
		w.opts.Crashed(name)
	}
}

// Verify checks at once whether t has died: it refuses connections, or its
// engine has a new incarnation. Crashed was called before it returns, also
// when another request noticed the death first: of two requests broken by one
// death the second would else go elsewhere before the first has told.
func (w *Watcher) Verify(ctx context.Context, t routing.Target) {
	w.verify(ctx, t)
	w.telling.Lock()
	defer w.telling.Unlock()
}

func (w *Watcher) verify(ctx context.Context, t routing.Target) {
	if w.opts.Pool.Verify(ctx, t.Addr) {
		return
	}
	w.mu.RLock()
	e := w.watched[t.Addr]
	w.mu.RUnlock()
	if e != nil {
		w.readLoad(ctx, e)
	}
}
