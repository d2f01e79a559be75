// Package load tracks the load of the targets that this process may use. It
// corrects for the lag of load reports with the requests that the process itself
// sent since.
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
	defaultPollInterval = 250 * time.Millisecond
	defaultWatchLimit   = 64
	defaultCallRate     = 250.0
	syncInterval        = 500 * time.Millisecond
	pollsPerState       = 4 // load reads per state read
	pollTimeout         = time.Second
	maxReportLag        = time.Second // maximum assumed age of a load report when it is read
)

// Options configures a Watcher.
type Options struct {
	View         *view.Holder
	Pool         *pool.Pool
	Engine       func(addr string) port.Engine // returns the control interface of an engine
	Process      string                        // name of this process, for hashing
	Zone         string                        // availability zone of this process
	PollInterval time.Duration                 // minimum time between two polls of an engine; default 250ms
	WatchLimit   int                           // approximate number of watched targets; default 64
	CallRate     float64                       // calls per second to all engines together; default 250
	// OnCrash is called once for each detected crash of a target.
	OnCrash func(target string)
}

// Watcher polls the load and state of a subset of the targets. It is safe for
// concurrent use.
type Watcher struct {
	opts          Options
	tomb          tomb.Tomb
	syncRequested chan struct{} // requests a sync before the next tick

	crashMu  sync.Mutex // held while Options.OnCrash is called
	mu       sync.RWMutex
	watched  map[string]*engine        // by address
	services map[string]watchedTargets // by service name
}

// watchedTargets is the watched subset of one service's targets.
type watchedTargets struct {
	version int64
	targets []document.Target
}

// New returns a Watcher that follows the snapshots in o.View until Close.
func New(o Options) *Watcher {
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.WatchLimit <= 0 {
		o.WatchLimit = defaultWatchLimit
	}
	if o.CallRate <= 0 {
		o.CallRate = defaultCallRate
	}
	w := &Watcher{opts: o, syncRequested: make(chan struct{}, 1), watched: make(map[string]*engine), services: make(map[string]watchedTargets)}
	w.tomb.Go(w.run)
	return w
}

// Close stops polling and waits until all polls have ended.
func (w *Watcher) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

func (w *Watcher) run() error {
	tick := time.NewTicker(syncInterval)
	defer tick.Stop()
	for {
		if s := w.opts.View.Load(); s != nil {
			w.sync(s)
		}
		select {
		case <-w.tomb.Dying():
			return nil
		case <-tick.C:
		case <-w.syncRequested:
		}
	}
}

// requestSync requests a sync without waiting for it.
func (w *Watcher) requestSync() {
	select {
	case w.syncRequested <- struct{}{}:
	default:
	}
}

// sync starts and stops the polling of engines according to the snapshot.
func (w *Watcher) sync(s *view.Snapshot) {
	all := 0
	for _, svc := range s.Services {
		all += len(svc.Doc.Targets)
	}
	services := make(map[string]watchedTargets, len(s.Services))
	keep := make(map[string]bool, all)
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, svc := range s.Services {
		targets := w.choose(svc.Doc, all)
		services[name] = watchedTargets{version: svc.Version, targets: targets}
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
	n := quota(w.opts.WatchLimit, len(doc.Targets), all)
	return subset(doc.Targets, w.opts.Zone, w.opts.Process, n)
}

// startPolling starts polling t's engine, unless it is polled already. Callers
// hold w.mu.
func (w *Watcher) startPolling(t document.Target) {
	if w.opts.Engine == nil || w.watched[t.Addr] != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine{name: t.Name, addr: t.Addr, client: w.opts.Engine(t.Addr), stop: cancel}
	w.watched[t.Addr] = e
	w.tomb.Go(func() error {
		defer cancel()
		w.poll(ctx, e)
		return nil
	})
}

// Targets returns the current view of the targets of svc that this process
// watches. It doesn't wait for I/O.
func (w *Watcher) Targets(svc *view.Service) []routing.Target {
	now := time.Now()
	snap := w.opts.View.Load()
	w.mu.RLock()
	defer w.mu.RUnlock()
	watched, ok := w.services[svc.Doc.Service]
	if !ok || watched.version != svc.Version {
		// Until the requested sync has processed the new version, its targets
		// are selected for each request.
		w.requestSync()
		watched.targets = w.choose(svc.Doc, len(svc.Doc.Targets))
	}
	out := make([]routing.Target, 0, len(watched.targets))
	available := 0
	refusing := make([]bool, 0, len(watched.targets))
	for _, t := range watched.targets {
		status := w.opts.Pool.Status(t.Addr)
		r := w.target(svc.Doc, t, status, snap, now)
		out = append(out, r)
		refusing = append(refusing, status.Refusing)
		if r.Live && !r.Changing && !status.Refusing {
			available++
		}
	}
	if available > 0 {
		excludeRefusing(out, refusing)
	}
	return out
}

// excludeRefusing marks the targets that recently refused a request as not live.
// A lower score wouldn't suffice: a leaving engine has nothing in flight, and
// under load even a tenth of its score would be the best one.
func excludeRefusing(targets []routing.Target, refusing []bool) {
	for i := range targets {
		targets[i].Live = targets[i].Live && !refusing[i]
	}
}

// target merges the document's data on t with the state of its engine and pool.
//
// A leaving target gets no new requests. The snapshot, the document and the
// engine's state can each mark it as leaving, and all three are checked for each
// request.
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
		e.addTo(&r, w.opts.Pool, now)
	}
	return r
}

// HandleDown is the callback for pool.Options.OnDown: the target at addr accepts
// no connections, and a dial failed with err. Only a refused connection counts
// as a crash: an unreachable address may be behind a network partition, and the
// content in flight there would wrongly become suspect.
func (w *Watcher) HandleDown(addr string, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	w.mu.RLock()
	e := w.watched[addr]
	name := w.nameOf(addr)
	w.mu.RUnlock()
	if e != nil && !e.recordCrash() {
		return
	}
	w.reportCrash(name)
}

// nameOf returns the name of the target at addr, or addr if it is unknown. It
// uses the current snapshot because w.services may not include the newest
// version yet.
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

func (w *Watcher) reportCrash(name string) {
	w.crashMu.Lock()
	defer w.crashMu.Unlock()
	log.WithField("target", name).Warn("load: target crashed")
	if w.opts.OnCrash != nil {
		w.opts.OnCrash(name)
	}
}

// Verify checks whether t has crashed: it refuses connections, or its engine has
// a new incarnation. It returns after Options.OnCrash, also if another request
// detected the crash first. Otherwise, of two requests broken by the same crash,
// the second could be sent to another target before the first has reported it.
func (w *Watcher) Verify(ctx context.Context, t routing.Target) {
	w.verify(ctx, t)
	w.crashMu.Lock()
	defer w.crashMu.Unlock()
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
