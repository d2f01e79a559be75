package daemon

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

func (d *Daemon) newOnceLog() *once.LogDeduplicator {
	return once.New(once.Options{
		Self:    d.self,
		Log:     d.platform.log,
		Members: d.onceMembers,
		Client:  d.dialer.Client,
		Window:  d.onceWindow,
		Rate:    d.s.Control.OnceAppendRate,
	})
}

// onceMembers returns the other daemons, for the at-most-once log.
func (d *Daemon) onceMembers() []once.Member {
	var out []once.Member
	for _, m := range d.members.View().Members {
		if m.Member.Incarnation == "" {
			continue
		}
		out = append(out, once.Member{
			Incarnation: m.Member.Incarnation,
			Addr:        m.Member.PeerAddr,
			Live:        m.Member.State != peerpb.Member_DEAD,
			Leaving:     m.Leaving,
		})
	}
	return out
}

// onceWindow returns how long the at-most-once keys of a service are kept.
func (d *Daemon) onceWindow(service string) time.Duration {
	snap := d.view.Load()
	if snap == nil || snap.Services[service] == nil {
		return once.DefaultWindow
	}
	return snap.Services[service].Doc.Once.Window
}

// toleratedPartCrashes is the number of targets that a part of prompts may crash
// before it is refused.
const toleratedPartCrashes = 2

// newCrashTracker returns the quarantine. A crash is reported to all live peers
// immediately, before the caller has its answer and can send the request again.
func (d *Daemon) newCrashTracker() *quarantine.PartTracker {
	broadcaster := &quarantine.Broadcaster{
		Self:   func() *peerpb.Member { return d.members.View().Self },
		Addrs:  d.livePeers,
		Client: d.dialer.Client,
	}
	var tracker *quarantine.PartTracker
	tracker = quarantine.NewPartTracker(quarantine.Options{
		Self: d.self,
		Broadcast: func(ctx context.Context, convictions []*peerpb.Conviction) {
			broadcaster.Broadcast(ctx, convictions, tracker.Incoming)
		},
	}, toleratedPartCrashes)
	return tracker
}

// livePeers returns the peer addresses of the other responsive daemons.
func (d *Daemon) livePeers() []string {
	var out []string
	for _, m := range d.members.View().Members {
		if m.Member.State == peerpb.Member_LIVE || m.Member.State == peerpb.Member_LEAVING {
			out = append(out, m.Member.PeerAddr)
		}
	}
	return out
}
