package pool

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/internal/pause"
)

const (
	maxProbeBackoff = 5 // times ProbeEvery
	// resetPause is the time between probes of a target that resets connections.
	resetPause = 5 * time.Millisecond
)

// probeUntilHealthy probes a target over new connections until it answers or
// leaves the pool.
func (p *Pool) probeUntilHealthy(addr string, t *target) {
	wait := p.opts.ProbeInterval
	for {
		err := p.Probe(context.Background(), addr)
		if p.settle(addr, t, err) {
			return
		}
		select {
		case <-p.tomb.Dying():
			return
		case <-time.After(wait):
		}
		wait = min(wait*2, p.opts.ProbeInterval*maxProbeBackoff)
	}
}

// settle notes a probe's result and reports whether probing is over.
func (p *Pool) settle(addr string, t *target, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.targets[addr] != t {
		t.probing = false
		return true
	}
	if err != nil {
		return false
	}
	t.suspect, t.down, t.gone, t.probing = false, false, false, false
	log.WithField("addr", addr).Info("pool: target answers")
	return true
}

// Probe asks addr for any answer over a new connection. OPTIONS * is HTTP's
// own no-op: any status counts as an answer.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.ProbeTimeout)
	defer cancel()
	resp, err := p.wires.Do(ctx, &h1.Request{Addr: addr, Method: http.MethodOptions, URI: "*", Host: addr, Reuse: h1.ReuseNever})
	if err != nil {
		return err
	}
	resp.Close(0)
	return nil
}

// Verify probes addr at once after a connection broke, and reports whether the
// target is gone. A gone target is marked as down and told of before Verify returns.
func (p *Pool) Verify(ctx context.Context, addr string) bool {
	err := p.Probe(ctx, addr)
	for errors.Is(err, syscall.ECONNRESET) && pause.For(ctx, resetPause) == nil {
		err = p.Probe(ctx, addr) // a process that is ending refuses a moment later
	}
	if err == nil || ctx.Err() != nil {
		return false
	}
	if errors.Is(err, h1.ErrConnect) {
		p.ReportUnreachable(addr, err)
		p.awaitTold(ctx, addr)
		return true
	}
	p.ReportStall(addr)
	return false
}

// awaitTold waits until whoever found addr down first has told of it. The
// guard is against a request that was broken by the same death and goes to
// another target before the quarantine knows of it: it would run there as
// innocent, beside others, and be in flight with them at a second death.
func (p *Pool) awaitTold(ctx context.Context, addr string) {
	p.mu.Lock()
	told := p.get(addr).told
	p.mu.Unlock()
	if told == nil {
		return
	}
	select {
	case <-told:
	case <-ctx.Done():
	}
}
