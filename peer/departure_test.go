package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/presence"
	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// gatedListener accepts connections from which nothing is read while its gate is closed, as
// in a process that stands still.
type gatedListener struct {
	net.Listener
	gate *sync.RWMutex
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return gatedConn{c, l.gate}, err
}

type gatedConn struct {
	net.Conn
	gate *sync.RWMutex
}

func (c gatedConn) NetConn() net.Conn { return c.Conn }

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.RLock()
	defer c.gate.RUnlock()
	return n, err
}

// Guards against forwarded requests that run though the daemon that forwarded them cancelled
// them before this one read on.
func TestCancelledCallIsNotTakenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var gate sync.RWMutex
	var taken, live atomic.Int32
	s := NewServer(Handlers{Forward: func(ctx context.Context, _ *peerpb.ForwardRequest, send func(*peerpb.ForwardReply) error) error {
		if taken.Add(1) == 1 {
			return send(&peerpb.ForwardReply{Status: 200})
		}
		if presence.Err(ctx) == nil {
			live.Add(1)
		}
		<-ctx.Done()
		return ctx.Err()
	}}, ServerOptions{})
	go func() { _ = s.Serve(gatedListener{l, &gate}) }()
	defer s.Stop()
	d := NewDialer(DialerOptions{})
	defer d.Close()
	request := &peerpb.ForwardRequest{From: "vm-1", Method: "GET", Uri: "/"}
	if _, _, _, err := d.Forward(t.Context(), l.Addr().String(), request); err != nil {
		t.Fatal(err)
	}
	const rounds, segmentTime = 30, 5 * time.Millisecond
	for range rounds {
		gate.Lock()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _, _, _ = d.Forward(ctx, l.Addr().String(), request)
		}()
		<-time.After(segmentTime)
		cancel()
		<-ended
		<-time.After(segmentTime)
		gate.Unlock()
		<-time.After(segmentTime)
	}
	if n := live.Load(); n > 0 {
		t.Errorf("%d of %d cancelled calls were taken up", n, taken.Load()-1)
	}
}
