package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/address"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/follow"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/process/membership"
)

// maxFetchRecords bounds the records of one reply to a peer.
const maxFetchRecords = 512

// handleFetch sends control records to a peer that can't reach the log.
func (d *Daemon) handleFetch(_ context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	b, err := d.follower.Serve(r.From, min(int(r.Max), maxFetchRecords))
	if err != nil {
		return nil, err
	}
	reply := &peerpb.FetchReply{Applied: b.Applied, Checkpoint: b.Checkpoint, Covers: b.Covers}
	for _, rec := range b.Records {
		reply.Records = append(reply.Records, &peerpb.LogRecord{Offset: rec.Offset, Data: rec.Data})
	}
	return reply, nil
}

// handleBurn returns this daemon's burn report in JSON.
func (d *Daemon) handleBurn(context.Context, *peerpb.BurnRequest) (*peerpb.BurnReply, error) {
	data, err := json.Marshal(d.burn.Report())
	return &peerpb.BurnReply{Report: data}, err
}

// peerRecords fetches control records from peers.
type peerRecords struct{ d *Daemon }

// Fetch queries one live peer, chosen at random so that a faulty one isn't
// queried forever.
func (p *peerRecords) Fetch(ctx context.Context, from int64) (follow.Batch, error) {
	var live []membership.MemberView
	for _, m := range p.d.members.View().Members {
		if m.Member.State == peerpb.Member_LIVE {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return follow.Batch{}, code.New(code.PeerUnreachable, "no live peer to fetch records from")
	}
	addr := live[rand.IntN(len(live))].Member.PeerAddr
	c, err := p.d.dialer.Client(addr)
	if err != nil {
		return follow.Batch{}, err
	}
	reply, err := c.Fetch(ctx, &peerpb.FetchRequest{From: from, Max: maxFetchRecords})
	if err != nil {
		return follow.Batch{}, fmt.Errorf("fetch records from %s: %w", addr, err)
	}
	b := follow.Batch{Applied: reply.Applied, Checkpoint: reply.Checkpoint, Covers: reply.Covers}
	for _, r := range reply.Records {
		b.Records = append(b.Records, port.Record{Offset: r.Offset, Data: r.Data})
	}
	return b, nil
}

// leaseView gives the lease manager access to membership.
type leaseView struct{ d *Daemon }

// Gone reports whether the leases of the incarnation may be taken over. An
// incarnation from which nothing was received counts as gone only once this
// process has run for long enough to receive heartbeats from all live daemons.
// After a restart of all VMs at once, no daemon ever receives anything from the
// old holders.
func (v *leaseView) Gone(incarnation string) bool {
	vm, _, _ := strings.Cut(incarnation, "/")
	switch v.d.members.View().Liveness(vm, incarnation) {
	case membership.Alive:
		return false
	case membership.Gone:
		return true
	default:
		return v.d.members.Uptime() > unknownHolderFactor*v.d.s.Control.DeadAfter
	}
}

// unknownHolderFactor times DeadAfter is the uptime from which a process takes
// an incarnation to be gone from which nothing was received.
const unknownHolderFactor = 2

// Rank returns this process's rank among the candidates for a group.
func (v *leaseView) Rank(group string) (int, bool) {
	view := v.d.members.View()
	if view.Self.State != peerpb.Member_LIVE {
		return 0, false
	}
	live := []lease.Candidate{{ID: view.Self.Id, Zone: view.Self.Zone}}
	for _, m := range view.Members {
		if m.Usable() {
			live = append(live, lease.Candidate{ID: m.Member.Id, Zone: m.Member.Zone})
		}
	}
	return lease.Rank(group, zoneOfGroup(group), view.Self.Id, live)
}

// zoneOfGroup returns the availability zone in a group's name, which has the
// form service/zone/number.
func zoneOfGroup(group string) string {
	parts := strings.Split(group, "/")
	if len(parts) < groupParts {
		return ""
	}
	return parts[len(parts)-2]
}

const groupParts = 3

// addresses returns the daemons that callers may use, including this one.
func (d *Daemon) addresses() []address.Member {
	view := d.members.View()
	out := []address.Member{{
		Addr:    d.s.Listen.Callers,
		Zone:    d.s.Zone,
		Leaving: d.phase() >= phaseLeaving,
	}}
	for _, m := range view.Members {
		if m.Member.State == peerpb.Member_DEAD || m.Member.CallerAddr == "" {
			continue
		}
		out = append(out, address.Member{
			Addr:    m.Member.CallerAddr,
			Zone:    m.Member.Zone,
			Leaving: m.Leaving || m.Member.State == peerpb.Member_SUSPECT,
		})
	}
	return out
}
