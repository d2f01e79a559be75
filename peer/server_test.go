package peer

import (
	"context"
	"io"
	"net"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// Guards against requests that a daemon forwarded to one that is stopped as planned,
// which run there and whose answers are cut.
func TestShutdownAnswersOpenCalls(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	running, finish := make(chan struct{}), make(chan struct{})
	s := NewServer(Handlers{Forward: func(_ context.Context, _ *peerpb.ForwardRequest, send func(*peerpb.ForwardReply) error) error {
		close(running)
		<-finish
		return send(&peerpb.ForwardReply{Status: 200})
	}}, ServerOptions{})
	go func() { _ = s.Serve(l) }()
	d := NewDialer(DialerOptions{})
	defer d.Close()
	answered := make(chan error, 1)
	go func() {
		stream, _, _, err := d.Forward(t.Context(), l.Addr().String(), &peerpb.ForwardRequest{})
		if err == nil {
			if _, err = stream.Recv(); err == io.EOF {
				err = nil
			}
		}
		answered <- err
	}()
	<-running
	stopped := make(chan struct{})
	go func() {
		s.Shutdown(t.Context())
		close(stopped)
	}()
	c, err := d.Client(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for refused := false; !refused; { // until the stop has reached the connection
		_, err = c.Lookup(t.Context(), &peerpb.LookupRequest{})
		refused = status.Code(err) == codes.Unavailable
	}
	close(finish)
	if err := <-answered; err != nil {
		t.Errorf("the open call: %v", err)
	}
	<-stopped
}

// Guards against a stop that waits for a call without an end.
func TestShutdownEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	running := make(chan struct{})
	s := NewServer(Handlers{Forward: func(ctx context.Context, _ *peerpb.ForwardRequest, _ func(*peerpb.ForwardReply) error) error {
		close(running)
		<-ctx.Done()
		return ctx.Err()
	}}, ServerOptions{})
	go func() { _ = s.Serve(l) }()
	d := NewDialer(DialerOptions{})
	defer d.Close()
	answered := make(chan error, 1)
	go func() {
		_, _, _, err := d.Forward(t.Context(), l.Addr().String(), &peerpb.ForwardRequest{})
		answered <- err
	}()
	<-running
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.Shutdown(ctx)
	if err := <-answered; err == nil {
		t.Error("a call without an answer succeeded")
	}
}
