package soak

import (
	"context"
	"math/rand/v2"
	"net"
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
		Load:     &Load{Think: maxThinkTime, Daemons: []Daemon{{Callers: l.Addr().String()}}},
		rand:     rand.New(rand.NewPCG(1, 1)),
		resolved: []int{0},
		expires:  time.Now().Add(time.Hour),
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
