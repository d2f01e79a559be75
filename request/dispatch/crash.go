package dispatch

import (
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

// Quarantine tracks which content is in flight at which target, and which of it
// crashes targets.
type Quarantine interface {
	// Check returns the verdict on content and how long it lasts. Only
	// quarantine.Convicted keeps the content from being sent.
	Check(quarantine.Fingerprint) (quarantine.Verdict, time.Duration)
	Begin(content quarantine.Fingerprint, target string)
	// Exactly one of End, Broken and NotReceived is called for each Begin.
	End(content quarantine.Fingerprint, target string) // answered
	Broken(content quarantine.Fingerprint, target string)
	NotReceived(content quarantine.Fingerprint, target string)
	// Hold returns a function that records a crash of the target with the content
	// in flight there now, or nil if there is none.
	Hold(target string) (confirm func())
}

// maxQuarantineRetry bounds the delay after which callers of quarantined content
// are asked to retry.
const maxQuarantineRetry = 10 * time.Minute

func (r *Runner) fingerprint(c *Call) quarantine.Fingerprint {
	if r.opts.Quarantine == nil {
		return quarantine.Fingerprint{}
	}
	content := quarantine.Request{Caller: c.Organisation, Scope: c.Host, Method: c.Method, Path: c.URI, Body: c.Body}
	return content.Fingerprint()
}

// maxTrackedParts bounds the parts of a prompt that are tracked. Callers choose how
// many they state.
const maxTrackedParts = 16

// partFingerprints returns the fingerprints of the parts that a prompt may share with
// others: all but the last, which belongs to the request or its session.
func (r *Runner) partFingerprints(c *Call) []quarantine.Fingerprint {
	parts := c.Meta.PromptParts
	if r.opts.Quarantine == nil || len(parts) < 2 {
		return nil
	}
	parts = parts[:min(len(parts)-1, maxTrackedParts)]
	out := make([]quarantine.Fingerprint, len(parts))
	for i, part := range parts {
		p := quarantine.Part{Caller: c.Organisation, Service: c.Service.Name, ID: part.ID}
		out[i] = p.Fingerprint()
	}
	return out
}

// checkContent returns the error of a call whose content crashes targets, or nil.
func (x *execution) checkContent() error {
	if x.opts.Quarantine == nil {
		return nil
	}
	verdict, left := x.opts.Quarantine.Check(x.content)
	switch {
	case verdict != quarantine.Convicted:
		return nil
	case x.possibleRuns > 0 || x.budget.MayHaveSent():
		return code.New(code.TargetFailed, "the content is in quarantine, after %d sends", x.trace.Sends)
	}
	counts.Add("quarantined", 1)
	return code.New(code.ContentQuarantined, "").WithRetryAfter(min(left, maxQuarantineRetry))
}

// beginRun records that the content is sent to a target.
func (x *execution) beginRun(target port.TargetEntry) {
	x.leaveRun()
	if x.opts.Quarantine == nil {
		return
	}
	x.running = &target
	x.opts.Quarantine.Begin(x.content, target.ID)
}

// takeRun returns the target of the run that goes on, or nil, and marks the run as
// ended.
func (x *execution) takeRun() *port.TargetEntry {
	target := x.running
	x.running = nil
	return target
}

// completeRun records that the content was answered.
func (x *execution) completeRun() {
	if target := x.takeRun(); target != nil {
		x.opts.Quarantine.End(x.content, target.ID)
	}
}

// leaveRun records the end of a run without an answer for the caller, such as a
// prefill.
func (x *execution) leaveRun() {
	if target := x.takeRun(); target != nil {
		x.opts.Quarantine.Broken(x.content, target.ID)
	}
}

// failRun records the end of a failed run. A broken connection may mean that the
// target crashed, and a refused one that it crashed earlier.
func (x *execution) failRun(f *sendFailure) {
	target := x.takeRun()
	switch {
	case target == nil:
	case f.Class == failure.NotRun || f.Unwritten:
		x.opts.Quarantine.NotReceived(x.content, target.ID)
		if errors.Is(f.Err, syscall.ECONNREFUSED) {
			x.verify(target)
		}
	default:
		x.opts.Quarantine.Broken(x.content, target.ID)
		if f.Class == failure.NoAnswer || f.Class == failure.Cut {
			x.verify(target)
		}
	}
}

const (
	// verifyInterval is the interval between two attempts to tell a crash from a
	// cut, and maxVerifyTime the time until the attempts end.
	verifyInterval = 250 * time.Millisecond
	maxVerifyTime  = 10 * time.Second
	// otherTargets is the number of other targets that an attempt dials.
	otherTargets = 3
)

// verify finds out in the background whether a target that broke a connection off,
// or refused one, has ended. Its VM then refuses connections while this process
// reaches other targets. If it reaches none, its own network may refuse them.
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

func (x *execution) awaitCrash(target *port.TargetEntry, confirm func()) {
	for end := time.Now().Add(maxVerifyTime); time.Now().Before(end); {
		switch {
		case !x.refuses(target.Addr) || x.isLeaving(target):
			return
		case x.reachesOther(target.Addr) && x.refuses(target.Addr):
			confirm()
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
