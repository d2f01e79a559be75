package front

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/process/roster"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

// toleratedCrashes is the number of targets that content may crash before it is
// refused. Requests beside it are in flight at one or two of these crashes, and
// should be retried.
const toleratedCrashes = 2

// notifyPeers requests a heartbeat soon.
func (d *Daemon) notifyPeers() { d.roster.Notify() }

// maxTargetAddrs bounds the targets of each service that targetAddrs returns.
const maxTargetAddrs = 16

// targetAddrs returns addresses of some targets of each service.
func (d *Daemon) targetAddrs() (addrs []string) {
	for _, set := range d.registry.Snapshot().Targets {
		for _, e := range set.All().After(rand.Uint64(), maxTargetAddrs) {
			if !e.Leaving {
				addrs = append(addrs, e.Addr)
			}
		}
	}
	return addrs
}

// triesContent reports whether this daemon runs released content first. All
// daemons that know the same members agree on one of them.
func (d *Daemon) triesContent(fp quarantine.Fingerprint) bool {
	all := d.roster.Members()
	own := rank(fp, all[0].VM)
	for _, m := range all[1:] {
		if m.State == roster.Ready && rank(fp, m.VM) > own {
			return false
		}
	}
	return true
}

func rank(fp quarantine.Fingerprint, vm string) uint64 {
	return xxhash.Sum64String(string(fp[:]) + vm)
}
