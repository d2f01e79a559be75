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

// fetchMost bounds the records of one answer to a peer.
const fetchMost = 512

// handleFetch gives control records to a peer that can't reach the log.
func (d *Daemon) handleFetch(_ context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	b, err := d.follower.Serve(r.From, min(int(r.Max), fetchMost))
	if err != nil {
		return nil, err
	}
	reply := &peerpb.FetchReply{Applied: b.Applied, Checkpoint: b.Checkpoint, Covers: b.Covers}
	for _, rec := range b.Records {
		reply.Records = append(reply.Records, &peerpb.LogRecord{Offset: rec.Offset, Data: rec.Data})
	}
	return reply, nil
}

// handleBurn answers with this daemon's burn report in JSON.
func (d *Daemon) handleBurn(context.Context, *peerpb.BurnRequest) (*peerpb.BurnReply, error) {
	data, err := json.Marshal(d.burn.Report())
	return &peerpb.BurnReply{Report: data}, err
}

// peerRecords fetches control records from peers.
type peerRecords struct{ d *Daemon }

// Fetch asks one live peer, at random, so that a bad one isn't asked for ever.
func (p *peerRecords) Fetch(ctx context.Context, from int64) (follow.Batch, error) {
	var live []membership.MemberView
	for _, s := range p.d.members.View().Members {
		if s.Member.State == peerpb.Member_LIVE {
			live = append(live, s)
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
	reply, err := c.Fetch(ctx, &peerpb.FetchRequest{From: from, Max: fetchMost})
	if err != nil {
		return follow.Batch{}, fmt.Errorf("fetch records from %s: %w", addr, err)
	}
	b := follow.Batch{Applied: reply.Applied, Checkpoint: reply.Checkpoint, Covers: reply.Covers}
	for _, r := range reply.Records {
		b.Records = append(b.Records, port.Record{Offset: r.Offset, Data: r.Data})
	}
	return b, nil
}

// leaseView shows membership to the lease manager.
type leaseView struct{ d *Daemon }

// Gone reports whether the incarnation can be taken over from. One that was
// never heard of counts as gone only after this process has been up for long
// enough to hear of all that live: after a restart of every VM at once nobody
// ever hears of the old holders.
func (v *leaseView) Gone(incarnation string) bool {
	vm, _, _ := strings.Cut(incarnation, "/")
	switch v.d.members.View().Liveness(vm, incarnation) {
	case membership.Alive:
		return false
	case membership.Gone:
		return true
	default:
		return v.d.members.Uptime() > unheardFactor*v.d.s.Control.DeadAfter
	}
}

// unheardFactor times DeadAfter is how long a process listens before it holds
// an incarnation that it never heard of for gone.
const unheardFactor = 2

// Rank gives this process's place among the candidates for a group.
func (v *leaseView) Rank(group string) (int, bool) {
	view := v.d.members.View()
	if view.Self.State != peerpb.Member_LIVE {
		return 0, false
	}
	live := []lease.Candidate{{ID: view.Self.Id, Zone: view.Self.Zone}}
	for _, s := range view.Members {
		if s.Usable() {
			live = append(live, lease.Candidate{ID: s.Member.Id, Zone: s.Member.Zone})
		}
	}
	return lease.Rank(group, zoneOfGroup(group), view.Self.Id, live)
}

// zoneOfGroup returns the availability zone in a group's name, which is
// service/zone/number.
func zoneOfGroup(group string) string {
	parts := strings.Split(group, "/")
	if len(parts) < groupParts {
		return ""
	}
	return parts[len(parts)-2]
}

const groupParts = 3

// addresses are the daemons that callers may use, this one included.
func (d *Daemon) addresses() []address.Member {
	view := d.members.View()
	out := []address.Member{{
		Addr:    d.s.Listen.Callers,
		Zone:    d.s.Zone,
		Leaving: d.phase() >= phaseLeaving,
	}}
	for _, s := range view.Members {
		if s.Member.State == peerpb.Member_DEAD || s.Member.CallerAddr == "" {
			continue
		}
		out = append(out, address.Member{
			Addr:    s.Member.CallerAddr,
			Zone:    s.Member.Zone,
			Leaving: s.Leaving || s.Member.State == peerpb.Member_SUSPECT,
		})
	}
	return out
}
