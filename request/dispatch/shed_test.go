package dispatch

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/overload"
	"github.com/pomelospool/pomelospool/version/route"
)

// longCall returns a call whose prompt takes about 0.8 s of prefill, with a deadline of
// 8 s. Its caller leaves after 2 s.
func (h *harness) longCall() *Call {
	c := h.newCall(route.Stream, 2, 8*time.Second)
	c.Deadline = c.Arrived.Add(8 * time.Second)
	c.Meta.PromptTokens = 26_000
	return c
}

// Guards against a call that waits for an engine that never answers until after its
// caller has left, and against another prefill for it. A rejection must be certain: a
// prefill is no run.
func TestPrefillIsCancelledWhenItIsOfNoUse(t *testing.T) {
	for _, on := range []bool{true, false} {
		withHarness(t, 100, func(t *testing.T, h *harness) {
			h.runner.opts.ShedEarly = on
			a, b := h.addTarget("llm", port.RolePrefill), h.addTarget("llm", port.RolePrefill)
			h.addTarget("llm", port.RoleDecode)
			for _, p := range []*standin.Target{a, b} {
				p.Set(func(b *standin.Behaviour) { b.NoAnswer = true })
			}
			c := h.longCall()
			trace, err := h.runner.Streamed(t.Context(), c, &recorder{})
			took := time.Since(c.Arrived)
			if inTime := took <= 2*time.Second && trace.Sends == 1; inTime != on {
				t.Errorf("shed early %v: ended after %v and %d sends: %v", on, took, trace.Sends, err)
			}
			if on && code.Of(err) != code.NoTarget {
				t.Errorf("shed early %v: %v", on, err)
			}
			if cancelled := trace.Targets[0]; on && (h.runner.opts.Health.Ejected(cancelled) || h.runner.opts.Health.FailureRate(cancelled) == 0) {
				t.Error("the engine must get fewer prompts, but may only have a long queue")
			}
		})
	}
}

// Guards against a queue at the engines in which a call without an objective waits
// until its caller has left, and against the refusal of a stream that a caller has a
// part of.
func TestCallIsRejectedIfItsCallerWillHaveLeft(t *testing.T) {
	for _, on := range []bool{true, false} {
		withHarness(t, 0, func(t *testing.T, h *harness) {
			h.runner.opts.ShedEarly = on
			h.addTarget("llm", port.RolePrefill)
			h.addTarget("llm", port.RoleDecode)
			h.runner.opts.Engines.Prefill("llm0", 1000, nil, 0, 2500*time.Millisecond)
			c := h.longCall()
			c.Route.Objective = 0
			trace, err := h.runner.Streamed(t.Context(), c, &recorder{})
			if rejected := code.Of(err) == code.Overloaded && trace.Sends == 0; rejected != on {
				t.Errorf("shed early %v: %d sends, %v", on, trace.Sends, err)
			}
			if on && (trace.UsefulFor != 2*time.Second || trace.PredictedWait < 2*time.Second) {
				t.Errorf("inputs for the log: %+v", trace)
			}
			c = h.longCall()
			c.Meta.LastEventID, c.Route.Resumable = "1", true
			if trace, err := h.runner.Streamed(t.Context(), c, &recorder{}); code.Of(err) == code.Overloaded {
				t.Errorf("shed early %v: a stream that goes on: %d sends, %v", on, trace.Sends, err)
			}
		})
	}
}

// Guards against a call that no engine can serve in time and that is sent again after
// 100 ms, since nothing is queued.
func TestCallThatIsTooLongForAnyEngineReturnsLater(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.runner.opts.ShedEarly = true
		h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode)
		c := h.longCall()
		c.Meta.PromptTokens = 250_000
		_, err := h.runner.Streamed(t.Context(), c, &recorder{})
		e := &code.Error{}
		if !errors.As(err, &e) || e.Code != code.Overloaded || e.RetryAfter < 500*time.Millisecond {
			t.Errorf("%v, returns after %v", err, e.RetryAfter)
		}
	})
}

// Guards against a caller that returns before a decoding engine has a free slot, since
// nothing is queued at the prefill engines.
func TestRejectedCallReturnsWhenSlotsAreFree(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.runner.opts.ShedEarly = true
		h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode)
		h.speed.Merge([]speed.Update{{Service: engines.Hash("llm"), PerToken: 23e3, SlotTimeUs: 4_000_000, Prompts: 1000}})
		for range 4 {
			h.runner.opts.Engines.Decode("llm1", 0, nil, 0)
		}
		for i := range 20 {
			c := h.newCall(route.Stream, 1, 3*time.Second)
			c.Meta.RequestID = strconv.Itoa(i)
			trace, err := h.runner.Streamed(t.Context(), c, &recorder{})
			e := &code.Error{}
			if !errors.As(err, &e) || e.Code != code.Overloaded || e.RetryAfter < time.Second {
				t.Errorf("%v, returns after %v, predicted wait %v", err, e.RetryAfter, trace.PredictedWait)
			}
		}
	})
}

// Guards against long prompts at engines that are reserved for short ones, against
// engines reserved while the setting is off, and against a prompt that counts again
// when it is sent again.
func TestLongPromptsAvoidReservedEngines(t *testing.T) {
	for _, on := range []bool{true, false} {
		withHarness(t, 0, func(t *testing.T, h *harness) {
			h.runner.opts.ShedEarly = on
			for i := range 8 {
				h.addTarget("llm", port.RolePrefill)
				h.runner.opts.Engines.Prefill("llm"+strconv.Itoa(i), 1000, nil, 0, 400*time.Millisecond)
			}
			h.addTarget("llm", port.RoleDecode)
			mix := h.runner.mix("llm")
			for range 1000 {
				mix.Record(time.Now(), 20*time.Millisecond, 500*time.Millisecond)
				mix.Record(time.Now(), 40*time.Millisecond, 500*time.Millisecond)
			}
			share := func() float64 { return mix.Reservation(time.Second, []time.Duration{time.Second}) }
			x := h.runner.newExecution(h.newCall(route.Stream, 1, 3*time.Second))
			est := h.speed.Estimates("llm")
			for _, sends := range []int{1, 0} {
				before := share()
				x.trace.Sends = sends
				ch := x.choosePrefill(t.Context(), x.prompt(), est)
				if recorded := share() != before; recorded != (on && sends == 0) {
					t.Errorf("shed early %v, %d sends: recorded %v", on, sends, recorded)
				}
				if n := x.trace.Reserved; (n > 0 && n < 8) != on {
					t.Errorf("shed early %v: %d of 8 engines are reserved", on, n)
				}
				if on && overload.Reserved(engines.Hash(ch.engine.ID), 1./3) {
					t.Errorf("chose the reserved engine %s", ch.engine.ID)
				}
			}
		})
	}
}

// Guards against a caller that returns before the prefill engines' queues end.
func TestRejectedCallReturnsWhenQueuesEnd(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.runner.opts.ShedEarly = true
		h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode)
		h.runner.opts.Engines.Prefill("llm0", 1000, nil, 0, time.Second)
		for i := range 20 {
			c := h.newCall(route.Stream, 1, 3*time.Second)
			c.Meta.RequestID = strconv.Itoa(i)
			_, err := h.runner.Streamed(t.Context(), c, &recorder{})
			e := &code.Error{}
			if !errors.As(err, &e) || e.Code != code.Overloaded || e.RetryAfter < time.Second {
				t.Errorf("%v, returns after %v", err, e.RetryAfter)
			}
		}
	})
}

// Guards against a send after which the first event is of no use, against a prefill that
// is cancelled only after its caller has left, and against the end of streams of which
// callers have a part.
func TestSendsThatAreOfNoUse(t *testing.T) {
	for _, on := range []bool{true, false} {
		withHarness(t, 100, func(t *testing.T, h *harness) {
			h.runner.opts.ShedEarly = on
			h.addTarget("llm", port.RoleDecode)
			f := newFailure(failure.NotRun, "llm0", errNotRun)
			x := h.runner.newExecution(h.longCall())
			timeout, shortened := x.limitToUseful(5*time.Second, 40*time.Millisecond)
			if want := 1960 * time.Millisecond; shortened != on || on && timeout != want {
				t.Errorf("shed early %v: timeout %v, shortened %v", on, timeout, shortened)
			}
			time.Sleep(1950 * time.Millisecond)
			if !x.mayRetry(t.Context(), f, 1) {
				t.Errorf("shed early %v: no retry in time", on)
			}
			time.Sleep(30 * time.Millisecond)
			if x.mayRetry(t.Context(), f, 1) == on {
				t.Errorf("shed early %v: retry %v", on, !on)
			}
			x.trace.AnswerStarted = true
			if !x.mayRetry(t.Context(), f, 1) {
				t.Errorf("shed early %v: a stream of which the caller has a part ends", on)
			}
			x.trace.AnswerStarted, x.began = false, true
			if !x.mayRetry(t.Context(), f, 1) {
				t.Errorf("shed early %v: a stream that has begun ends", on)
			}
		})
	}
}
