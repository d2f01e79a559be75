package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/sock"
)

// Mode is the network fault that a Proxy applies to its connections.
type Mode int

// The modes.
const (
	Pass           Mode = iota
	Delay               // each chunk is delayed
	Reset               // open connections are reset, and new ones when they are accepted
	HoldUpstream        // data from the client is held back
	HoldDownstream      // data from the server is held back
	Blackhole           // data of both directions is dropped for good, as by a middlebox without state
)

var modeNames = [...]string{"pass", "delay", "reset", "hold up", "hold down", "silence"}

// String returns the name of the mode in plans.
func (m Mode) String() string { return modeNames[m] }

// Proxy forwards TCP connections to one address and applies network faults to
// them. It is safe for concurrent use.
type Proxy struct {
	server string
	addr   string // at which it listens

	mu       sync.Mutex
	listener net.Listener // nil: connections are refused
	reserved *os.File     // holds the port after a crash
	mode     Mode
	delay    time.Duration
	changed  chan struct{} // closed when the mode changes
	conns    map[net.Conn]bool
	closed   bool
	wg       sync.WaitGroup
}

// NewProxy returns a Proxy that listens at addr and forwards connections to
// another address.
func NewProxy(addr, server string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{server: server, addr: l.Addr().String(), listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.wg.Go(func() { p.accept(l) })
	return p, nil
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() string { return p.addr }

// Set changes the mode. delay is used by the mode Delay only.
func (p *Proxy) Set(m Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.delay = m, delay
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Crash resets all connections and refuses new ones, like a process that has
// ended. It returns false if the proxy already refuses them.
func (p *Proxy) Crash() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return false
	}
	_ = p.listener.Close()
	p.listener = nil
	// Otherwise another trial could listen there, and get the requests of this one.
	var err error
	if p.reserved, err = sock.Reserve(p.addr); err != nil {
		log.WithError(err).Warn("soak: can't keep the port of a crashed target")
	}
	for c := range p.conns {
		reset(c)
	}
	return true
}

// Restart accepts connections again after Crash.
func (p *Proxy) Restart() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.release()
	p.listener = l
	p.wg.Go(func() { p.accept(l) })
	return nil
}

// release ends the reservation of the port. Callers hold p.mu.
func (p *Proxy) release() {
	if p.reserved != nil {
		_ = p.reserved.Close()
		p.reserved = nil
	}
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
	}
	p.release()
	for c := range p.conns {
		_ = c.Close()
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.wg.Wait()
}

// reset closes a connection with a TCP reset, so that the peer gets ECONNRESET.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

// dialTimeout bounds the connect to the server, which runs on the same machine.
const dialTimeout = 5 * time.Second

func (p *Proxy) serve(in net.Conn) {
	if m, _, _ := p.state(); m == Reset {
		reset(in)
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	out, err := d.DialContext(context.Background(), "tcp", p.server)
	if err != nil {
		reset(in)
		return
	}
	if !p.addConns(in, out) {
		return
	}
	defer p.closeConns(in, out)
	var wg sync.WaitGroup
	wg.Go(func() { p.relay(out, in, HoldUpstream) })
	wg.Go(func() { p.relay(in, out, HoldDownstream) })
	wg.Wait()
}

// addConns registers a pair of open connections. If the proxy is closed, it
// closes them and returns false.
func (p *Proxy) addConns(pair ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range pair {
		if p.closed {
			_ = c.Close()
			continue
		}
		p.conns[c] = true
	}
	return !p.closed
}

func (p *Proxy) closeConns(pair ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range pair {
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *Proxy) state() (Mode, time.Duration, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay, p.changed
}

// maxChunk is the maximum number of bytes read from a connection at a time.
const maxChunk = 16 << 10

// relay forwards one direction of a connection. It forwards a reset as a
// reset, because an orderly close could make a cut answer look complete.
func (p *Proxy) relay(dst, src net.Conn, heldMode Mode) {
	buf := make([]byte, maxChunk)
	dropped := false
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.forward(dst, buf[:n], heldMode) {
			// The chunk is dropped. The connection stays open, but nothing
			// more is forwarded on it.
			dropped = true
			continue
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, net.ErrClosed):
		case errors.Is(err, io.EOF) && !dropped:
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
				return
			}
		default:
			reset(dst)
		}
		_ = src.Close()
		return
	}
}

// forward writes one chunk according to the mode. It returns false if the chunk
// is dropped; all later data of the connection is then dropped too.
func (p *Proxy) forward(dst net.Conn, chunk []byte, heldMode Mode) bool {
	for {
		mode, delay, changed := p.state()
		switch {
		case p.isClosed():
			return false
		case mode == Blackhole:
			_ = dst.SetWriteDeadline(time.Unix(1, 0)) // all later writes fail
			return false
		case mode == heldMode:
			<-changed
			continue
		case mode == Delay:
			wait(changed, delay)
		}
		_, err := dst.Write(chunk)
		return err == nil
	}
}

func (p *Proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// wait returns after d or when done is closed.
func wait(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}
