package sock

import (
	"net"
	"testing"
)

// Guards against a test whose server gets the requests of another one, since it
// listens at the port of a server that was stopped there.
func TestReservedPortIsNotGivenAway(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer backend.Close()
	addr := l.Addr()
	_ = l.Close()
	f, err := Reserve(addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	other := net.Dialer{LocalAddr: addr}
	if c, err := other.Dial("tcp", backend.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("a connection got the port")
	}
	if c, err := net.Dial("tcp", addr.String()); err == nil {
		_ = c.Close()
		t.Error("the address accepts connections")
	}
	again, err := net.Listen("tcp", addr.String())
	if err != nil {
		t.Fatalf("listen again: %v", err)
	}
	_ = again.Close()
}
