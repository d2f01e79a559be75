package front

import (
	"slices"

	"github.com/pomelospool/pomelospool/process/roster"
)

// othersServe reports whether another daemon takes requests and isn't being stopped.
func (d *Daemon) othersServe() bool {
	return slices.ContainsFunc(d.roster.Members()[1:], func(m roster.Member) bool { return m.State == roster.Ready || m.State == roster.Unlinked })
}
