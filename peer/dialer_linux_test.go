package peer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// acceptedConns passes on the connections that a listener accepts.
type acceptedConns struct {
	net.Listener
	conns chan net.Conn
}

// Accept implements net.Listener.
func (l acceptedConns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.conns <- c
	}
	return c, err
}

// Guards against forwarded requests that wait for a daemon that is gone until their
// deadlines.
func TestCallsOnADeadConnectionEnd(t *testing.T) {
	conns := make(chan net.Conn, 8)
	f := startBlocked(t, func(l net.Listener) net.Listener { return acceptedConns{l, conns} })
	d := NewDialer(DialerOptions{})
	defer d.Close()
	answered := f.forward(d)
	if err := linkfault.SetDropArriving((<-conns).(syscall.Conn), true); err != nil {
		t.Fatal(err)
	}
	late, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := d.Heartbeat(late, f.addr, &peerpb.HeartbeatRequest{}); err == nil {
		t.Fatal("a heartbeat arrived")
	}
	select {
	case err := <-answered:
		if err == nil {
			t.Error("the call was answered")
		}
	case <-time.After(pingInterval): // sooner than by a ping
		t.Error("the call goes on")
	}
}
