package daemon

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

func (d *Daemon) newOnceKeeper() *once.LogDeduplicator {
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

// newCrashTracker returns the quarantine. News of a crash goes to all live
// peers at once, before the caller has its answer and can send it again.
func (d *Daemon) newCrashTracker() *quarantine.CrashTracker {
	fleet := &quarantine.Broadcaster{
		Self:   func() *peerpb.Member { return d.members.View().Self },
		Addrs:  d.livePeers,
		Client: d.dialer.Client,
	}
	var book *quarantine.CrashTracker
	book = quarantine.New(quarantine.Options{
		Self: d.self,
		Broadcast: func(ctx context.Context, news []*peerpb.Conviction) {
			fleet.Broadcast(ctx, news, book.Incoming)
		},
	})
	return book
}

// livePeers are the peer addresses of the other daemons that answer.
func (d *Daemon) livePeers() []string {
	var out []string
	for _, s := range d.members.View().Members {
		if s.Member.State == peerpb.Member_LIVE || s.Member.State == peerpb.Member_LEAVING {
			out = append(out, s.Member.PeerAddr)
		}
	}
	return out
}
