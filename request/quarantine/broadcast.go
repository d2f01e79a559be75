package quarantine

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// maxConcurrentCalls limits the peers that one broadcast calls at the same time.
const maxConcurrentCalls = 64

// Broadcaster sends updates to the peers of this process.
type Broadcaster struct {
	Self   func() *peerpb.Member                        // member entry of this process, as sent in heartbeats
	Addrs  func() []string                              // peer addresses of the live members, excluding this process
	Client func(addr string) (peerpb.PeerClient, error) // connects to a peer, as peer.Dialer.Client does
}

// Broadcast sends updates to every live peer in a heartbeat and passes the
// updates in the replies to incoming. It returns when all peers have replied or
// ctx ends. It is meant for Options.Broadcast. A peer that does not reply is
// ignored here; membership decides whether it is alive.
func (b *Broadcaster) Broadcast(ctx context.Context, updates []*peerpb.Conviction, incoming func([]*peerpb.Conviction)) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, addr := range b.Addrs() {
		g.Go(func() error {
			if reply := b.sendHeartbeat(ctx, addr, updates); reply != nil {
				incoming(reply.Convictions)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (b *Broadcaster) sendHeartbeat(ctx context.Context, addr string, updates []*peerpb.Conviction) *peerpb.HeartbeatReply {
	client, err := b.Client(addr)
	if err != nil {
		return nil
	}
	reply, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{From: b.Self(), Convictions: updates})
	if err != nil {
		counts.Add("broadcast_failed", 1)
		return nil
	}
	return reply
}
