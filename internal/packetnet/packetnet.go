// Package packetnet is an in-memory datagram network for tests.
package packetnet

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// queueSize is the number of datagrams that a receiver buffers. Further
// datagrams are dropped.
const queueSize = 1000

// Net transfers datagrams between its sockets. It is safe for concurrent use.
type Net struct {
	mu          sync.Mutex
	conns       map[string]*Conn
	unreachable map[string]bool // addresses whose datagrams are dropped in both directions
	sent        int             // number of datagrams
	lossRate    float64         // share of datagrams that are dropped
	rng         *rand.Rand
}

// New returns a Net whose datagram losses are determined by the seed.
func New(seed uint64) *Net {
	return &Net{conns: make(map[string]*Conn), unreachable: make(map[string]bool), rng: rand.New(rand.NewPCG(1, seed))}
}

// Conn is a socket. It implements net.PacketConn.
type Conn struct {
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

// Open returns a socket with the address addr, in the form host:port. It panics
// if addr is invalid.
func (n *Net) Open(addr string) *Conn {
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		panic(err)
	}
	c := &Conn{n: n, addr: udp, in: make(chan packet, queueSize), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[addr] = c
	return c
}

// SetUnreachable sets whether all datagrams to and from an address are dropped.
func (n *Net) SetUnreachable(addr string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[addr] = on
}

// SetLossRate sets the share of datagrams that are dropped.
func (n *Net) SetLossRate(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = share
}

// Sent returns the number of datagrams sent.
func (n *Net) Sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// Bytes returns the number of bytes that the socket has sent and received.
func (c *Conn) Bytes() (sent, received int) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	return c.sentBytes, c.receivedBytes
}

// WriteTo implements net.PacketConn.
func (c *Conn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.n.mu.Lock()
	defer c.n.mu.Unlock()
	c.n.sent++
	c.sentBytes += len(data)
	if c.n.rng.Float64() < c.n.lossRate {
		return len(data), nil
	}
	other := c.n.conns[to.String()]
	if other == nil || c.n.unreachable[to.String()] || c.n.unreachable[c.addr.String()] {
		return len(data), nil
	}
	select {
	case other.in <- packet{slices.Clone(data), c.addr}:
		other.receivedBytes += len(data)
	default:
	}
	return len(data), nil
}

// ReadFrom implements net.PacketConn.
func (c *Conn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.in:
		return copy(b, p.data), p.from, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

// Close implements net.PacketConn.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *Conn) LocalAddr() net.Addr { return c.addr }

// SetDeadline implements net.PacketConn. It does nothing.
func (*Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn. It does nothing.
func (*Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn. It does nothing.
func (*Conn) SetWriteDeadline(time.Time) error { return nil }
