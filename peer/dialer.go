package peer

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
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

	mu      sync.Mutex
	conns   map[string]*link
	retired map[*link]bool // closed when their open calls have ended
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
	return &Dialer{opts: opts, conns: make(map[string]*link), retired: make(map[*link]bool)}
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
	l, err := d.link(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(l.conn), nil
}

func (d *Dialer) link(addr string) (*link, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.conns[addr]; ok {
		return l, nil
	}
	l := &link{}
	l.closeRetired = func() { d.closeRetired(l) }
	conn, err := grpc.NewClient("passthrough:///"+addr, append(d.opts[:len(d.opts):len(d.opts)], grpc.WithStatsHandler(l))...)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	l.conn = conn
	d.conns[addr] = l
	return l, nil
}

// Heartbeat sends one heartbeat. If it fails, the next call dials a new connection. A
// stalled connection would otherwise make a live peer look dead until TCP times out minutes
// later. Calls that are open on the old one go on: the peer may only be late. If it is dead,
// they end once the kernel or a ping finds that it acknowledges nothing.
func (d *Dialer) Heartbeat(ctx context.Context, addr string, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	l, err := d.link(addr)
	if err != nil {
		return nil, err
	}
	reply, err := peerpb.NewPeerClient(l.conn).Heartbeat(ctx, r)
	if err != nil {
		d.retire(addr, l)
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

// retire closes a connection once its open calls have ended.
func (d *Dialer) retire(addr string, l *link) {
	d.mu.Lock()
	if d.conns[addr] == l {
		delete(d.conns, addr)
		d.retired[l] = true
	}
	d.mu.Unlock()
	l.retired.Store(true)
	if l.open.Load() == 0 {
		d.closeRetired(l)
	}
}

func (d *Dialer) closeRetired(l *link) {
	d.mu.Lock()
	delete(d.retired, l)
	d.mu.Unlock()
	_ = l.conn.Close()
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	links := slices.AppendSeq(slices.Collect(maps.Values(d.conns)), maps.Keys(d.retired))
	clear(d.conns)
	clear(d.retired)
	d.mu.Unlock()
	for _, l := range links {
		_ = l.conn.Close()
	}
}

// link is a connection to a peer. It counts its open calls as a stats.Handler.
type link struct {
	conn         *grpc.ClientConn
	open         atomic.Int64
	retired      atomic.Bool
	closeRetired func() // called when a retired connection has no open call any more
}

// HandleRPC implements stats.Handler.
func (l *link) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch s.(type) {
	case *stats.Begin:
		l.open.Add(1)
	case *stats.End:
		if l.open.Add(-1) == 0 && l.retired.Load() {
			go l.closeRetired() // not within the call, which this would cancel
		}
	}
}

// TagRPC implements stats.Handler.
func (l *link) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (l *link) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (l *link) HandleConn(context.Context, stats.ConnStats) {}
