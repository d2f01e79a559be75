package pool

import (
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// ErrConnect is wrapped by errors of requests that got no connection.
var ErrConnect = errors.New("can't connect")

// Exchange is one request to one target. Its proof holds after Send returned.
type Exchange struct {
	Response *http.Response

	mu    sync.Mutex
	conn  *conn
	mark  int64
	wrote bool // on an earlier connection of the same request
}

// Mode says which connection a request takes.
type Mode int

// The modes.
const (
	Reuse Mode = iota // an idle connection if there is one
	Fresh             // always a new one, closed afterwards
)

// Send sends req to its URL's host and waits for the answer's header. The
// context of req bounds the exchange with the body of the answer included.
// The Exchange is never nil.
func (p *Pool) Send(req *http.Request, mode Mode) (*Exchange, error) {
	x := &Exchange{}
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := p.pick(req.URL.Host, mode).RoundTrip(req)
	if err != nil {
		return x, err
	}
	x.Response = resp
	if p.opts.Answered != nil {
		p.opts.Answered(req.URL.Host, resp.Header)
	}
	return x, nil
}

func (p *Pool) pick(addr string, mode Mode) *http.Transport {
	if mode == Fresh {
		return p.fresh
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(addr).transport
}

func (x *Exchange) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		x.wrote = true
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil && x.conn.mark() > x.mark {
		x.wrote = true
	}
	x.conn, x.mark = c, c.mark()
}

// Written tells whether any byte of a failed request may have left this
// process. It seals the connection: nothing of the request is written later.
func (x *Exchange) Written() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil {
		return x.wrote
	}
	return x.conn.seal() > x.mark || x.wrote
}
