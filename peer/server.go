// Package peer carries the calls between daemons over grpc. It holds no
// state of its own: each call goes to the part of the process that answers it.
package peer

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// Handlers are the parts that answer peers. A nil one makes its call fail
// with codes.Unimplemented.
type Handlers struct {
	Heartbeat func(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	Fetch     func(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error)
	Propose   func(context.Context, *peerpb.ProposeRequest) (*peerpb.ProposeReply, error)
	Lookup    func(context.Context, *peerpb.LookupRequest) (*peerpb.LookupReply, error)
	Burn      func(context.Context, *peerpb.BurnRequest) (*peerpb.BurnReply, error)
}

// Server answers peers. Make it with NewServer.
type Server struct {
	peerpb.UnimplementedPeerServer
	h    Handlers
	grpc *grpc.Server
}

// NewServer returns a server; creds may be nil for plain TCP.
func NewServer(h Handlers, creds credentials.TransportCredentials) *Server {
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleConn}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing, PermitWithoutStream: true}),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
	}
	if creds != nil {
		opts = append(opts, grpc.Creds(creds))
	}
	s := &Server{h: h, grpc: grpc.NewServer(opts...)}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve answers on l until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop closes all connections at once.
func (s *Server) Stop() { s.grpc.Stop() }

// Heartbeat implements peerpb.PeerServer.
func (s *Server) Heartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return answer(ctx, s.h.Heartbeat, r, s.UnimplementedPeerServer.Heartbeat)
}

// Fetch implements peerpb.PeerServer.
func (s *Server) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return answer(ctx, s.h.Fetch, r, s.UnimplementedPeerServer.Fetch)
}

// Propose implements peerpb.PeerServer.
func (s *Server) Propose(ctx context.Context, r *peerpb.ProposeRequest) (*peerpb.ProposeReply, error) {
	return answer(ctx, s.h.Propose, r, s.UnimplementedPeerServer.Propose)
}

// Lookup implements peerpb.PeerServer.
func (s *Server) Lookup(ctx context.Context, r *peerpb.LookupRequest) (*peerpb.LookupReply, error) {
	return answer(ctx, s.h.Lookup, r, s.UnimplementedPeerServer.Lookup)
}

// Burn implements peerpb.PeerServer.
func (s *Server) Burn(ctx context.Context, r *peerpb.BurnRequest) (*peerpb.BurnReply, error) {
	return answer(ctx, s.h.Burn, r, s.UnimplementedPeerServer.Burn)
}

// answer calls h, or missing when there is no handler.
func answer[Q, P any](ctx context.Context, h func(context.Context, Q) (P, error), r Q, missing func(context.Context, Q) (P, error)) (P, error) {
	if h == nil {
		return missing(ctx, r)
	}
	p, err := h(ctx, r)
	if err != nil {
		return p, status.FromContextError(err).Err()
	}
	return p, nil
}
