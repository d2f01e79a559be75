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

// run is the state of one request over its attempts.
type run struct {
	*Runner
	q       *Request
	recv    Receiver
	route   routing.Request
	next    *routing.Decision
	result  Result
	last    *failure.Failure
	zone    string              // of the last failed target
	release func(finished bool) // of the claim on suspect content, or nil
	suspect bool                // may run only with the claim of its target
	held    []string            // targets that other suspect content has now
	handed  bool                // over from a prefill to a decode engine
	chosen  time.Time           // when the choice of the present target began

	unpredicted bool // nothing known of the target announced its last refusal
}

func (u *run) loop(ctx context.Context) error {
	for {
		err := u.checkContent(ctx)
		if u.shouldWait(err) && pause.For(ctx, claimPause) == nil {
			continue
		}
		if err != nil {
			return u.contentError(err)
		}
		u.chosen = u.opts.Now()
		p, err := u.place(ctx)
		if u.shouldWait(err) && pause.For(ctx, roomPause) == nil {
			continue
		}
		if err != nil {
			return u.noTarget(err)
		}
		progress := u.recv.Progress()
		f := u.attemptAt(ctx, p)
		if f == nil {
			return nil
		}
		if f.Class == failure.Handover {
			u.handOver(ctx, p.d)
			continue
		}
		u.note(f, p.t)
		if err := u.mayRepeat(ctx, f, u.recv.Progress() > progress); err != nil {
			return err
		}
	}
}

// shouldWait reports whether to wait for room. A request that was accepted and
// lost its target must not be refused because the targets left are full for a
// moment, or because it was in flight at a crash and has to run alone now; one
// that has not been tried is refused at once.
func (u *run) shouldWait(err error) bool {
	if err == nil || u.last == nil {
		return false
	}
	c := code.Of(err)
	return c == code.Overloaded || c == code.CrashSuspect
}

// attempt makes one try and keeps the quarantine's books about it. When the
// connection broke, the target is checked before the content is taken off the
// books: what was in flight at a death must still stand there.
func (u *run) attempt(ctx context.Context, t routing.Target, d routing.Decision) *failure.Failure {
	u.result.Attempts++
	tries.Add(1)
	u.result.Target = t.Name
	if u.opts.Quarantine != nil && u.q.Fingerprint != 0 {
		u.opts.Quarantine.Begin(u.q.Fingerprint, t.Name)
		defer u.opts.Quarantine.End(u.q.Fingerprint, t.Name)
	}
	u.moveKV(ctx, d.KVFrom, t.Name)
	p := plan{
		chosen: u.chosen,
		first:  max(u.opts.First, d.First*firstPatience),
		decode: d.Decode != "" && d.Decode != t.Name && !u.handed,
	}
	f, unpredicted := u.try(ctx, u.q, t, p, u.recv)
	u.unpredicted = unpredicted
	if f != nil && breaks(f) {
		vctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), verifyLimit)
		defer cancel()
		u.opts.Verify(vctx, t)
	}
	return f
}

// handOver sends the rest of the answer to the engine that routing chose for
// decoding, with the prompt's cache. It is no retry: nothing failed, and the
// tokens so far are kept.
func (u *run) handOver(ctx context.Context, d routing.Decision) {
	u.handed = true
	u.moveKV(ctx, d.Target, d.Decode)
	u.next = &routing.Decision{Target: d.Decode, First: d.First}
}

// moveKV moves the prompt's cache. Without it the engine computes the prompt
// anew, so a failure costs time only, and that is bounded.
func (u *run) moveKV(ctx context.Context, from, to string) {
	if from == "" || u.opts.KV == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, moveLimit)
	defer cancel()
	if err := u.opts.KV.Move(ctx, from, to, u.q.Route.Prefix); err != nil {
		log.WithFields(log.Fields{"request": u.q.ID, "from": from, "to": to}).WithError(err).Info("attempt: cache not moved")
	}
}

func (u *run) note(f *failure.Failure, t routing.Target) {
	failures.Add(f.Class.Metric(), 1)
	u.last = f
	u.zone = t.Zone
	u.result.Written = u.result.Written || !f.Unwritten
	u.route.Exclude = append(u.route.Exclude[:len(u.route.Exclude):len(u.route.Exclude)], t.Name)
	u.next = nil
	log.WithFields(log.Fields{
		"request": u.q.ID,
		"target":  t.Name,
		"class":   f.Class.String(),
		"cause":   f.Cause(),
	}).Info("attempt: failed")
}

// mayRepeat returns nil when another attempt is allowed. An attempt that
// passed tokens on is not drawn from the budget: its work is kept. Nor is the
// first refusal by a target that leaves or changes: it ran nothing, and the
// requests on their way to it at that moment must not be lost for want of
// budget. Once the refusal is known, going there again needs it.
func (u *run) mayRepeat(ctx context.Context, f *failure.Failure, progressed bool) error {
	doc := u.q.Service.Doc
	most := doc.Retry.Attempts
	if most <= 0 {
		most = defaultAttempts
	}
	if u.unpredicted {
		u.budgets.Count(doc.Service)
	}
	switch {
	case ctx.Err() != nil || !repeatable(f, u.q.Idempotent) || u.recv.Committed():
		return u.final(f)
	case u.result.Attempts >= most:
		return u.final(f)
	case !progressed && !u.unpredicted && !u.budgets.Take(doc.Service, doc.Retry.Budget):
		if !u.result.Written {
			return u.final(f)
		}
		return code.Wrap(code.RetryBudgetSpent, f, "after %d attempts", u.result.Attempts).After(retryAfter)
	}
	return nil
}

const retryAfter = time.Second

// final turns the last failure into the request's error.
func (u *run) final(f *failure.Failure) error {
	c := classCodes[f.Class]
	if c.Info().NotRun && u.result.Written {
		c = code.TargetFailed
	}
	e := code.Wrap(c, f, "after %d attempts", u.result.Attempts)
	if c.Info().NotRun {
		e.After(retryAfter)
	}
	return e
}

// noTarget handles a failed choice. After an attempt its failure says more,
// and if that was written, "no target" would claim that nothing ran.
func (u *run) noTarget(err error) error {
	if u.last != nil {
		return u.final(u.last)
	}
	return err
}

// checkContent refuses content that is convicted, and takes the claim for
// content under suspicion: it may run once at a time in the whole fleet.
func (u *run) checkContent(ctx context.Context) error {
	if u.opts.Quarantine == nil || u.q.Fingerprint == 0 {
		return nil
	}
	standing, left := u.opts.Quarantine.Check(u.q.Fingerprint)
	u.route.Alone = standing == quarantine.Suspect
	u.suspect = u.route.Alone || standing == quarantine.Watched
	switch standing {
	case quarantine.Convicted:
		return code.New(code.CrashConvicted, "").After(left)
	case quarantine.Suspect, quarantine.Watched:
		if !u.claim(ctx) {
			return code.New(code.CrashSuspect, "another run of the content goes on").After(retryAfter)
		}
	}
	return nil
}

// contentError passes on a refusal, which says that nothing ran, unless a
// target was written to before.
func (u *run) contentError(refusal error) error {
	if u.result.Written {
		return code.Wrap(code.TargetFailed, u.last, "the content is in quarantine")
	}
	return refusal
}

// claim takes the right to run suspect content, once for all attempts. The
// guard is against one content on several targets at a time: each of them
// would be lost before any daemon could tell the others.
func (u *run) claim(ctx context.Context) bool {
	claimer, ok := u.opts.Quarantine.(quarantine.Claimer)
	if !ok || u.release != nil {
		return true
	}
	u.release, ok = claimer.Claim(ctx, u.q.Fingerprint)
	return ok
}

// endClaim gives the claim back; a whole answer clears the content.
func (u *run) endClaim(whole bool) {
	if u.release != nil {
		u.release(whole)
	}
}
