package attempt

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
)

// run is the state of one request across its attempts.
type run struct {
	*Runner
	q                *Request
	recv             Receiver
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

	unpredicted bool // the last target refused, but was not known to refuse requests
}

func (u *run) loop(ctx context.Context) error {
	for {
		err := u.checkQuarantine(ctx)
		if u.shouldWait(err) && pause.For(ctx, claimRetryDelay) == nil {
			continue
		}
		if err != nil {
			return u.quarantineError(err)
		}
		u.chosenAt = u.opts.Now()
		p, err := u.place(ctx)
		if u.shouldWait(err) && pause.For(ctx, capacityRetryDelay) == nil {
			continue
		}
		if err != nil {
			return u.routeError(err)
		}
		progress := u.recv.Progress()
		f := u.attemptAndRelease(ctx, p)
		if f == nil {
			return nil
		}
		if f.Class == failure.Handover {
			u.handOver(ctx, p.decision)
			continue
		}
		u.recordFailure(f, p.target)
		if err := u.mayRepeat(ctx, f, u.recv.Progress() > progress); err != nil {
			return err
		}
	}
}

// shouldWait reports whether to wait for capacity or a claim and try again. A
// request that has been attempted must not be refused because the remaining
// targets are briefly full, or because it was in flight at a crash and now has
// to run alone. A request that has not been attempted is refused immediately.
func (u *run) shouldWait(err error) bool {
	if err == nil || u.lastFailure == nil {
		return false
	}
	c := code.Of(err)
	return c == code.Overloaded || c == code.CrashSuspect
}

// attempt makes one attempt and reports its start and end to the quarantine
// tracker. After a broken connection it verifies the target before it reports
// the end, because the tracker suspects only content that is in flight when the
// crash is reported.
func (u *run) attempt(ctx context.Context, t routing.Target, d routing.Decision) *failure.Failure {
	u.result.Attempts++
	attemptCount.Add(1)
	u.result.Target = t.Name
	if u.opts.Quarantine != nil && u.q.Fingerprint != 0 {
		u.opts.Quarantine.Begin(u.q.Fingerprint, t.Name)
		defer u.opts.Quarantine.End(u.q.Fingerprint, t.Name)
	}
	u.moveKV(ctx, d.KVSource, t.Name)
	p := attemptPlan{
		chosenAt:      u.chosenAt,
		headerTimeout: max(u.opts.MinHeaderTimeout, d.TimeToFirstToken*headerTimeoutFactor),
		handover:      d.DecodeTarget != "" && d.DecodeTarget != t.Name && !u.handedOver,
	}
	f, unpredicted := u.send(ctx, u.q, t, p, u.recv)
	u.unpredicted = unpredicted
	if f != nil && mayHaveCrashed(f) {
		vctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verifyTimeout)
		defer cancel()
		u.opts.Verify(vctx, t)
	}
	return f
}

// handOver prepares the next attempt to continue on the engine that routing
// chose for decoding, and transfers the prompt's KV cache there. It is no retry:
// nothing failed, and the tokens received so far are kept.
func (u *run) handOver(ctx context.Context, d routing.Decision) {
	u.handedOver = true
	u.moveKV(ctx, d.Target, d.DecodeTarget)
	u.nextDecision = &routing.Decision{Target: d.DecodeTarget, TimeToFirstToken: d.TimeToFirstToken}
}

// moveKV transfers the prompt's KV cache. If this fails, the engine computes the
// prompt again: the failure costs only time, bounded by kvMoveTimeout, and is only
// logged.
func (u *run) moveKV(ctx context.Context, from, to string) {
	if from == "" || u.opts.KV == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, kvMoveTimeout)
	defer cancel()
	if err := u.opts.KV.Move(ctx, from, to, u.q.Route.Prefix); err != nil {
		log.WithFields(log.Fields{"request": u.q.ID, "from": from, "to": to}).WithError(err).Info("attempt: KV cache transfer failed")
	}
}

func (u *run) recordFailure(f *failure.Failure, t routing.Target) {
	failureCounts.Add(f.Class.Metric(), 1)
	u.lastFailure = f
	u.failedZone = t.Zone
	u.result.Written = u.result.Written || !f.Unwritten
	u.route.Exclude = append(u.route.Exclude[:len(u.route.Exclude):len(u.route.Exclude)], t.Name)
	u.nextDecision = nil
	log.WithFields(log.Fields{
		"request": u.q.ID,
		"target":  t.Name,
		"class":   f.Class.String(),
		"cause":   f.Cause(),
	}).Info("attempt: failed")
}

// mayRepeat returns nil if another attempt is allowed, and the request's error
// otherwise. Two kinds of failed attempts don't use up the retry budget. One
// passed tokens to the caller, so its work is kept. The other was refused by a
// target that was not known to refuse requests, for example because it has just
// begun to leave or reconfigure: nothing ran, and requests on their way to such
// a target must not fail for lack of budget. Once the refusal is known, further
// refused attempts use up the budget.
func (u *run) mayRepeat(ctx context.Context, f *failure.Failure, progressed bool) error {
	doc := u.q.Service.Doc
	maxAttempts := doc.Retry.Attempts
	if maxAttempts <= 0 {
		maxAttempts = defaultAttempts
	}
	if u.unpredicted {
		u.budgets.Count(doc.Service)
	}
	switch {
	case ctx.Err() != nil || !repeatable(f, u.q.Idempotent) || u.recv.Committed():
		return u.finalError(f)
	case u.result.Attempts >= maxAttempts:
		return u.finalError(f)
	case !progressed && !u.unpredicted && !u.budgets.Take(doc.Service, doc.Retry.Budget):
		if !u.result.Written {
			return u.finalError(f)
		}
		return code.Wrap(code.RetryBudgetSpent, f, "after %d attempts", u.result.Attempts).WithRetryAfter(retryAfter)
	}
	return nil
}

const retryAfter = time.Second

// finalError returns the request's error for its last failure.
func (u *run) finalError(f *failure.Failure) error {
	c := classCodes[f.Class]
	if c.Info().NotRun && u.result.Written {
		c = code.TargetFailed
	}
	e := code.Wrap(c, f, "after %d attempts", u.result.Attempts)
	if c.Info().NotRun {
		e.WithRetryAfter(retryAfter)
	}
	return e
}

// routeError returns the request's error when no target could be selected. After
// an attempt it is the error of that attempt: it is more specific, and
// code.NoTarget would claim that nothing ran, which may be wrong.
func (u *run) routeError(err error) error {
	if u.lastFailure != nil {
		return u.finalError(u.lastFailure)
	}
	return err
}

// checkQuarantine refuses convicted content and claims suspect content, which may
// run only once at a time in the whole fleet.
func (u *run) checkQuarantine(ctx context.Context) error {
	if u.opts.Quarantine == nil || u.q.Fingerprint == 0 {
		return nil
	}
	verdict, left := u.opts.Quarantine.Check(u.q.Fingerprint)
	u.route.Exclusive = verdict == quarantine.Suspect
	u.suspect = u.route.Exclusive || verdict == quarantine.SuspectShared
	switch verdict {
	case quarantine.Convicted:
		return code.New(code.CrashConvicted, "").WithRetryAfter(left)
	case quarantine.Suspect, quarantine.SuspectShared:
		if !u.claim(ctx) {
			return code.New(code.CrashSuspect, "another run of the content goes on").WithRetryAfter(retryAfter)
		}
	}
	return nil
}

// quarantineError returns refusal, whose code says that nothing ran, or a
// different error if an earlier attempt was written to a target.
func (u *run) quarantineError(refusal error) error {
	if u.result.Written {
		return code.Wrap(code.TargetFailed, u.lastFailure, "the content is in quarantine")
	}
	return refusal
}

// claim claims the right to run suspect content, once for all attempts. It keeps
// the same content from running on several targets at a time, which could all
// crash before any daemon informs the others.
func (u *run) claim(ctx context.Context) bool {
	claimer, ok := u.opts.Quarantine.(quarantine.Claimer)
	if !ok || u.release != nil {
		return true
	}
	u.release, ok = claimer.Claim(ctx, u.q.Fingerprint)
	return ok
}

// releaseClaim releases the claim on suspect content. A complete answer clears
// the content.
func (u *run) releaseClaim(complete bool) {
	if u.release != nil {
		u.release(complete)
	}
}
