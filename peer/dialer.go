package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	maxMessageBytes   = 16 << 20 // large enough for a checkpoint of the control state
	idleTimeout       = 5 * time.Minute
	minPingInterval   = 2 * time.Second
	pingInterval      = 10 * time.Second // silence after which a connection with open calls is pinged
	pingTimeout       = time.Second
	maxReconnectDelay = 2 * time.Second
)

// Dialer maintains one gRPC connection per peer. It is safe for concurrent use.
type Dialer struct {
	opts []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// DialerOptions configures a Dialer. The zero value selects TCP without TLS.
type DialerOptions struct {
	Creds credentials.TransportCredentials                         // nil for no TLS
	Dial  func(ctx context.Context, addr string) (net.Conn, error) // nil for TCP
}

// NewDialer returns a Dialer without connections.
func NewDialer(o DialerOptions) *Dialer {
	creds := o.Creds
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	reconnect := backoff.DefaultConfig
	reconnect.BaseDelay = 100 * time.Millisecond
	reconnect.MaxDelay = maxReconnectDelay
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: time.Second}),
		// A connection whose state a network device has dropped stays open
		// without traffic. A failed ping closes it, and the next call dials a
		// new one.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithInitialWindowSize(windowSize),
		grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
	}
	if o.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(o.Dial))
	}
	return &Dialer{opts: opts, conns: make(map[string]*grpc.ClientConn)}
}

// windowSize is the flow control window of each connection and stream in bytes. A
// fixed window disables gRPC's bandwidth estimation, whose pings cost more than
// the heartbeats.
const windowSize = 1 << 20

// bufferSize is the size of the read buffer and of the write buffer of each
// connection in bytes. Messages take a few hundred bytes. With 360 peers, two
// buffers of the default 32 KiB per connection would take 23 MB.
const bufferSize = 4 << 10

// Client returns a gRPC client for the peer at addr (host:port).
func (d *Dialer) Client(addr string) (peerpb.PeerClient, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.conns[addr]; ok {
		return peerpb.NewPeerClient(c), nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr, d.opts...)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	d.conns[addr] = c
	return peerpb.NewPeerClient(c), nil
}

// Heartbeat sends one heartbeat. If it fails, the connection is dropped. A stalled
// connection would otherwise make a live peer look dead until TCP times out
// minutes later.
func (d *Dialer) Heartbeat(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	c, err := d.Client(addr)
	if err != nil {
		return nil, err
	}
	reply, err := c.Heartbeat(ctx, r)
	if err != nil {
		d.Drop(addr)
		return nil, fmt.Errorf("heartbeat to %s: %w", addr, err)
	}
	return reply, nil
}

// Forward sends a caller's request to the peer at addr. unsent reports of an
// error that the peer can't have received the request.
func (d *Dialer) Forward(ctx context.Context, addr string, r *peerpb.ForwardRequest) (stream grpc.ServerStreamingClient[peerpb.ForwardReply], first *peerpb.ForwardReply, unsent bool, err error) {
	c, err := d.Client(addr)
	if err != nil {
		return nil, nil, true, err
	}
	if stream, err = c.Forward(ctx, r); err == nil {
		first, err = stream.Recv()
	}
	if err != nil {
		s := status.Code(err)
		return nil, nil, s == codes.Unimplemented, fmt.Errorf("forward to %s: %w", addr, err)
	}
	return stream, first, false, nil
}

// Drop closes the connection to addr. The next call dials a new one.
func (d *Dialer) Drop(addr string) {
	d.mu.Lock()
	c := d.conns[addr]
	delete(d.conns, addr)
	d.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	conns := d.conns
	d.conns = make(map[string]*grpc.ClientConn)
	d.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
