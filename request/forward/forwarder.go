package forward

import (
	"context"
	"errors"
	"expvar"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/presence"
)

const (
	// maxPeers is the number of daemons that one request is offered to.
	maxPeers = 3
	// refusalTTL is the time for which a daemon that refused a service's request
	// isn't sent another one, if there are others.
	refusalTTL = time.Second
	// recheckInterval is the same if all have refused, since the first one whose
	// links are back can serve the requests of all.
	recheckInterval = 100 * time.Millisecond
)

var counts = expvar.NewMap("forward")

// Peer is a daemon that requests may be forwarded to.
type Peer struct {
	VM   string
	Addr string // host:port of its server for other daemons
}

// Shuffled returns the peers of the lists in a random order, those of an earlier
// list first.
func Shuffled(lists ...[]Peer) []Peer {
	var out []Peer
	for _, list := range lists {
		from := len(out)
		out = append(out, list...)
		rand.Shuffle(len(list), func(i, j int) { out[from+i], out[from+j] = out[from+j], out[from+i] })
	}
	return out
}

// Request is a request to forward.
type Request struct {
	ID       string
	Service  string
	Method   string
	URI      string // path and query as received
	Host     string
	Header   http.Header // of the caller, without hop-by-hop headers
	Body     []byte
	Envelope Envelope // without From and Timeout, which the transport sets
	Caller   string   // address of the caller
	Deadline time.Time
}

// Response is the answer of a daemon. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	VM     string // that answered
	// Refusal is the error of that daemon itself; nil if a target answered.
	Refusal *code.Error
	Close   func()
}

// Transport sends a request to one daemon. unsent reports of an error that the
// daemon can't have run the request.
type Transport interface {
	Send(ctx context.Context, p Peer, r *Request) (resp *Response, unsent bool, err error)
	// Trim closes the connections that are no longer used, Close all idle ones.
	Trim()
	Close()
}

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	transport Transport
	peers     func() []Peer

	mu       sync.Mutex
	refused  map[refusal]time.Time
	contacts map[string]*contact // by VM
}

// refusal identifies a daemon that refused a request for a service.
type refusal struct{ vm, service string }

// New returns a Forwarder. peers returns the daemons that requests may be
// forwarded to, in the order in which to try them for one request.
func New(t Transport, peers func() []Peer) *Forwarder {
	return &Forwarder{transport: t, peers: peers, refused: make(map[refusal]time.Time), contacts: make(map[string]*contact)}
}

// Trim closes the connections to other daemons that are no longer used, and
// forgets refusals that have expired.
func (f *Forwarder) Trim() {
	f.transport.Trim()
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.refused, func(_ refusal, at time.Time) bool { return time.Since(at) >= refusalTTL })
	maps.DeleteFunc(f.contacts, func(_ string, c *contact) bool { return c.waiting == 0 && !c.unresponsive() })
}

// Close closes all idle connections.
func (f *Forwarder) Close() { f.transport.Close() }

// Do offers the request to daemons until one accepts it, and returns its answer.
// A request that a daemon may have run isn't offered to another one, since that
// daemon may have used all attempts that the route allows. The error is a
// *code.Error. Its code states that nothing ran only if that is certain.
func (f *Forwarder) Do(ctx context.Context, r *Request) (*Response, error) {
	err := code.New(code.LinksLost, "no daemon reaches the targets of service %q", r.Service)
	tried := 0
	for _, p := range f.candidates(r.Service) {
		resp, failed := f.offer(ctx, p, r)
		if failed == nil {
			counts.Add("forwarded", 1)
			return resp, nil
		}
		log.WithFields(log.Fields{"request": r.ID, "service": r.Service, "peer": p.VM, "code": int(failed.Code)}).Info("forward: request not accepted")
		err = failed
		if tried++; tried == maxPeers || ctx.Err() != nil || !canServeElsewhere(failed.Code) {
			break
		}
	}
	counts.Add("not_forwarded", 1)
	return nil, err
}

// offer sends the request to one daemon.
func (f *Forwarder) offer(ctx context.Context, p Peer, r *Request) (*Response, *code.Error) {
	if err := presence.Err(ctx); errors.Is(err, presence.ErrLeft) {
		return nil, f.sendError(ctx, p, r, true, err)
	}
	f.beginWait(p.VM)
	resp, unsent, err := f.transport.Send(ctx, p, r)
	f.endWait(p.VM, err == nil)
	if err != nil {
		return nil, f.sendError(ctx, p, r, unsent, err)
	}
	if resp.Refusal == nil {
		return resp, nil
	}
	resp.Close()
	c := resp.Refusal.Code
	if c == code.PeerUnreachable || canServeElsewhere(c) && lasts(c) {
		f.recordRefusal(p.VM, r.Service)
	}
	return nil, resp.Refusal
}

// sendError returns the error of a request that wasn't answered.
func (f *Forwarder) sendError(ctx context.Context, p Peer, r *Request, unsent bool, err error) *code.Error {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return code.Wrap(code.CallerGone, err, "")
	case ctx.Err() != nil && !unsent:
		return code.Wrap(code.DeadlinePassed, err, "at daemon %s", p.VM)
	case unsent:
		f.recordRefusal(p.VM, r.Service)
		return code.Wrap(code.LinksLost, err, "daemon %s accepted no connection", p.VM)
	}
	return code.Wrap(code.PeerUnreachable, err, "daemon %s didn't answer", p.VM)
}

// canServeElsewhere reports whether a refusal concerns only the daemon that
// refused. Nothing has run then.
func canServeElsewhere(c code.Code) bool {
	switch c {
	case code.LinksLost, code.TargetUnreachable, code.Draining, code.Isolated, code.NoConfiguration, code.StaleConfiguration, code.TooManyConns, code.MemoryExhausted:
		return true
	}
	return false
}

// lasts reports whether a daemon would refuse the next request too. A daemon
// that is behind the configuration gets it within milliseconds.
func lasts(c code.Code) bool { return c != code.StaleConfiguration && c != code.NoConfiguration }

func (f *Forwarder) recordRefusal(vm, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[refusal{vm, service}] = time.Now()
}

// candidates returns the daemons to ask, in order.
func (f *Forwarder) candidates(service string) []Peer {
	all := f.responsiveFirst(f.peers())
	if out := f.notRefusedFor(refusalTTL, service, all); len(out) > 0 {
		return out
	}
	return f.notRefusedFor(recheckInterval, service, all)
}

// notRefusedFor returns the daemons that haven't refused a request for the service
// for the given time.
func (f *Forwarder) notRefusedFor(d time.Duration, service string, peers []Peer) (out []Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range peers {
		if at, ok := f.refused[refusal{p.VM, service}]; !ok || time.Since(at) >= d {
			out = append(out, p)
		}
	}
	return out
}
