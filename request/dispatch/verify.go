package dispatch

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

const (
	// verifyInterval is the interval between two attempts to distinguish a crash from
	// a cut, and maxVerifyTime the time until the attempts end.
	verifyInterval = 250 * time.Millisecond
	maxVerifyTime  = 10 * time.Second
	// maxPresumeTime is the time in which a target that neither refuses connections
	// nor answers is presumed to have crashed. Later it may have ended with all others,
	// before the request was sent.
	maxPresumeTime = time.Second
	// probeTimeout is the time in which a target answers a health check.
	probeTimeout = 300 * time.Millisecond
	// otherTargets is the number of other targets that an attempt asks.
	otherTargets = 3
	// otherAnswerTargets is the number of other targets that are asked at once whether
	// they answer. Most may have crashed, too.
	otherAnswerTargets = 8
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

// The first event of an answer is overdue after firstEventFactor times its predicted
// time, but not before minOverdue: waits for a slot aren't predicted.
const (
	firstEventFactor = 3
	minOverdue       = time.Second
)

// verifyIfOverdue verifies the target if the first event is overdue and nothing else
// has been received from it recently. Its VM may be unreachable.
func (x *execution) verifyIfOverdue(target *port.TargetEntry, predicted time.Duration) *time.Timer {
	limit := max(firstEventFactor*predicted, minOverdue)
	return time.AfterFunc(limit, func() {
		if x.opts.Quarantine != nil && !x.opts.Engines.ReachedSince(target.ID, time.Now().Add(-limit/2)) {
			x.verify(target)
		}
	})
}

// awaitCrash records a crash once it is certain that the target has ended: its VM
// refuses connections. A target that has a successor, or that resets connections or
// isn't reached, is presumed to have crashed if another target of its role answers
// at that time. All of them may be behind the same fault otherwise. So is an engine
// that leaves two probes unanswered; a plain service that is full does so, too.
func (x *execution) awaitCrash(target *port.TargetEntry, confirm func(quarantine.Evidence)) {
	begin := time.Now()
	for time.Since(begin) < maxVerifyTime {
		state := x.probe(target)
		if state == silent && target.Role != "" && x.probe(target) == silent {
			state = gone
		}
		switch {
		case state == alive || x.isLeaving(target):
			return
		case state == refusing && x.reachesOther(target.Addr) && x.refuses(target.Addr):
			confirm(quarantine.Certain)
			return
		case state == replaced && time.Since(begin) < maxPresumeTime:
			confirm(quarantine.Presumed)
			return
		case state == gone && time.Since(begin) < maxPresumeTime && !x.linksLost():
			confirm(quarantine.Alone)
			if again := x.probe(target); x.otherAnswers(target) && (again == gone || again == silent) {
				confirm(quarantine.Presumed)
				return
			}
		}
		if pause.For(x.ctx, verifyInterval) != nil {
			return
		}
	}
}

// targetState is what a probe of a target finds.
type targetState int

const (
	silent   targetState = iota // it accepts connections and doesn't answer
	alive                       // it answers
	refusing                    // its VM refuses connections
	replaced                    // another target answers at its address
	gone                        // it can't be reached, or resets connections
)

// probe asks a target for a sign of life. The answer itself doesn't matter: a target
// rejects a health check while it is full or leaving. Without a path for it a target
// that accepts a connection is taken for alive.
func (x *execution) probe(target *port.TargetEntry) targetState {
	path := x.opts.Protocol.ProbePath(target.Role != "", x.call.Service.HealthPath)
	if path == "" {
		return stateOf(x.opts.Pool.Probe(x.ctx, target.Addr))
	}
	h := http.Header{}
	x.opts.Protocol.AddDispatchHeaders(h, port.DispatchMeta{TargetID: target.ID, Timeout: probeTimeout, Priority: -1})
	resp, err := x.opts.Pool.Do(x.ctx, &h1.Request{
		Addr: target.Addr, Target: target.ID, Method: http.MethodGet, URI: path, Host: target.Addr,
		Header: h, Reuse: h1.ReuseNever, FirstByteTimeout: probeTimeout,
	})
	if err != nil {
		return stateOf(err)
	}
	defer resp.Close(0)
	if x.opts.Protocol.ParseResponse(resp.Status, resp.Header).Misdirected {
		return replaced
	}
	return alive
}

// stateOf returns what the error of a probe shows. A probe that wasn't written got no
// connection.
func stateOf(err error) targetState {
	var e *h1.Error
	switch {
	case err == nil:
		return alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return refusing
	case errors.Is(err, h1.ErrConnect), errors.As(err, &e) && !e.Written, failure.EndedByTarget(err):
		return gone
	}
	return silent
}

// otherAnswers reports whether another target of the call's service and of the same
// role answers now.
func (x *execution) otherAnswers(target *port.TargetEntry) bool {
	others := slices.DeleteFunc(slices.Clone(x.targets().ByRole(target.Role, "").All()), func(e *port.TargetEntry) bool {
		return e.ID == target.ID || e.Addr == target.Addr
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), otherAnswerTargets)]
	answers := make(chan bool, len(others))
	for _, e := range others {
		go func() { answers <- x.probe(e) == alive }()
	}
	for range others {
		if <-answers {
			return true
		}
	}
	return false
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
