// Package peer implements the gRPC client and server for calls between daemons.
// The server is stateless: it passes each call to the handler of a component.
package peer

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// Handlers holds the handlers of the calls from peers. A call with a nil handler
// fails with codes.Unimplemented.
type Handlers struct {
	Heartbeat func(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error)
	Fetch     func(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error)
	Propose   func(context.Context, *peerpb.ProposeRequest) (*peerpb.ProposeReply, error)
	Lookup    func(context.Context, *peerpb.LookupRequest) (*peerpb.LookupReply, error)
	Burn      func(context.Context, *peerpb.BurnRequest) (*peerpb.BurnReply, error)
	Forward   func(context.Context, *peerpb.ForwardRequest, func(*peerpb.ForwardReply) error) error
}

// Server serves the calls from peers. Use NewServer to create one.
type Server struct {
	peerpb.UnimplementedPeerServer
	handlers Handlers
	traffic  *traffic
	grpc     *grpc.Server
}

// ServerOptions configures a Server. The zero value selects TCP without TLS and without
// limits.
type ServerOptions struct {
	Creds    credentials.TransportCredentials // nil for no TLS
	Memory   *quota.Memory                    // is charged for connections and calls; may be nil
	MaxConns int                              // connections beyond it are closed; 0: no limit
}

// maxStreams is the number of calls that a connection may have open. A peer with more
// calls waits.
const maxStreams = 1 << 10

// NewServer returns a server.
func NewServer(h Handlers, o ServerOptions) *Server {
	traffic := newTraffic(o)
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderList),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.StatsHandler(traffic),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.ReadBufferSize(bufferSize),
		grpc.WriteBufferSize(bufferSize),
	}
	if o.Creds != nil {
		opts = append(opts, grpc.Creds(o.Creds))
	}
	s := &Server{handlers: h, traffic: traffic, grpc: grpc.NewServer(opts...)}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts connections on l until Stop is called.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(s.traffic.listen(l)) }

// Shutdown refuses new calls, so that callers know that they weren't run, and waits for
// the open ones. Calls that are open at the end of ctx are cut.
func (s *Server) Shutdown(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.grpc.Stop)
	defer stop()
	s.grpc.GracefulStop()
}

// Stop closes all connections immediately.
func (s *Server) Stop() { s.grpc.Stop() }

// Heartbeat implements peerpb.PeerServer.
func (s *Server) Heartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	return handle(ctx, s.handlers.Heartbeat, r, s.UnimplementedPeerServer.Heartbeat)
}

// Fetch implements peerpb.PeerServer.
func (s *Server) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return handle(ctx, s.handlers.Fetch, r, s.UnimplementedPeerServer.Fetch)
}

// Propose implements peerpb.PeerServer.
func (s *Server) Propose(ctx context.Context, r *peerpb.ProposeRequest) (*peerpb.ProposeReply, error) {
	return handle(ctx, s.handlers.Propose, r, s.UnimplementedPeerServer.Propose)
}

// Lookup implements peerpb.PeerServer.
func (s *Server) Lookup(ctx context.Context, r *peerpb.LookupRequest) (*peerpb.LookupReply, error) {
	return handle(ctx, s.handlers.Lookup, r, s.UnimplementedPeerServer.Lookup)
}

// Burn implements peerpb.PeerServer.
func (s *Server) Burn(ctx context.Context, r *peerpb.BurnRequest) (*peerpb.BurnReply, error) {
	return handle(ctx, s.handlers.Burn, r, s.UnimplementedPeerServer.Burn)
}

// Forward implements peerpb.PeerServer.
func (s *Server) Forward(r *peerpb.ForwardRequest, stream grpc.ServerStreamingServer[peerpb.ForwardReply]) error {
	if s.handlers.Forward == nil {
		return s.UnimplementedPeerServer.Forward(r, stream)
	}
	if err := s.handlers.Forward(stream.Context(), r, stream.Send); err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	return nil
}

// handle calls h, or unimplemented if h is nil. It converts context errors to
// gRPC statuses.
func handle[Q, P any](ctx context.Context, h func(context.Context, Q) (P, error), r Q, unimplemented func(context.Context, Q) (P, error)) (P, error) {
	if h == nil {
		return unimplemented(ctx, r)
	}
	p, err := h(ctx, r)
	if err != nil {
		return p, status.FromContextError(err).Err()
	}
	return p, nil
}
