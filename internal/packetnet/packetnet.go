// Package packetnet is a network of datagrams in memory, for tests.
package packetnet

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// queue is the number of datagrams that wait at a receiver; more are lost.
const queue = 1000

// Net carries datagrams between its ends. It is safe for concurrent use.
type Net struct {
	mu   sync.Mutex
	ends map[string]*End
	cut  map[string]bool // addresses that nothing reaches or leaves
	sent int             // datagrams
	lose float64         // share of datagrams that is lost
	luck *rand.Rand
}

// New returns a Net whose losses follow from the seed.
func New(seed uint64) *Net {
	return &Net{ends: make(map[string]*End), cut: make(map[string]bool), luck: rand.New(rand.NewPCG(1, seed))}
}

// End is one socket: a net.PacketConn.
type End struct {
	n    *Net
	addr *net.UDPAddr
	in   chan packet
	done chan struct{}
	once sync.Once

	sentBytes, receivedBytes int // guarded by n.mu
}

type packet struct {
	data []byte
	from net.Addr
}

// Open returns the socket of an address, host:port. It panics if that can't be
// read.
func (n *Net) Open(addr string) *End {
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		panic(err)
	}
	e := &End{n: n, addr: udp, in: make(chan packet, queue), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ends[addr] = e
	return e
}

// SetCut has nothing reach or leave an address.
func (n *Net) SetCut(addr string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[addr] = on
}

// SetLoss has a share of the datagrams lost.
func (n *Net) SetLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = share
}

// Sent is the number of datagrams that were sent.
func (n *Net) Sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// Bytes is what an end has sent and received.
func (e *End) Bytes() (sent, received int) {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	return e.sentBytes, e.receivedBytes
}

// WriteTo implements net.PacketConn.
func (e *End) WriteTo(data []byte, to net.Addr) (int, error) {
	e.n.mu.Lock()
	defer e.n.mu.Unlock()
	e.n.sent++
	e.sentBytes += len(data)
	if e.n.luck.Float64() < e.n.lose {
		return len(data), nil
	}
	other := e.n.ends[to.String()]
	if other == nil || e.n.cut[to.String()] || e.n.cut[e.addr.String()] {
		return len(data), nil
	}
	select {
	case other.in <- packet{slices.Clone(data), e.addr}:
		other.receivedBytes += len(data)
	default:
	}
	return len(data), nil
}

// ReadFrom implements net.PacketConn.
func (e *End) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-e.in:
		return copy(b, p.data), p.from, nil
	case <-e.done:
		return 0, nil, net.ErrClosed
	}
}

// Close implements net.PacketConn.
func (e *End) Close() error {
	e.once.Do(func() { close(e.done) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (e *End) LocalAddr() net.Addr { return e.addr }

// SetDeadline implements net.PacketConn; there is none.
func (*End) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn; there is none.
func (*End) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn; there is none.
func (*End) SetWriteDeadline(time.Time) error { return nil }
