package quarantine

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// maxCalls bounds the peers that one broadcast calls at the same time.
const maxCalls = 64

// Fleet reaches the peers of this process.
type Fleet struct {
	Self   func() *peerpb.Member                        // as on heartbeats
	Addrs  func() []string                              // peer addresses of the live members, without self
	Client func(addr string) (peerpb.PeerClient, error) // peer.Dialer.Client
}

// Broadcast sends news to every live peer as a heartbeat, and hands the news
// in the replies to incoming. It returns when all have answered or ctx ends.
// It is meant for Options.Broadcast; a peer that doesn't answer is left to the
// membership to judge.
func (f *Fleet) Broadcast(ctx context.Context, news []*peerpb.Conviction, incoming func([]*peerpb.Conviction)) {
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for _, addr := range f.Addrs() {
		g.Go(func() error {
			if reply := f.tell(ctx, addr, news); reply != nil {
				incoming(reply.Convictions)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (f *Fleet) tell(ctx context.Context, addr string, news []*peerpb.Conviction) *peerpb.HeartbeatReply {
	client, err := f.Client(addr)
	if err != nil {
		return nil
	}
	reply, err := client.Heartbeat(ctx, &peerpb.HeartbeatRequest{From: f.Self(), Convictions: news})
	if err != nil {
		counts.Add("broadcast_failed", 1)
		return nil
	}
	return reply
}
