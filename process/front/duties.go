package front

import (
	"time"

	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/scale"
	"github.com/pomelospool/pomelospool/process/usage"
)

// wireDuties creates the parts that call the platform on behalf of the whole
// fleet.
func (d *Daemon) wireDuties() {
	if d.s.Duties.Addr == "" {
		return
	}
	calls := platform.NewDuties(d.s.Duties.Addr)
	d.scaler = scale.New(scale.Options{
		Self:    d.s.VM,
		Clock:   clock.Boot{},
		Roster:  d.roster,
		Store:   d.monitored,
		Claims:  d.newClaims(),
		Duties:  calls,
		Targets: d.registry,
		Config:  d.config,
	})
	if d.s.Duties.UsageWindow == 0 {
		return
	}
	d.usage = usage.New(usage.Options{
		Self:           usage.Source{VM: d.s.VM, Incarnation: d.incarnation},
		Period:         d.s.Duties.UsageWindow,
		ReportDeadline: d.s.Duties.UsageLate,
		Clock:          d.clock,
		Roster:         d.roster,
		Store:          d.monitored,
		Claims:         d.newClaims(),
		Duties:         calls,
	})
}

// newClaims returns a set of claims for use by one goroutine.
func (d *Daemon) newClaims() *claim.Claims {
	return claim.New(claim.Options{Self: d.s.VM, Store: d.monitored, Lease: d.s.Bounds.Lease, Clock: clock.Boot{}, Ages: d.claimAges})
}

func (d *Daemon) startDuties() {
	if d.usage != nil {
		d.usage.Start()
	}
	if d.scaler != nil {
		d.scaler.Start()
	}
}

func (d *Daemon) stopDuties() {
	if d.usage != nil {
		_ = d.usage.Stop()
	}
	if d.scaler != nil {
		_ = d.scaler.Stop()
	}
}

// countUsage counts a request of an organisation that was started the given
// time ago.
func (d *Daemon) countUsage(organisation string, ago time.Duration) {
	if d.usage != nil {
		d.usage.Add(organisation, ago)
	}
}

// receiveUsage merges the counts of another daemon.
func (d *Daemon) receiveUsage(data []byte) error {
	if d.usage == nil {
		return nil
	}
	return d.usage.Receive(data)
}
