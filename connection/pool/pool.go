// Package pool keeps what this process knows of its targets by the requests it
// sends them: how many run there, whether they accept connections, whether
// their connections make progress. One that doesn't is probed over a new
// connection until it answers.
package pool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/connection/h1"
)

const (
	idlePerTarget = 64
	refusedFor    = 500 * time.Millisecond
)

// keepAlive has every connection carry data or a probe each second, so that
// TCP_USER_TIMEOUT ends the ones that a device between has lost track of
// within about that time plus a second.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Options of a Pool. Zero values take the defaults named beside them.
type Options struct {
	ConnectTimeout time.Duration // longest time to connect; 1s
	UserTimeout    time.Duration // TCP_USER_TIMEOUT; 2s
	ProbeInterval  time.Duration // between probes of an unhealthy target; 200ms
	ProbeTimeout   time.Duration // longest wait for a probe's answer; 500ms
	// Dial replaces the TCP dialer, in tests.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// OnDown is called once each time a target stops accepting connections, with
	// the error of the dial, and once more when it refuses one after another
	// error.
	OnDown func(addr string, err error)
	// OnResponse is called with the header of every answer.
	OnResponse func(addr string, h http.Header)
}

func (o Options) withDefaults() Options {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&o.ConnectTimeout, time.Second)
	def(&o.UserTimeout, 2*time.Second)
	def(&o.ProbeInterval, 200*time.Millisecond)
	def(&o.ProbeTimeout, 500*time.Millisecond)
	return o
}

// Pool is safe for concurrent use.
type Pool struct {
	opts  Options
	wires *h1.Pool
	tomb  tomb.Tomb

	cancels chan struct{} // a place for each cancel call under way

	mu      sync.Mutex
	targets map[string]*target
	closed  bool
}

// target is the state of one address, guarded by Pool.mu.
type target struct {
	inFlight int
	sent     sent
	suspect  bool
	down     bool
	gone     bool          // down, and it refused a connection: its process has ended
	told     chan struct{} // closed once Options.Down returned, nil before the first time
	probing  bool
	refused  time.Time // when it last refused a request that it didn't run
}

// Status is what the pool knows of one target.
type Status struct {
	InFlight int  // requests of this process there now
	Suspect  bool // a connection made no progress, and no probe was answered since
	Down     bool // refuses connections
	Refusing bool // refused a request within refusedFor
	// RefusedAt is when the last refusal came.
	RefusedAt time.Time
}

// New returns a Pool; Close ends it.
func New(o Options) *Pool {
	o = o.withDefaults()
	p := &Pool{opts: o, targets: make(map[string]*target)}
	p.cancels = make(chan struct{}, maxCancels)
	p.wires = h1.New(h1.Options{
		ConnectTimeout: o.ConnectTimeout,
		UserTimeout:    o.UserTimeout,
		MaxIdle:        idlePerTarget,
		KeepAlive:      keepAlive,
		Dial:           o.Dial,
	})
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		return nil
	})
	return p
}

// Close ends the probes and the idle connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.tomb.Kill(nil)
	err := p.tomb.Wait()
	p.wires.Close()
	return err
}

// Send sends r and reads the header of the answer. The error is a *h1.Error.
func (p *Pool) Send(ctx context.Context, r *h1.Request) (*h1.Response, error) {
	resp, err := p.wires.Do(ctx, r)
	if err == nil && p.opts.OnResponse != nil {
		p.opts.OnResponse(r.Addr, resp.Header)
	}
	return resp, err
}

// get returns the target of addr. Callers hold p.mu.
func (p *Pool) get(addr string) *target {
	t, ok := p.targets[addr]
	if !ok {
		t = &target{}
		p.targets[addr] = t
	}
	return t
}

// Status returns what is known of addr.
func (p *Pool) Status(addr string) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[addr]
	if !ok {
		return Status{}
	}
	return Status{
		InFlight:  t.inFlight,
		Suspect:   t.suspect,
		Down:      t.down,
		Refusing:  !t.refused.IsZero() && time.Since(t.refused) < refusedFor,
		RefusedAt: t.refused,
	}
}

// ReportRefusal reports that addr refused a request without running it: it is full,
// or leaving, or changing its role. Its own word about that comes with the
// next state read; until then it has nothing in flight and looks like the best
// choice, and would draw request after request.
func (p *Pool) ReportRefusal(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(addr).refused = time.Now()
}

// Begin counts a request to addr with its estimated prompt and output tokens.
// The function that it returns ends the request; call it once.
func (p *Pool) Begin(addr string, prefill, decode int) func() {
	p.mu.Lock()
	t := p.get(addr)
	t.inFlight++
	t.sent.add(time.Now(), Sent{Count: 1, Prefill: prefill, Decode: decode})
	p.mu.Unlock()
	return func() {
		p.mu.Lock()
		t.inFlight--
		p.mu.Unlock()
	}
}

// SentSince sums what was begun at addr since then, at most sentSpan back.
func (p *Pool) SentSince(addr string, since time.Time) Sent {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[addr]
	if !ok {
		return Sent{}
	}
	return t.sent.since(since, time.Now())
}

// Retain forgets the targets that keep doesn't hold and that are idle.
func (p *Pool) Retain(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, t := range p.targets {
		if keep[addr] || t.inFlight > 0 {
			continue
		}
		delete(p.targets, addr)
	}
	p.wires.Retain(func(key string) bool {
		addr, _, _ := strings.Cut(key, "/")
		return p.targets[addr] != nil
	})
}

// ReportStall reports that a connection to addr made no progress. None of the
// connections from before takes another request, and the target counts as
// suspect until a probe over a new connection is answered.
func (p *Pool) ReportStall(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wires.Retire(addr, "")
	t := p.get(addr)
	t.suspect = true
	p.watch(addr, t)
	log.WithField("addr", addr).Warn("pool: connections retired")
}

// ReportUnreachable reports that addr accepted no connection, with the dial's error.
//
// The first dial to a process that is ending may be reset, and the next one is
// refused. Only a refusal shows that it has ended, so it is told of then, too:
// otherwise the request that crashed it goes on to the next targets as innocent,
// and takes three of them.
func (p *Pool) ReportUnreachable(addr string, err error) {
	p.mu.Lock()
	t := p.get(addr)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	first := !t.down || refused && !t.gone
	t.down, t.gone = true, t.gone || refused
	if first {
		t.told = make(chan struct{})
	}
	told := t.told
	p.watch(addr, t)
	p.mu.Unlock()
	if !first {
		return
	}
	defer close(told)
	log.WithField("addr", addr).WithError(err).Warn("pool: target down")
	if p.opts.OnDown != nil {
		p.opts.OnDown(addr, err)
	}
}

// watch starts the probes of an unhealthy target. Callers hold p.mu.
func (p *Pool) watch(addr string, t *target) {
	if t.probing || p.closed {
		return
	}
	t.probing = true
	p.tomb.Go(func() error {
		p.probeUntilHealthy(addr, t)
		return nil
	})
}
