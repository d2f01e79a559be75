package dispatch

import (
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

const (
	// verifyInterval is the interval between two attempts to tell a crash from a
	// cut, and maxVerifyTime the time until the attempts end.
	verifyInterval = 250 * time.Millisecond
	maxVerifyTime  = 10 * time.Second
	// otherTargets is the number of other targets that an attempt asks.
	otherTargets = 3
)

// verify finds out in the background whether a target that broke a connection off,
// or can't be reached, has ended, while this process reaches other targets. If it
// reaches none, its own network may be at fault.
func (x *execution) verify(target *port.TargetEntry) {
	if !x.startVerify(target.ID) {
		return
	}
	confirm := x.opts.Quarantine.Hold(target.ID)
	if confirm == nil {
		x.endVerify(target.ID)
		return
	}
	go func() {
		defer x.endVerify(target.ID)
		x.awaitCrash(target, confirm)
	}()
}

func (x *execution) awaitCrash(target *port.TargetEntry, confirm func(quarantine.Evidence)) {
	for end := time.Now().Add(maxVerifyTime); time.Now().Before(end); {
		switch {
		case !x.refuses(target.Addr) || x.isLeaving(target):
			return
		case x.reachesOther(target.Addr) && x.refuses(target.Addr):
			confirm(quarantine.Certain)
			return
		}
		if pause.For(x.ctx, verifyInterval) != nil {
			return
		}
	}
}

func (x *execution) refuses(addr string) bool {
	return errors.Is(x.opts.Pool.Probe(x.ctx, addr), syscall.ECONNREFUSED)
}

// reachesOther reports whether some other target accepts a connection.
func (x *execution) reachesOther(except string) bool {
	addrs := x.otherAddrs()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	dialed := 0
	for _, addr := range addrs {
		if addr == except {
			continue
		}
		if x.opts.Pool.Probe(x.ctx, addr) == nil {
			return true
		}
		if dialed++; dialed == otherTargets {
			break
		}
	}
	return false
}

func (x *execution) otherAddrs() (addrs []string) {
	if x.opts.TargetAddrs != nil {
		return x.opts.TargetAddrs()
	}
	for _, e := range x.opts.Targets.Targets(x.call.Service.Name).All().All() {
		addrs = append(addrs, e.Addr)
	}
	return addrs
}

func (x *execution) isLeaving(target *port.TargetEntry) bool {
	e := x.opts.Targets.Targets(x.call.Service.Name).All().Lookup(engines.Hash(target.ID))
	return e != nil && e.Leaving
}

func (r *Runner) startVerify(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verifying[target] || r.ctx.Err() != nil {
		return false
	}
	r.verifying[target] = true
	r.background.Add(1)
	return true
}

func (r *Runner) endVerify(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.verifying, target)
	r.background.Done()
}
