package dispatch

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/engines"
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
	// Crashed records that the target's process has ended.
	Crashed(target string)
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
			x.targetEnded(target)
		}
	default:
		x.opts.Quarantine.Broken(x.content, target.ID)
		if f.Class == failure.NoAnswer || f.Class == failure.Cut {
			go x.verify(target)
		}
	}
}

// verify looks whether a target that broke a connection off accepts new ones. One
// that refuses them has ended: a cut of the network drops them.
func (x *execution) verify(target *port.TargetEntry) {
	if !x.startVerify(target.ID) {
		return
	}
	defer x.endVerify(target.ID)
	if err := x.opts.Pool.Probe(context.Background(), target.Addr); errors.Is(err, syscall.ECONNREFUSED) {
		x.targetEnded(target)
	}
}

func (r *Runner) startVerify(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.verifying[target] {
		return false
	}
	r.verifying[target] = true
	return true
}

func (r *Runner) endVerify(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.verifying, target)
}

// targetEnded reports a crash, unless the target was about to leave or this
// process has lost its links to all targets.
func (x *execution) targetEnded(target *port.TargetEntry) {
	service := x.call.Service.Name
	e := x.opts.Targets.Targets(service).All().Lookup(engines.Hash(target.ID))
	if e != nil && e.Leaving || x.opts.Links.Confirmed(service) {
		return
	}
	x.opts.Quarantine.Crashed(target.ID)
}
