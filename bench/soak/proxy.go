package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a Proxy does to the connections through it.
type Mode int

// The modes.
const (
	Pass     Mode = iota
	Delay         // each piece waits for the proxy's delay
	Reset         // open connections are reset, new ones at once
	HoldUp        // what the connecting side sends is held back
	HoldDown      // what the accepting side sends is held back
	Silence       // both are lost for good, as by a device that forgot the connection
)

var modeNames = [...]string{"pass", "delay", "reset", "hold up", "hold down", "silence"}

// String names the mode in plans.
func (m Mode) String() string { return modeNames[m] }

// Proxy passes TCP connections on to one address and disturbs them on command.
// It is safe for concurrent use.
type Proxy struct {
	to string
	l  net.Listener

	mu      sync.Mutex
	mode    Mode
	delay   time.Duration
	changed chan struct{} // closed when the mode changes
	conns   map[net.Conn]bool
	closed  bool
	wg      sync.WaitGroup
}

// NewProxy listens at addr and passes connections on to another address.
func NewProxy(addr, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &Proxy{to: to, l: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// Set changes the mode; delay matters to Delay alone.
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

// Close ends all connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	_ = p.l.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.wg.Wait()
}

// reset ends a connection the hard way: the other end sees ECONNRESET.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.wg.Go(func() { p.serve(c) })
	}
}

// dialLimit bounds the wait for the other side; it is on this machine.
const dialLimit = 5 * time.Second

func (p *Proxy) serve(in net.Conn) {
	if m, _, _ := p.state(); m == Reset {
		reset(in)
		return
	}
	d := net.Dialer{Timeout: dialLimit}
	out, err := d.DialContext(context.Background(), "tcp", p.to)
	if err != nil {
		reset(in)
		return
	}
	if !p.keep(in, out) {
		return
	}
	defer p.drop(in, out)
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, HoldUp) })
	both.Go(func() { p.copy(in, out, HoldDown) })
	both.Wait()
}

// keep notes an open pair of connections; false: the proxy is closed.
func (p *Proxy) keep(pair ...net.Conn) bool {
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

func (p *Proxy) drop(pair ...net.Conn) {
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

// pieceBytes is the most that is read of a connection at a time.
const pieceBytes = 16 << 10

// copy passes one direction on. A reset here is passed on as a reset: an end
// that looks orderly would make a cut answer look whole.
func (p *Proxy) copy(dst, src net.Conn, held Mode) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.pass(dst, buf[:n], held) {
			// Lost for good: the connection stays open and takes no more.
			continue
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, net.ErrClosed):
		case errors.Is(err, io.EOF):
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

// pass writes one piece as the mode says. False: the piece is lost, and with it
// all that follows on the connection.
func (p *Proxy) pass(dst net.Conn, piece []byte, held Mode) bool {
	for {
		mode, delay, changed := p.state()
		switch {
		case p.isClosed():
			return false
		case mode == Silence:
			_ = dst.SetWriteDeadline(time.Unix(1, 0)) // nothing more goes out
			return false
		case mode == held:
			<-changed
			continue
		case mode == Delay:
			wait(changed, delay)
		}
		_, err := dst.Write(piece)
		return err == nil
	}
}

func (p *Proxy) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// wait returns after d, or when over is closed.
func wait(over <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-over:
	}
}
