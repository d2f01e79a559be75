package membership

import (
	"context"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
)

// readList reads the VM list outside of the loop goroutine, at most once per ListPeriod.
func (m *Membership) readList(now time.Duration) {
	if m.o.VMs == nil || m.listing || now-m.lastList < m.o.ListPeriod {
		return
	}
	m.lastList = now
	m.listing = true
	m.tomb.Go(func() error {
		ctx, cancel := context.WithTimeout(m.tomb.Context(context.Background()), 2*m.o.ListPeriod)
		defer cancel()
		vms, err := m.o.VMs.List(ctx)
		m.post(func() {
			m.listing = false
			if err != nil {
				return
			}
			m.table.applyList(m.o.Now(), m.withoutTargets(vms), m.o.PeerAddr)
			leaving := slices.DeleteFunc(slices.Clone(vms), func(v port.VM) bool { return !v.Leaving })
			m.leaving.Store(&leaving)
		})
		return nil
	})
}

// withoutTargets removes the VMs of targets. They never answer heartbeats, and with
// hundreds of them, daemons that all start at once would take minutes to find each other.
func (m *Membership) withoutTargets(vms []port.VM) []port.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(v port.VM) bool { return m.o.IsTarget(v.Addr) })
}

// applyList merges the VM list. A new VM becomes a member that has yet to respond. A
// member that is no longer listed is removed once it is dead. The list lags behind, so it
// never removes a member that responds.
func (t *table) applyList(now time.Duration, vms []port.VM, addr func(port.VM) string) {
	listed := make(map[string]port.VM, len(vms))
	for _, v := range vms {
		listed[v.ID] = v
		if v.ID == t.self.Id {
			continue
		}
		if _, ok := t.members[v.ID]; !ok {
			t.members[v.ID] = &tableEntry{since: now, member: &peerpb.Member{
				Id: v.ID, PeerAddr: addr(v), Zone: v.Zone, State: peerpb.Member_SUSPECT,
			}}
		}
	}
	for id, e := range t.members {
		v, ok := listed[id]
		e.listed = ok
		e.leaving = ok && v.Leaving
	}
}
