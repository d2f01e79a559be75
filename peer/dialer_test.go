package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// blockedServer is a server whose calls are answered once finish is closed.
type blockedServer struct {
	t       *testing.T
	s       *Server
	addr    string
	running chan struct{} // receives when a forwarded request has arrived
	finish  chan struct{}
}

// startBlocked starts a blockedServer. wrap changes its listener; nil doesn't.
func startBlocked(t *testing.T, wrap func(net.Listener) net.Listener) *blockedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &blockedServer{t: t, addr: l.Addr().String(), running: make(chan struct{}, 1), finish: make(chan struct{})}
	wait := func(ctx context.Context) error {
		select {
		case <-b.finish:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	b.s = NewServer(Handlers{
		Heartbeat: func(ctx context.Context, _ *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
			return &peerpb.HeartbeatReply{}, wait(ctx)
		},
		Forward: func(ctx context.Context, _ *peerpb.ForwardRequest, send func(*peerpb.ForwardReply) error) error {
			b.running <- struct{}{}
			if err := wait(ctx); err != nil {
				return err
			}
			return send(&peerpb.ForwardReply{Status: 200})
		},
	}, ServerOptions{})
	if wrap != nil {
		l = wrap(l)
	}
	go func() { _ = b.s.Serve(l) }()
	t.Cleanup(b.s.Stop)
	return b
}

// forward forwards a request and returns once it runs. The channel receives how the call
// ends.
func (b *blockedServer) forward(d *Dialer) <-chan error {
	answered := make(chan error, 1)
	go func() {
		stream, _, _, err := d.Forward(b.t.Context(), b.addr, &peerpb.ForwardRequest{})
		if err == nil {
			if _, err = stream.Recv(); errors.Is(err, io.EOF) {
				err = nil
			}
		}
		answered <- err
	}()
	<-b.running
	return answered
}

// Guards against forwarded requests that are cut since one heartbeat of their daemon is
// late, and against connections that stay open after that.
func TestLateHeartbeatCutsNoOpenCall(t *testing.T) {
	f := startBlocked(t, nil)
	d := NewDialer(DialerOptions{})
	defer d.Close()
	answered := f.forward(d)
	late, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := d.Heartbeat(late, f.addr, &peerpb.HeartbeatRequest{}); err == nil {
		t.Fatal("the heartbeat isn't late")
	}
	close(f.finish)
	if err := <-answered; err != nil {
		t.Errorf("the open call: %v", err)
	}
	if _, err := d.Heartbeat(t.Context(), f.addr, &peerpb.HeartbeatRequest{}); err != nil {
		t.Errorf("a further heartbeat: %v", err)
	}
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for end := time.After(20 * time.Second); connections(f.s) != 1; {
		select {
		case <-tick.C:
		case <-end:
			t.Fatalf("%d connections are open", connections(f.s))
		}
	}
}

func connections(s *Server) int {
	s.traffic.mu.Lock()
	defer s.traffic.mu.Unlock()
	return len(s.traffic.conns)
}
