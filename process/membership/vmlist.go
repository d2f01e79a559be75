package membership

import (
	"context"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
)

// readList asks for the VM list off the loop, at most once a ListPeriod.
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
			m.table.applyList(m.o.Now(), m.daemons(vms), m.o.PeerAddr)
			leaving := slices.DeleteFunc(slices.Clone(vms), func(v port.VM) bool { return !v.Leaving })
			m.leaving.Store(&leaving)
		})
		return nil
	})
}

// daemons leaves out the VMs of targets. They never answer heartbeats: among
// hundreds of them, daemons that all start at once would take minutes to find
// each other.
func (m *Membership) daemons(vms []port.VM) []port.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(v port.VM) bool { return m.o.IsTarget(v.Addr) })
}

// applyList takes the VM list in. A VM that is new here becomes a member that
// still has to answer; one that left the list is forgotten once it is dead.
// The list lags, so it never ends a member that answers.
func (t *table) applyList(now time.Duration, vms []port.VM, addr func(port.VM) string) {
	listed := make(map[string]port.VM, len(vms))
	for _, v := range vms {
		listed[v.ID] = v
		if v.ID == t.self.Id {
			continue
		}
		if _, ok := t.members[v.ID]; !ok {
			t.members[v.ID] = &entry{since: now, m: &peerpb.Member{
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
