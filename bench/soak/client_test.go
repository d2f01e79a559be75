package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestConnectionCountsFromItsConnect guards against a connection that counts as
// opened after its daemon has accepted it: a daemon that is killed in between
// would be blamed for the loss of the connection.
func TestConnectionCountsFromItsConnect(t *testing.T) {
	const connections = 200
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan time.Time, connections)
	go func() {
		for range connections {
			conn, err := l.Accept()
			if err != nil {
				break
			}
			accepted <- time.Now()
			_ = conn.Close()
		}
		close(accepted)
	}()
	c := &caller{
		Load:      &Load{Think: maxThinkTime, Daemons: []Daemon{{Callers: l.Addr().String()}}},
		rand:      rand.New(rand.NewPCG(1, 1)),
		resolved:  []int{0},
		idleLimit: maxIdleTime,
		expires:   time.Now().Add(time.Hour),
	}
	for i := range connections {
		if !c.connect(context.Background()) {
			t.Fatalf("connection %d failed", i)
		}
		if at, ok := <-accepted; !ok || c.connOpened.After(at) {
			t.Fatalf("connection %d was accepted at %v and counts as opened at %v", i, at, c.connOpened)
		}
		c.closeConn()
	}
}

// Guards against callers that send a request on a connection that its daemon has closed.
func TestClosedConnectionIsSeen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if isClosed(conn) {
		t.Error("an open connection counts as closed")
	}
	_ = accepted.Close()
	if !eventually(10*time.Second, func() bool { return isClosed(conn) }) {
		t.Error("a closed connection counts as open")
	}
}

// Guards against callers that don't respect the time given in Keep-Alive.
func TestKeepAlive(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"":                  maxIdleTime,
		"timeout=2":         2 * time.Second,
		"max=9, timeout=3":  3 * time.Second,
		"timeout=600":       maxIdleTime,
		"timeout=0, max=10": 0,
		"timeout=x":         maxIdleTime,
	} {
		if got := keepAlive(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}

// Guards against callers that use a connection to an address that is missing from a new
// answer, or that give up their addresses because they get no new ones.
func TestAddressesOfANewAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, tc := range map[string]struct {
		early bool
		addrs []string
		err   error
		stays bool
	}{
		"missing":               {early: true, addrs: []string{"b"}},
		"still there":           {early: true, addrs: []string{l.Addr().String()}, stays: true},
		"no answer":             {early: true, err: net.ErrClosed, stays: true},
		"asks only to connect":  {addrs: []string{"b"}, stays: true},
		"an answer without any": {early: true, stays: true},
	} {
		c := &caller{
			Load: &Load{Daemons: []Daemon{{Callers: l.Addr().String()}, {Callers: "b"}}},
			rand: rand.New(rand.NewPCG(1, 1)), resolved: []int{0}, expires: time.Now().Add(time.Hour),
		}
		if !c.connect(t.Context()) {
			t.Fatal("no connection")
		}
		opened := c.connOpened
		c.Protocol.ResolveAddresses = func(context.Context, string) ([]string, time.Duration, error) { return tc.addrs, time.Hour, tc.err }
		c.resolvesEarly, c.expires = tc.early, time.Time{}
		if stays := c.connect(t.Context()) && c.connOpened.Equal(opened); stays != tc.stays {
			t.Errorf("%s: connection stays %v, want %v", name, stays, tc.stays)
		}
		c.closeConn()
	}
}
