package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	maxMessage   = 16 << 20 // bytes; a checkpoint of the control state fits
	idleConn     = 5 * time.Minute
	minPing      = 2 * time.Second
	pingAfter    = 10 * time.Second // silence on a connection with calls
	pingTimeout  = time.Second
	maxReconnect = 2 * time.Second
)

// Dialer keeps one connection to each peer. It is safe for concurrent use.
type Dialer struct {
	opts []grpc.DialOption

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// DialerOptions change how a Dialer connects. The zero value means plain TCP.
type DialerOptions struct {
	Creds credentials.TransportCredentials
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
	reconnect.MaxDelay = maxReconnect
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: time.Second}),
		// A connection that something between the ends forgot stays open and
		// silent; the ping closes it, and the next call dials a new one.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.WithIdleTimeout(idleConn),
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

// windowSize of each connection and stream in bytes. A fixed one keeps grpc
// from measuring the path with pings, which cost more than the heartbeats.
const windowSize = 1 << 20

// bufferSize of each connection in bytes; messages are a few hundred bytes,
// and at 360 peers the default of 32 KiB twice would take 23 MB.
const bufferSize = 4 << 10

// Client returns the protocol's client for the peer at addr (host:port).
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

// Heartbeat sends one heartbeat. When it times out, the connection is
// replaced: a silent connection would otherwise make a live peer look dead
// until TCP gives up on it, minutes later.
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

// Drop closes the connection to addr; the next call dials anew.
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
