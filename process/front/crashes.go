package front

import (
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
