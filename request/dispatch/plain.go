package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/internal/fraction"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
)

const (
	// answerWaitFactor times the objective is how long an idempotent call
	// waits for the answer of one target before it is sent to another one. Without this
	// bound a target that hangs would hold the call until its deadline.
	answerWaitFactor = 2
	// minAnswerWait is the lower bound of that wait.
	minAnswerWait = 150 * time.Millisecond
)

// runPlain sends the call until there is an answer to relay.
func (x *execution) runPlain(ctx context.Context) (*Answer, error) {
	for {
		if err := x.checkContent(); err != nil {
			return nil, err
		}
		if err := x.refuseForwarded(); err != nil {
			return nil, err
		}
		if x.viaPeer() {
			return x.plainAtPeer(ctx)
		}
		to, ok := x.pickPlain()
		if !ok {
			return nil, x.noTargetError()
		}
		if err := x.enforcePlainShare(); err != nil {
			return nil, err
		}
		a, f := x.sendPlain(ctx, to)
		if f == nil {
			if a.Status < http.StatusMultipleChoices {
				x.recordWriting()
			}
			x.completeRun()
			x.recordSuccess(to.ID)
			return a, nil
		}
		x.recordFailure(f)
		if !x.mayRetry(ctx, f, f.sendCost()) {
			return x.finalAnswer(f)
		}
	}
}

func (x *execution) sendPlain(ctx context.Context, to port.TargetEntry) (*Answer, *sendFailure) {
	done := x.opts.Engines.Decode(to.ID, 0, nil, 0)
	defer done()
	s := outgoing{target: to, state: port.DispatchMeta{Priority: -1}}
	if x.call.Route.Idempotent() && x.possibleRuns+1 < x.call.Route.Attempts {
		s.headerTimeout = max(answerWaitFactor*x.call.Route.Objective, minAnswerWait)
	}
	sent := time.Now()
	resp, v, f := x.send(ctx, s)
	if f != nil {
		return nil, f
	}
	if !v.NotRun {
		x.markStarted(time.Since(sent))
	}
	a, f := x.readAnswer(ctx, to.ID, resp, v)
	if f != nil {
		return nil, f
	}
	if f = x.answerFailure(to.ID, a, v); f == nil {
		x.observePlainTime(time.Since(sent))
	}
	return a, f
}

// finalAnswer returns the target's own error answer if that is allowed.
//
// A status that callers take to mean "not run" isn't relayed from a target
// that ran the request, since the caller would send it again.
func (x *execution) finalAnswer(f *sendFailure) (*Answer, error) {
	if f.Class == failure.Failed && !impliesNotRun(f.answer.Status) {
		return f.answer, nil
	}
	if f.Class == failure.NotRun && f.answer != nil && f.answer.Status == http.StatusBadRequest && x.possibleRuns == 0 {
		return f.answer, nil
	}
	return nil, x.finalError(f)
}

func (x *execution) noTargetError() error {
	if x.lastFailure != nil {
		return x.finalError(x.lastFailure)
	}
	return code.New(code.NoTarget, "service %q has no target", x.call.Service.Name).WithRetryAfter(x.retryDelay(nil))
}

// The weights of the disadvantages of a target, as fractions of its slots.
const (
	failWeight = 2.0  // for a failure rate of 1
	zoneWeight = 0.05 // for another availability zone, which takes 0.5 ms more and is billed by the byte
	dialWeight = 0.05 // for a new connection, which takes a round trip and is billed
)

// pickPlain chooses the target with the least cost: the fraction of its
// slots in use and its weighted disadvantages.
func (x *execution) pickPlain() (port.TargetEntry, bool) {
	best := -1
	reuse := x.connReuse(outgoing{})
	list := x.preferSettled(x.usable(x.sampleTargets("", nil, x.opts.Zone), nil))
	costs := make([]float64, len(list))
	for i, e := range list {
		cost := float64(e.load.Streams) / float64(max(e.Slots, 1))
		cost += failWeight * x.opts.Health.FailureRate(e.ID)
		if e.Zone != x.opts.Zone {
			cost += zoneWeight
		}
		if !x.opts.Pool.HasIdle(e.Addr, e.ID, reuse) {
			cost += dialWeight
		}
		cost += zoneWeight / 2 * hashFraction(x.call.Meta.RequestID, e.ID)
		costs[i] = cost
		if best < 0 || cost < costs[best] {
			best = i
		}
	}
	if best < 0 {
		return port.TargetEntry{}, false
	}
	return x.spreadPlain(list, costs, best), true
}

// hashFraction maps a call and a target to a number in [0,1), so that
// equally good targets share the calls.
func hashFraction(id, target string) float64 {
	return fraction.Of(engines.Hash(id) ^ engines.Hash(target))
}

// runPlainStream executes a streamed call at plain targets.
func (x *execution) runPlainStream(ctx context.Context, out Stream) error {
	for {
		if err := x.checkContent(); err != nil {
			return err
		}
		if err := x.refuseForwarded(); err != nil {
			return err
		}
		if x.viaPeer() {
			return x.streamAtPeer(ctx, out)
		}
		if err := x.findOrigin(ctx); err != nil {
			return err
		}
		if err := x.checkOriginServed(""); err != nil {
			return err
		}
		to, ok := x.pickPlain()
		if !ok {
			return x.noTargetError()
		}
		if err := x.enforcePlainShare(); err != nil {
			return err
		}
		f := x.streamPlain(ctx, to, out)
		if f == nil {
			x.recordSuccess(to.ID)
			return nil
		}
		x.recordFailure(f)
		if !x.mayRetry(ctx, f, f.sendCost()) {
			return x.finalError(f)
		}
	}
}

func (x *execution) streamPlain(ctx context.Context, to port.TargetEntry, out Stream) *sendFailure {
	done := x.opts.Engines.Decode(to.ID, 0, nil, 0)
	defer done()
	sent := time.Now()
	resp, v, f := x.send(ctx, outgoing{target: to, state: port.DispatchMeta{Priority: -1, LastEventID: x.lastID}})
	if f != nil {
		return f
	}
	if resp.Status != http.StatusOK || v.NotRun || !v.Signed {
		return x.relayNonStream(ctx, to.ID, resp, v, out)
	}
	x.budget.SentAll()
	whole := x.lastID == ""
	f = x.relay(ctx, to.ID, resp, v, out, streamHooks{first: func() {}, batch: func(int) {}})
	if f == nil && whole {
		x.observePlainTime(time.Since(sent))
	}
	return f
}
