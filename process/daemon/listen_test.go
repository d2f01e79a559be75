package daemon

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/pomelospool/pomelospool/process/settings"
)

// Guards against streams that hold memory for many minutes after the VM of a
// caller, peer or operator vanished during an answer: the kernel keeps
// retransmitting unless TCP_USER_TIMEOUT is set. The test checks that the
// option is set on accepted connections, not that it takes effect.
func TestAcceptedConnectionsTimeOut(t *testing.T) {
	const local = "127.0.0.1:0"
	d := &Daemon{s: &settings.Settings{Listen: settings.Listen{Callers: local, Peers: local, Operators: local}}}
	if err := d.listen(); err != nil {
		t.Fatal(err)
	}
	defer d.listeners.close()
	for name, port := range map[string]struct {
		l    net.Listener
		want int // ms
	}{
		"callers":   {d.listeners.callers, 20_000},
		"peers":     {d.listeners.peers, 5_000},
		"operators": {d.listeners.operators, 20_000},
	} {
		if ms := acceptedUserTimeout(t, port.l); ms != port.want {
			t.Errorf("%s: TCP_USER_TIMEOUT is %d ms, want %d", name, ms, port.want)
		}
	}
}

// acceptedUserTimeout reads the option of a connection that l accepts, in ms.
func acceptedUserTimeout(t *testing.T, l net.Listener) int {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ms := 0
	var got error
	err = raw.Control(func(fd uintptr) {
		ms, got = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || got != nil {
		t.Fatal(err, got)
	}
	return ms
}
