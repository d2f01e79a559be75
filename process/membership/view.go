package membership

import (
	"sort"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
)

// View is an immutable snapshot of the members, ordered by id.
type View struct {
	Self        *peerpb.Member
	Members     []MemberView
	LastContact time.Duration // local time of the last message from any peer
	LastRound   time.Duration // local time of the last round
	ResumedAt   time.Duration // local time of the first round after the last pause of this process, 0 before the first pause
}

// MemberView is the state of one other member.
type MemberView struct {
	Member  *peerpb.Member
	Leaving bool // according to its own report or the VM list
	Listed  bool // contained in the VM list
}

// Usable reports whether the member is live and not leaving.
func (m MemberView) Usable() bool { return m.Member.State == peerpb.Member_LIVE && !m.Leaving }

// View returns the current snapshot.
func (m *Membership) View() *View { return m.view.Load() }

// publish stores a new snapshot.
func (m *Membership) publish() {
	v := &View{Self: cloneMember(m.table.self), LastContact: m.contact.last, LastRound: m.lastTick, ResumedAt: m.resumed}
	for _, e := range m.table.members {
		v.Members = append(v.Members, MemberView{
			Member:  cloneMember(e.member),
			Leaving: e.leaving || e.member.State == peerpb.Member_LEAVING,
			Listed:  e.listed,
		})
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].Member.Id < v.Members[j].Member.Id })
	m.view.Store(v)
}

// Liveness states whether an incarnation may still act.
type Liveness int

const (
	Unknown Liveness = iota // nothing is known about it
	Alive                   // live, suspect or leaving: it may still act
	Gone                    // dead, or its VM runs a later incarnation
)

// Liveness returns whether an incarnation of the VM with the given id may still act.
func (v *View) Liveness(vm, incarnation string) Liveness {
	if v.Self.Id == vm {
		if v.Self.Incarnation == incarnation {
			return Alive
		}
		return Gone
	}
	for _, m := range v.Members {
		if m.Member.Id != vm || m.Member.StartedMs == 0 {
			continue
		}
		if m.Member.Incarnation == incarnation && m.Member.State != peerpb.Member_DEAD {
			return Alive
		}
		return Gone
	}
	return Unknown
}

// Rank returns the rank of this process among the usable members, by id, and their number.
// A process that is leaving ranks last.
func (v *View) Rank() (rank, of int) {
	of = 1
	for _, m := range v.Members {
		if !m.Usable() {
			continue
		}
		of++
		if m.Member.Id < v.Self.Id {
			rank++
		}
	}
	if v.Self.State != peerpb.Member_LIVE {
		rank = of - 1
	}
	return rank, of
}

// Reachable returns the numbers of live and of known members, without self.
func (v *View) Reachable() (live, known int) {
	for _, m := range v.Members {
		if m.Member.StartedMs == 0 || !m.Listed && m.Member.State == peerpb.Member_DEAD {
			continue
		}
		known++
		if m.Member.State == peerpb.Member_LIVE || m.Member.State == peerpb.Member_LEAVING {
			live++
		}
	}
	return live, known
}

// LeavingVMs returns the VMs of any kind that the current VM list marks as leaving,
// including the VMs of targets.
func (m *Membership) LeavingVMs() []port.VM {
	if p := m.leaving.Load(); p != nil {
		return *p
	}
	return nil
}

// Uptime returns the time since this Membership was created.
func (m *Membership) Uptime() time.Duration { return m.o.Now() - m.started }
