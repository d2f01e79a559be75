package daemon

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/yamlcheck"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/reconcile"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// validate checks a document by the rules of this binary.
func validate(yaml string) (code.Code, string) {
	_, problems := document.Parse("document", []byte(yaml))
	err := yamlcheck.AsError(problems)
	if err == nil {
		return code.OK, ""
	}
	return code.Of(err), err.Error()
}

// documents caches the parsed form of each version in force. Only the control
// goroutine uses it.
type documents struct {
	byVersion map[int64]*view.Service
}

// services returns the parsed services in force. A version that this binary
// can't parse was accepted by an older binary and stays in force there. Here
// its service is left out.
func (d *documents) services(s *fold.State) []*view.Service {
	next := make(map[int64]*view.Service, len(s.Services))
	var out []*view.Service
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		svc := s.Services[name]
		if svc.Version == 0 || svc.Removed {
			continue
		}
		v := d.byVersion[svc.Version]
		if v == nil {
			v = parseService(name, svc)
		}
		if v == nil {
			continue
		}
		next[svc.Version] = v
		out = append(out, v)
	}
	d.byVersion = next
	return out
}

// parseService parses an accepted document without validating it again.
// Acceptance is final, so a binary with stricter rules must not drop a version
// in force.
func parseService(name string, svc fold.Service) *view.Service {
	doc, err := document.Accepted([]byte(svc.YAML))
	if err != nil {
		log.WithError(err).WithField("service", name).Error("config: failed to parse accepted document")
		return nil
	}
	return &view.Service{Doc: doc, Version: svc.Version}
}

// controlInterval is the interval between two checks of state that changes
// without a record in the log: the VM list, the state of engines and the plan
// of roles.
const controlInterval = 500 * time.Millisecond

// controlLoop runs the control goroutine, which owns the control state.
func (d *Daemon) controlLoop() error {
	tick := time.NewTicker(controlInterval)
	defer tick.Stop()
	for {
		changed := d.follower.Changed()
		d.refresh()
		select {
		case <-d.tomb.Dying():
			return nil
		case <-changed:
		case <-tick.C:
			d.updateRouterCount()
			d.planner.step()
		}
	}
}

// updateRouterCount sets the router's number of processes that send to the same
// targets, so that they don't all choose the same best target.
func (d *Daemon) updateRouterCount() {
	_, daemons := d.members.View().Rank()
	snap := d.view.Load()
	if snap == nil {
		return
	}
	targets := 0
	for _, svc := range snap.Services {
		targets += len(svc.Doc.Targets)
	}
	share := min(1, float64(d.s.Control.WatchedTargets)/float64(max(targets, 1)))
	d.router.SetRouterCount(max(1, int(math.Round(float64(daemons)*share))))
}

// refresh stores a new snapshot if its contents changed or if a version came
// into force that this binary can't parse. The latter must not be skipped: the
// reconciler waits for a snapshot that covers the newest change and would
// otherwise block for all services.
func (d *Daemon) refresh() {
	select {
	case <-d.follower.Ready():
	default:
		return
	}
	s := d.follower.State()
	old := d.view.Load()
	services := d.docs.services(s)
	snap := view.NewSnapshot(s.Applied, services, nil)
	snap.Leaving = reconcile.Leaving(snap, d.leavingVMs(), d.reconciler.EnginesLeaving())
	if old != nil && old.Applied >= s.Changed && sameVersions(old, snap) && maps.Equal(old.Leaving, snap.Leaving) {
		return
	}
	logVersions(old, snap)
	d.view.Store(snap)
	if d.state.CompareAndSwap(int32(phaseStarting), int32(phaseServing)) {
		log.WithField("offset", s.Applied).Info("daemon: serving")
	}
}

func sameVersions(a, b *view.Snapshot) bool {
	return maps.EqualFunc(a.Services, b.Services, func(x, y *view.Service) bool { return x.Version == y.Version })
}

func logVersions(old, snap *view.Snapshot) {
	for name, svc := range snap.Services {
		if old != nil && old.Services[name] != nil && old.Services[name].Version == svc.Version {
			continue
		}
		log.WithFields(log.Fields{"service": name, "version": svc.Version}).Info("config: in force")
	}
}

// leavingVMs returns the VMs that the VM list shows as leaving.
func (d *Daemon) leavingVMs() []port.VM { return d.members.LeavingVMs() }

func (d *Daemon) groupNames() []string {
	snap := d.view.Load()
	if snap == nil {
		return nil
	}
	return reconcile.Names(reconcile.Groups(snap))
}

var errNoConfiguration = errors.New("the control stream has not been read yet")

// Admit implements view.Gate.
func (d *Daemon) Admit() error {
	switch d.phase() {
	case phaseStarting:
		return code.Wrap(code.NoConfiguration, errNoConfiguration, "").WithRetryAfter(time.Second)
	case phaseDraining:
		return code.New(code.Draining, "").WithRetryAfter(time.Second)
	}
	if d.isolated() {
		return code.New(code.Isolated, "neither the log nor enough peers for %v", d.s.Control.Isolation).WithRetryAfter(d.s.Control.Isolation)
	}
	return nil
}

// isolated reports whether this process may lack the configuration in force
// while other daemons have it. A process that reads the log has the
// configuration. Without the log, it would have received newer records from its
// peers if they are at least half of the fleet. Otherwise operators may have
// drained a target or published a version without its knowledge, and it refuses
// requests; callers have other addresses. A daemon that was paused first waits
// for contact with its peers.
func (d *Daemon) isolated() bool {
	if !d.outOfContact() {
		return false
	}
	d.members.AwaitContact(d.tomb.Context(context.Background()))
	return d.outOfContact()
}

// outOfContact is the check of isolated, without waiting for peers.
func (d *Daemon) outOfContact() bool {
	if d.logAge() < d.s.Control.Isolation {
		return false
	}
	live, known := d.members.View().Reachable()
	if live+1 > known-live {
		return d.members.TimeSinceContact() > d.s.Control.Isolation && known > 0
	}
	return true
}

// logAge returns the time since the start of the last completed read of the
// log's tail.
func (d *Daemon) logAge() time.Duration {
	began, ok := d.follower.LastReadStart()
	if !ok {
		return d.s.Control.Isolation
	}
	return d.clock.Now() - began
}

func (d *Daemon) objectives(service string) (document.Objectives, bool) {
	snap := d.view.Load()
	if snap == nil || snap.Services[service] == nil {
		return document.Objectives{}, false
	}
	return snap.Services[service].Doc.Objectives, true
}

// rank returns this process's rank among the live daemons.
func (d *Daemon) rank() int {
	rank, _ := d.members.View().Rank()
	return rank
}

func sortedServices(snap *view.Snapshot) []string {
	return slices.Sorted(maps.Keys(snap.Services))
}
