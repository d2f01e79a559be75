package attempt

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
)

// run is the state of one request across its attempts.
type run struct {
	*Runner
	q                *Request
	recv             Receiver
	budget           *budget.Call
	route            routing.Request
	nextDecision     *routing.Decision
	result           Result
	lastFailure      *failure.Failure
	failedZone       string              // availability zone of the last failed target
	release          func(finished bool) // releases the claim on suspect content, or nil
	suspect          bool                // may run only on a target that it has claimed
	claimedElsewhere []string            // targets claimed by other suspect content
	handedOver       bool                // the prefill engine has handed over to the decode engine
	chosenAt         time.Time           // when the selection of the current target began

	version *string // model version that made the caller's first token; nil: it has none

	unpredicted bool // the last target refused, but was not known to refuse requests
}

func (r *run) loop(ctx context.Context) error {
	if r.q.Resumes {
		version, err := resumedVersion(r.q, r.opts.Targets.Targets(r.q.Service))
		if err != nil {
			return err
		}
		r.bindVersion(version)
	}
	for {
		err := r.checkQuarantine(ctx)
		if r.shouldWait(err) && pause.For(ctx, claimRetryDelay) == nil {
			continue
		}
		if err != nil {
			return r.quarantineError(err)
		}
		r.chosenAt = r.opts.Now()
		p, err := r.place(ctx)
		if r.shouldWait(err) && pause.For(ctx, capacityRetryDelay) == nil {
			continue
		}
		if err != nil {
			return r.routeError(err)
		}
		progress := r.recv.Progress()
		f := r.attemptAndRelease(ctx, p)
		if f == nil {
			return nil
		}
		if r.recv.Progress() > progress {
			r.bindVersion(p.target.Version)
		}
		if f.Class == failure.Handover {
			r.handOver(ctx, p.decision)
			continue
		}
		r.recordFailure(f, p.target)
		if err := r.mayRepeat(ctx, f, r.recv.Progress() > progress); err != nil {
			return err
		}
	}
}

// shouldWait reports whether to wait for capacity or a claim and try again. A
// request that has been attempted must not be refused because the remaining
// targets are briefly full, or because it was in flight at a crash and now has
// to run alone. A request that has not been attempted is refused immediately.
func (r *run) shouldWait(err error) bool {
	if err == nil || r.lastFailure == nil {
		return false
	}
	c := code.Of(err)
	return c == code.Overloaded || c == code.CrashSuspect
}

// attempt makes one attempt and reports its start and end to the quarantine
// tracker. After a broken connection it verifies the target before it reports
// the end, because the tracker suspects only content that is in flight when the
// crash is reported.
func (r *run) attempt(ctx context.Context, t routing.Target, d routing.Decision) *failure.Failure {
	r.result.Attempts++
	attemptCount.Add(1)
	r.result.Target = t.Name
	notReceived := func() {}
	if q := r.opts.Quarantine; q != nil && r.q.Fingerprint != (quarantine.Fingerprint{}) {
		q.Begin(r.q.Fingerprint, t.Name)
		var once sync.Once
		defer once.Do(func() { q.End(r.q.Fingerprint, t.Name) })
		if d, ok := q.(quarantine.Withdrawer); ok {
			notReceived = func() { once.Do(func() { d.NotReceived(r.q.Fingerprint, t.Name) }) }
		}
	}
	parts := r.beginParts(t.Name)
	r.moveKV(ctx, d.KVSource, t.Name)
	p := attemptPlan{
		chosenAt:      r.chosenAt,
		headerTimeout: max(r.opts.MinHeaderTimeout, d.TimeToFirstToken*headerTimeoutFactor),
		handover:      d.DecodeTarget != "" && d.DecodeTarget != t.Name && !r.handedOver,
		notReceived:   notReceived,
	}
	f, unpredicted := r.send(ctx, r.q, t, p, r.budget, r.recv)
	r.unpredicted = unpredicted
	parts.end(f)
	if f != nil && mayHaveCrashed(f) {
		vctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verifyTimeout)
		defer cancel()
		r.opts.Verify(vctx, t)
	}
	return f
}

// handOver prepares the next attempt to continue on the engine that routing
// chose for decoding, and transfers the prompt's KV cache there. It is no retry:
// nothing failed, and the tokens received so far are kept.
func (r *run) handOver(ctx context.Context, d routing.Decision) {
	r.handedOver = true
	r.moveKV(ctx, d.Target, d.DecodeTarget)
	r.nextDecision = &routing.Decision{Target: d.DecodeTarget, TimeToFirstToken: d.TimeToFirstToken}
}

// moveKV transfers the prompt's KV cache. If this fails, the engine computes the
// prompt again: the failure costs only time, bounded by kvMoveTimeout, and is only
// logged.
func (r *run) moveKV(ctx context.Context, from, to string) {
	if from == "" || r.opts.KV == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, kvMoveTimeout)
	defer cancel()
	if err := r.opts.KV.Move(ctx, from, to, r.q.Route.Prefix); err != nil {
		log.WithFields(log.Fields{"request": r.q.ID, "from": from, "to": to}).WithError(err).Info("attempt: KV cache transfer failed")
	}
}

func (r *run) recordFailure(f *failure.Failure, t routing.Target) {
	failureCounts.Add(f.Class.Metric(), 1)
	r.lastFailure = f
	r.failedZone = t.Zone
	r.result.Written = r.result.Written || !f.Unwritten
	r.route.Exclude = append(r.route.Exclude[:len(r.route.Exclude):len(r.route.Exclude)], t.Name)
	r.nextDecision = nil
	log.WithFields(log.Fields{
		"request": r.q.ID,
		"target":  t.Name,
		"class":   f.Class.String(),
		"cause":   f.Cause(),
	}).Info("attempt: failed")
}

// mayRepeat returns nil if another attempt is allowed, and the request's error
// otherwise.
func (r *run) mayRepeat(ctx context.Context, f *failure.Failure, progressed bool) error {
	doc := r.q.Service.Doc
	maxAttempts := doc.Retry.Attempts
	if maxAttempts <= 0 {
		maxAttempts = defaultAttempts
	}
	switch {
	case ctx.Err() != nil || !repeatable(f, r.q.Idempotent) || r.recv.Committed():
		return r.finalError(f)
	case !r.result.Written && r.opts.Links.Lost(doc.Service):
		return r.finalError(f) // the caller of Run can forward it at once
	case r.result.Attempts >= maxAttempts:
		return r.finalError(f)
	case !r.chargeRepeat(f, progressed):
		if !r.result.Written {
			return r.finalError(f)
		}
		return code.Wrap(code.RetryBudgetSpent, f, "after %d attempts", r.result.Attempts).WithRetryAfter(retryAfter)
	}
	return nil
}

// chargeRepeat takes another attempt from the retry budget and reports whether it
// may be made. A part of the budget is left to two kinds of attempts. One follows
// an attempt that passed tokens to the caller, so its work is kept. The other
// follows a refusal by a target that was not known to refuse requests, for example
// because it has just begun to leave or reconfigure: requests on their way to such
// a target fail last. Once the refusal is known, further refused attempts compete
// with all others.
func (r *run) chargeRepeat(f *failure.Failure, progressed bool) bool {
	if f.Unwritten {
		return true
	}
	take := r.budget.TakeDeferrable
	if progressed || r.unpredicted {
		take = r.budget.Take
	}
	allowed, _ := take(1)
	return allowed
}

const retryAfter = time.Second

// finalError returns the request's error for its last failure.
func (r *run) finalError(f *failure.Failure) error {
	c := classCodes[f.Class]
	if c.Info().NotRun && r.result.Written {
		c = code.TargetFailed
	}
	e := code.Wrap(c, f, "after %d attempts", r.result.Attempts)
	if c.Info().NotRun {
		e.WithRetryAfter(retryAfter)
	}
	return e
}

// routeError returns the request's error when no target could be selected. After
// an attempt it is the error of that attempt: it is more specific, and
// code.NoTarget would claim that nothing ran, which may be wrong.
func (r *run) routeError(err error) error {
	if r.lastFailure != nil {
		return r.finalError(r.lastFailure)
	}
	return err
}

// checkQuarantine refuses convicted content and claims suspect content, which may
// run only once at a time in the whole fleet.
func (r *run) checkQuarantine(ctx context.Context) error {
	if r.opts.Quarantine == nil || r.q.Fingerprint == (quarantine.Fingerprint{}) {
		return nil
	}
	if err := r.checkParts(); err != nil {
		return err
	}
	verdict, left := r.opts.Quarantine.Check(r.q.Fingerprint)
	r.route.Exclusive = verdict == quarantine.Suspect
	r.suspect = r.route.Exclusive || verdict == quarantine.SuspectShared
	switch verdict {
	case quarantine.Convicted:
		return code.New(code.CrashConvicted, "").WithRetryAfter(left)
	case quarantine.Suspect, quarantine.SuspectShared:
		if !r.claim(ctx) {
			return code.New(code.CrashSuspect, "another run of the content goes on").WithRetryAfter(retryAfter)
		}
	}
	return nil
}

// quarantineError returns refusal, whose code says that nothing ran, or a
// different error if an earlier attempt was written to a target.
func (r *run) quarantineError(refusal error) error {
	if r.result.Written {
		return code.Wrap(code.TargetFailed, r.lastFailure, "the content is in quarantine")
	}
	return refusal
}

// claim claims the right to run suspect content, once for all attempts. It keeps
// the same content from running on several targets at a time, which could all
// crash before any daemon informs the others.
func (r *run) claim(ctx context.Context) bool {
	claimer, ok := r.opts.Quarantine.(quarantine.Claimer)
	if !ok || r.release != nil {
		return true
	}
	r.release, ok = claimer.Claim(ctx, r.q.Fingerprint)
	return ok
}

// releaseClaim releases the claim on suspect content. A complete answer clears
// the content.
func (r *run) releaseClaim(complete bool) {
	if r.release != nil {
		r.release(complete)
	}
}
