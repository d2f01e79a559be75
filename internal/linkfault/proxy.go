package linkfault

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// Cut is what a Proxy does to its connections.
type Cut struct {
	After int64 // bytes of the answers after which a connection is broken off
	Reset bool  // the connection is reset; otherwise it ends in order
}

// Proxy passes TCP connections on to an address and breaks them off within the answers.
// It is safe for concurrent use.
type Proxy struct {
	l  net.Listener
	to string

	mu    sync.Mutex
	cut   Cut
	cuts  int
	conns []net.Conn
	wg    sync.WaitGroup
}

// NewProxy returns a Proxy on loopback. The caller must close it.
func NewProxy(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{l: l, to: to}
	p.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.wg.Go(func() { p.pass(c.(*net.TCPConn)) })
		}
	})
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// Set sets what is done to the connections that are accepted from then on.
func (p *Proxy) Set(c Cut) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = c
}

// Cuts returns the number of connections that were broken off.
func (p *Proxy) Cuts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts
}

// EachByte calls try with the answers broken off after each of their bytes. It ends when
// an answer was whole and not broken off. The error states that limit bytes weren't
// enough for that, or that try got no whole answer though nothing was broken off.
func (p *Proxy) EachByte(reset bool, limit int64, try func(after int64) (whole bool)) error {
	for n := range limit {
		p.Set(Cut{After: n, Reset: reset})
		cuts := p.Cuts()
		whole := try(n)
		switch cut := p.Cuts() > cuts; {
		case cut:
		case whole:
			return nil
		default:
			return fmt.Errorf("linkfault: no whole answer within %d bytes, but no cut", n)
		}
	}
	return fmt.Errorf("linkfault: an answer is longer than %d bytes", limit)
}

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.mu.Lock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) pass(down *net.TCPConn) {
	defer down.Close()
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer up.Close()
	p.mu.Lock()
	cut := p.cut
	p.conns = append(p.conns, down, up)
	p.mu.Unlock()
	requests := make(chan struct{})
	go func() {
		defer close(requests)
		_, _ = io.Copy(up, down) // ends when either side closes
		_ = up.Close()
	}()
	_, err = io.CopyN(down, up, cut.After)
	switch {
	case errors.Is(err, io.EOF):
		_ = down.CloseWrite()
		<-requests
		return
	case err != nil:
		return
	}
	p.mu.Lock()
	p.cuts++
	p.mu.Unlock()
	if cut.Reset {
		_ = down.SetLinger(0)
		return
	}
	_ = down.CloseWrite()
	<-requests
}
