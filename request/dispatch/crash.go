package dispatch

import (
	"errors"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

// Quarantine tracks which content is in flight at which target, and which of it
// crashes targets.
type Quarantine interface {
	// CheckContent returns the verdict on a request and the parts of its prompt.
	// Only quarantine.Convicted keeps them from being sent.
	CheckContent(quarantine.Content) quarantine.Ruling
	BeginRun(content quarantine.Content, target string) *quarantine.Run
	// Hold returns a function that records a crash of the target with the content
	// in flight there now, or nil if there is none.
	Hold(target string) (confirm func(quarantine.Evidence))
}

// maxQuarantineRetry bounds the delay after which callers of quarantined content
// are asked to retry.
const maxQuarantineRetry = 10 * time.Minute

// content returns what may crash the targets of a call: the call as a whole and the
// parts that its prompt may share with others, which are all but the last one.
func (r *Runner) content(c *Call) quarantine.Content {
	if r.opts.Quarantine == nil {
		return quarantine.Content{}
	}
	request := quarantine.Request{Caller: c.Organisation, Scope: c.Host, Method: c.Method, Path: c.URI, Body: c.Body}
	out := quarantine.Content{Service: c.Service.Name, Request: request.Fingerprint()}
	parts := c.Meta.PromptParts
	for _, part := range parts[:min(max(len(parts)-1, 0), quarantine.MaxParts)] {
		p := quarantine.Part{Caller: c.Organisation, Service: c.Service.Name, ID: part.ID}
		out.Parts = append(out.Parts, p.Fingerprint())
	}
	return out
}

// checkContent returns the error of a call whose content crashes targets, or nil.
func (x *execution) checkContent() error {
	if x.opts.Quarantine == nil {
		return nil
	}
	ruling := x.opts.Quarantine.CheckContent(x.content)
	if ruling.Verdict != quarantine.Convicted {
		return nil
	}
	x.trace.Quarantined = &ruling
	if x.possibleRuns > 0 || x.budget.MayHaveSent() {
		return code.New(code.TargetFailed, "the content is in quarantine, after %d sends", x.trace.Sends)
	}
	counts.Add("quarantined", 1)
	return code.New(code.ContentQuarantined, "").WithRetryAfter(min(ruling.Left, maxQuarantineRetry))
}

// run is a send that goes on.
type run struct {
	*quarantine.Run
	target     port.TargetEntry
	began      time.Time
	isReceived bool // the target has received the request
}

// received records that the target has received the request. r may be nil.
func (r *run) received() {
	if r != nil {
		r.isReceived = true
	}
}

// accepted records that the target has sent the status line. r may be nil.
func (r *run) accepted() {
	if r != nil {
		r.isReceived = true
		r.Accepted()
	}
}

// beginRun records that the content is sent to a target.
func (x *execution) beginRun(target port.TargetEntry) {
	x.leaveRun()
	if x.opts.Quarantine != nil {
		x.running = &run{Run: x.opts.Quarantine.BeginRun(x.content, target.ID), target: target, began: time.Now()}
	}
}

// takeRun returns the run that goes on, or nil, and marks it as ended.
func (x *execution) takeRun() *run {
	r := x.running
	x.running = nil
	return r
}

// recordWriting records that the target has written a part of the answer.
func (x *execution) recordWriting() {
	if x.running != nil {
		x.running.Wrote()
	}
}

// completeRun records that the content was answered.
func (x *execution) completeRun() {
	if r := x.takeRun(); r != nil {
		r.End()
	}
}

// leaveRun records the end of a run without an answer for the caller, such as a
// prefill.
func (x *execution) leaveRun() {
	if r := x.takeRun(); r != nil {
		r.Broken()
	}
}

// recordReceipt records whether the target received a request that wasn't answered.
// It did if it ended the connection, or if the connection was new. A target that
// was unreachable before looks the same on a kept connection as one that crashes now.
func (x *execution) recordReceipt(err error) {
	var e *h1.Error
	if !errors.As(err, &e) || !e.Written || e.Unacknowledged {
		return
	}
	ended := failure.EndedByTarget(err)
	switch {
	case x.running == nil:
	case ended && time.Since(x.running.began) >= minRunTime:
		x.running.accepted()
	case e.Dialed || ended:
		x.running.received()
	}
}

// minRunTime is the least time after which the reset of a connection shows that the
// target had accepted the request. A VM without the target's process, and what stands
// before it, resets connections sooner.
const minRunTime = 30 * time.Millisecond

// failRun records the end of a failed run. A run that ends without an answer, or a
// target that can't be reached, may mean that the target crashed.
func (x *execution) failRun(f *sendFailure) {
	r := x.takeRun()
	if r == nil {
		return
	}
	if f.Class == failure.NotRun || f.Unwritten || !r.isReceived {
		r.NotReceived()
	} else {
		r.Broken()
	}
	if x.mayHaveCrashed(f, r) {
		x.verify(&r.target)
	}
}

// mayHaveCrashed reports whether a failed send is a sign that the target has ended.
func (x *execution) mayHaveCrashed(f *sendFailure, r *run) bool {
	switch {
	case f.Class == failure.NotRun:
		return errors.Is(f.Err, errWrongTarget)
	case f.Unwritten:
		return f.Class == failure.NotWritten
	case f.Class == failure.NoAnswer || f.Class == failure.Cut:
		return true
	case f.Class == failure.Late || f.Class == failure.CallerGone || f.Class == failure.Stalled:
		return !x.trace.AnswerStarted && !x.opts.Engines.ReachedSince(r.target.ID, r.began)
	}
	return false
}
