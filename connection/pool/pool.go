// Package pool sends requests to targets and tracks the state that this process
// observes of each target: the requests in flight, whether it accepts
// connections, and whether its connections make progress. It probes an unhealthy
// target over new connections until the target responds.
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
	"github.com/pomelospool/pomelospool/internal/steady"
)

const (
	maxIdlePerTarget = 64
	refusalTTL       = 500 * time.Millisecond
)

// keepAlive makes the kernel probe a connection after each second without data.
// TCP_USER_TIMEOUT then closes a connection whose state a network device has
// dropped, within about that timeout plus one second.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Options configures a Pool. Zero values select the stated defaults.
type Options struct {
	ConnectTimeout time.Duration // time limit for connecting; default 1s
	UserTimeout    time.Duration // TCP_USER_TIMEOUT; default 2s
	ProbeInterval  time.Duration // initial time between probes of an unhealthy target; default 200ms
	ProbeTimeout   time.Duration // time limit of a probe; default 500ms
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// OnDown is called once each time a target stops accepting connections, with
	// the error of the dial. It is called once more if a dial is refused after
	// a first dial failed in another way.
	OnDown func(addr string, err error)
	// OnResponse is called with the header of every response.
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

// Pool sends requests to targets and tracks their state. It is safe for
// concurrent use.
type Pool struct {
	opts  Options
	conns *h1.Pool
	tomb  tomb.Tomb
	now   func() time.Time // time of day at the start plus the time since

	cancels chan struct{} // semaphore of the cancel calls in flight

	mu      sync.Mutex
	targets map[string]*target
	closed  bool
}

// target is the state of the target at an address, guarded by Pool.mu.
type target struct {
	inFlight     int
	sent         sentRing
	suspect      bool
	down         bool
	exited       bool          // down and refused a connection, so its process has exited
	downReported chan struct{} // closed when the latest call of OnDown returns; nil before the first call
	probing      bool
	lastRefusal  time.Time // when it last refused a request without running it
}

// Status is the observed state of a target.
type Status struct {
	InFlight int  // requests of this process in flight there
	Suspect  bool // a connection stalled, and no probe has succeeded since
	Down     bool // accepts no connections
	Refusing bool // refused a request within the last refusalTTL
	// RefusedAt is the time of the last refused request.
	RefusedAt time.Time
}

// New returns a Pool. The caller must close it.
func New(o Options) *Pool {
	o = o.withDefaults()
	p := &Pool{opts: o, now: steady.Clock(time.Now), targets: make(map[string]*target)}
	p.cancels = make(chan struct{}, maxCancels)
	p.conns = h1.New(h1.Options{
		ConnectTimeout: o.ConnectTimeout,
		UserTimeout:    o.UserTimeout,
		MaxIdle:        maxIdlePerTarget,
		KeepAlive:      keepAlive,
		Dial:           o.Dial,
	})
	p.tomb.Go(func() error {
		<-p.tomb.Dying()
		return nil
	})
	return p
}

// Close stops the probes and closes the idle connections.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.tomb.Kill(nil)
	err := p.tomb.Wait()
	p.conns.Close()
	return err
}

// Send sends r and reads the response header. The error is a *h1.Error.
func (p *Pool) Send(ctx context.Context, r *h1.Request) (*h1.Response, error) {
	resp, err := p.conns.Do(ctx, r)
	if err == nil && p.opts.OnResponse != nil {
		p.opts.OnResponse(r.Addr, resp.Header)
	}
	return resp, err
}

// target returns the state of addr and creates it if necessary. The caller must
// hold p.mu.
func (p *Pool) target(addr string) *target {
	t, ok := p.targets[addr]
	if !ok {
		t = &target{}
		p.targets[addr] = t
	}
	return t
}

// Status returns the observed state of the target at addr.
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
		Refusing:  !t.lastRefusal.IsZero() && time.Since(t.lastRefusal) < refusalTTL,
		RefusedAt: t.lastRefusal,
	}
}

// ReportRefusal records that addr refused a request without running it, because
// it is full, shutting down or changing its role. The target's reported state
// shows that only when it is read next. Until then the target would look idle
// and attract every request.
func (p *Pool) ReportRefusal(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(addr).lastRefusal = time.Now()
}

// Begin counts a request to addr with its estimated prompt and output tokens.
// The caller must call the returned function once, when the request ends.
func (p *Pool) Begin(addr string, prefill, decode int) func() {
	p.mu.Lock()
	t := p.target(addr)
	t.inFlight++
	t.sent.add(p.now(), Sent{Count: 1, Prefill: prefill, Decode: decode})
	p.mu.Unlock()
	return func() {
		p.mu.Lock()
		t.inFlight--
		p.mu.Unlock()
	}
}

// SentSince returns the sum of the requests begun at addr since then. It covers
// at most the last sentBuckets * sentBucket.
func (p *Pool) SentSince(addr string, since time.Time) Sent {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.targets[addr]
	if !ok {
		return Sent{}
	}
	now := p.now()
	return t.sent.since(now.Add(-time.Since(since)), now)
}

// Retain removes the targets that are not in keep and have no requests in flight.
func (p *Pool) Retain(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, t := range p.targets {
		if keep[addr] || t.inFlight > 0 {
			continue
		}
		delete(p.targets, addr)
	}
	p.conns.Retain(func(key string) bool {
		addr, _, _ := strings.Cut(key, "/")
		return p.targets[addr] != nil
	})
}

// ReportStall records that a connection to addr made no progress. The existing
// connections aren't reused, and the target is suspect until a probe over a new
// connection succeeds.
func (p *Pool) ReportStall(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns.Retire(addr, "")
	t := p.target(addr)
	t.suspect = true
	p.startProbing(addr, t)
	log.WithField("addr", addr).Warn("pool: connection stalled; existing connections won't be reused")
}

// ReportUnreachable records that addr accepted no connection. err is the error of
// the dial.
//
// The first dial to a process that is exiting may be reset and the next one
// refused. Only a refusal proves that the process has exited, so OnDown is called
// for the refusal, too. Otherwise the request that crashed the target would not
// be suspected and would be retried once more, which crashes three targets
// instead of two.
func (p *Pool) ReportUnreachable(addr string, err error) {
	p.mu.Lock()
	t := p.target(addr)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	first := !t.down || refused && !t.exited
	t.down, t.exited = true, t.exited || refused
	if first {
		t.downReported = make(chan struct{})
	}
	reported := t.downReported
	p.startProbing(addr, t)
	p.mu.Unlock()
	if !first {
		return
	}
	defer close(reported)
	log.WithField("addr", addr).WithError(err).Warn("pool: target accepts no connections")
	if p.opts.OnDown != nil {
		p.opts.OnDown(addr, err)
	}
}

// startProbing starts the probes of an unhealthy target. The caller must hold
// p.mu.
func (p *Pool) startProbing(addr string, t *target) {
	if t.probing || p.closed {
		return
	}
	t.probing = true
	p.tomb.Go(func() error {
		p.probeUntilHealthy(addr, t)
		return nil
	})
}
