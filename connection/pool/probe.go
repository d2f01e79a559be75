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
	// maxProbeBackoff limits the time between probes, as a multiple of
	// ProbeInterval.
	maxProbeBackoff = 5
	// resetRetryDelay is the time between probes in Verify while the target resets
	// connections.
	resetRetryDelay = 5 * time.Millisecond
)

// probeUntilHealthy probes a target over new connections until it responds or is
// removed from the pool.
func (p *Pool) probeUntilHealthy(addr string, t *target) {
	wait := p.opts.ProbeInterval
	for {
		err := p.Probe(context.Background(), addr)
		if p.recordProbe(addr, t, err) {
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

// recordProbe records the result of a probe and reports whether probing ends.
func (p *Pool) recordProbe(addr string, t *target, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.targets[addr] != t {
		t.probing = false
		return true
	}
	if err != nil {
		return false
	}
	t.suspect, t.down, t.exited, t.probing = false, false, false, false
	log.WithField("addr", addr).Info("pool: target responds again")
	return true
}

// Probe checks over a new connection that addr responds. It sends OPTIONS *,
// which has no effect, and accepts any status.
func (p *Pool) Probe(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.ProbeTimeout)
	defer cancel()
	resp, err := p.conns.Do(ctx, &h1.Request{Addr: addr, Method: http.MethodOptions, URI: "*", Host: addr, Reuse: h1.ReuseNever})
	if err != nil {
		return err
	}
	resp.Close(0)
	return nil
}

// Recheck probes addr. If it responds, it counts as healthy from then on.
func (p *Pool) Recheck(ctx context.Context, addr string) error {
	if err := p.Probe(ctx, addr); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[addr]; t != nil {
		t.suspect, t.down, t.exited = false, false, false
	}
	return nil
}

// Verify probes addr immediately after a connection broke and reports whether the
// target accepts no connections. Such a target is marked as down, and the call of
// OnDown has returned, before Verify returns.
func (p *Pool) Verify(ctx context.Context, addr string) bool {
	err := p.Probe(ctx, addr)
	for errors.Is(err, syscall.ECONNRESET) && pause.For(ctx, resetRetryDelay) == nil {
		err = p.Probe(ctx, addr) // a process that is exiting resets first and then refuses
	}
	if err == nil || ctx.Err() != nil {
		return false
	}
	if errors.Is(err, h1.ErrConnect) {
		p.ReportUnreachable(addr, err)
		p.awaitDownReport(ctx, addr)
		return true
	}
	p.ReportStall(addr)
	return false
}

// awaitDownReport waits until the call of OnDown for addr has returned. Another
// request that was broken by the same crash could otherwise be retried on
// another target before the quarantine knows of the crash. It would run there
// unsuspected beside other requests, and all of them would be in flight at a
// second crash.
func (p *Pool) awaitDownReport(ctx context.Context, addr string) {
	p.mu.Lock()
	reported := p.target(addr).downReported
	p.mu.Unlock()
	if reported == nil {
		return
	}
	select {
	case <-reported:
	case <-ctx.Done():
	}
}
