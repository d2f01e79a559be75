package daemon

import (
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

func (d *Daemon) newOnceKeeper() *once.Log {
	return once.New(once.Options{
		Self:    d.self,
		Log:     d.platform.log,
		Members: d.onceMembers,
		Client:  d.dialer.Client,
		Window:  d.onceWindow,
		Rate:    d.s.Control.OnceAppends,
	})
}

// onceMembers shows the other daemons to the at-most-once keeper.
func (d *Daemon) onceMembers() []once.Member {
	var out []once.Member
	for _, s := range d.members.View().Members {
		if s.Member.Incarnation == "" {
			continue
		}
		out = append(out, once.Member{
			Incarnation: s.Member.Incarnation,
			Addr:        s.Member.PeerAddr,
			Live:        s.Member.State != peerpb.Member_DEAD,
			Leaving:     s.Leaving,
		})
	}
	return out
}

// onceWindow returns how long a service's keys are remembered.
func (d *Daemon) onceWindow(service string) time.Duration {
	snap := d.view.Load()
	if snap == nil || snap.Services[service] == nil {
		return once.DefaultWindow
	}
	return snap.Services[service].Doc.Once.Window
}

// Until the quarantine is wired, no content is under suspicion.

type noCrashes struct{}

func (d *Daemon) newCrashTracker() crashTracker { return noCrashes{} }

func (noCrashes) Check(uint64) (quarantine.Standing, time.Duration) { return quarantine.Clear, 0 }
func (noCrashes) Begin(uint64, string)                              {}
func (noCrashes) End(uint64, string)                                {}
func (noCrashes) Crashed(string)                                    {}
func (noCrashes) Outgoing() []*peerpb.Conviction                    { return nil }
func (noCrashes) Incoming([]*peerpb.Conviction)                     {}
