package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

func (h *harness) runStream(ctx context.Context, resumable bool) (*recorder, Trace, error) {
	c := h.newCall(route.Stream, 2, 3*time.Second)
	c.Route.Resumable = resumable
	out := &recorder{}
	trace, err := h.runner.Streamed(ctx, c, out)
	return out, trace, err
}

func TestPrefillAndDecodeOnSeparateEngines(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		p, d := h.addTarget("llm", port.RolePrefill), h.addTarget("llm", port.RoleDecode)
		out, _, err := h.runStream(t.Context(), false)
		if err != nil || out.status != 200 || out.text != eventText(1, 3) {
			t.Fatalf("status %d, text %q, %v", out.status, out.text, err)
		}
		if a := p.ReceivedRequests(); len(a) != 1 || !a[0].Prefill || a[0].KV != "" || len(p.Ran()) != 0 {
			t.Errorf("prefill saw %+v", a)
		}
		if a := d.ReceivedRequests(); len(a) != 1 || a[0].Prefill || a[0].KV != "llm0/h1" || a[0].ExpectedTarget != "llm1" {
			t.Errorf("decode saw %+v", a)
		}
	})
}

// Without a prefill engine the decoding engine prefills the prompt itself.
func TestDecoderPrefillsWithoutPrefillEngine(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		d := h.addTarget("llm", port.RoleDecode)
		if out, _, err := h.runStream(t.Context(), false); err != nil || out.text != eventText(1, 3) || d.ReceivedRequests()[0].KV != "" {
			t.Errorf("text %q, %v", out.text, err)
		}
	})
}

// Guards against a cut stream that is relayed as a complete answer, and
// against joining the events of two runs of a call that must not be
// repeated.
func TestCutStreamIsReportedAsFailure(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RolePrefill)
		a, b := h.addTarget("llm", port.RoleDecode), h.addTarget("llm", port.RoleDecode)
		for _, d := range []*standin.Target{a, b} {
			d.Set(func(b *standin.Behaviour) { b.CutAfter = 2 })
		}
		out, _, err := h.runStream(t.Context(), false)
		if code.Of(err) != code.TargetFailed || out.text != eventText(1, 2) || runCount(a, b) != 1 {
			t.Errorf("text %q, %d runs, %v", out.text, runCount(a, b), err)
		}
	})
}

// A resumable stream continues on another engine after the last complete
// event, under the headers of the first answer.
func TestResumableStreamResumesOnAnotherEngine(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RolePrefill)
		a, b := h.addTarget("llm", port.RoleDecode), h.addTarget("llm", port.RoleDecode)
		cut := func(on int) func(*standin.Behaviour) {
			return func(b *standin.Behaviour) { b.Events, b.CutAfter = 5, on }
		}
		a.Set(cut(2))
		b.Set(cut(2))
		c := h.newCall(route.Stream, 2, 3*time.Second)
		c.Route.Resumable = true
		out := &repairingRecorder{after: 2, repair: func() { a.Set(cut(0)); b.Set(cut(0)) }}
		_, err := h.runner.Streamed(t.Context(), c, out)
		if err != nil || out.text != eventText(1, 5) {
			t.Errorf("text %q, %v", out.text, err)
		}
		last := ""
		for _, d := range []*standin.Target{a, b} {
			for _, arrival := range d.ReceivedRequests() {
				last += arrival.LastEvent
			}
		}
		if last != "2" || len(a.Ran()) != 1 || len(b.Ran()) != 1 {
			t.Errorf("resumed after %q; runs %v and %v", last, a.Ran(), b.Ran())
		}
	})
}

// repairingRecorder is a recorder that repairs the engines once it has
// received some events.
type repairingRecorder struct {
	recorder
	after  int
	repair func()
}

// Write implements Stream.
func (r *repairingRecorder) Write(events []byte) error {
	err := r.recorder.Write(events)
	if strings.Count(r.text, "\n\n") == r.after {
		r.repair()
	}
	return err
}

// Guards against KV cache that stays in memory after the call was rejected.
func TestRefusedDecodeReleasesKVCache(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode).Set(func(b *standin.Behaviour) { b.Refuse = true })
		_, _, err := h.runStream(t.Context(), false)
		if e, ok := err.(*code.Error); !ok || e.Code != code.NoTarget || e.RetryAfter <= 0 {
			t.Errorf("error %v", err)
		}
		if kv := <-h.released; kv.Handle != "h1" {
			t.Errorf("freed %+v", kv)
		}
	})
}

// A full engine doesn't consume the KV cache, so another one can use it.
func TestAnotherDecoderUsesTheSameKVCache(t *testing.T) {
	withHarness(t, 1, func(t *testing.T, h *harness) {
		p := h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode).Set(func(b *standin.Behaviour) { b.Refuse = true })
		h.addTarget("llm", port.RoleDecode)
		for range 3 {
			out, _, err := h.runStream(t.Context(), false)
			if err != nil || out.text != eventText(1, 3) {
				t.Fatalf("text %q, %v", out.text, err)
			}
		}
		if len(p.ReceivedRequests()) != 3 {
			t.Errorf("the prompt was prefilled %d times for 3 calls", len(p.ReceivedRequests()))
		}
	})
}

// Guards against a repeated prefill and decode, which are two sends, being
// charged to the retry budget as one. It happens when one of two decoding
// engines has crashed and the other rejects every call.
func TestSecondRoundIsChargedAsTwoSends(t *testing.T) {
	withHarness(t, 10, func(t *testing.T, h *harness) {
		p, d := h.addTarget("llm", port.RolePrefill), h.addTarget("llm", port.RoleDecode)
		d.Set(func(b *standin.Behaviour) { b.Refuse = true })
		const calls = 60
		for range calls {
			_, _, _ = h.runStream(t.Context(), true)
		}
		// The first accepted prefill and the first decode of a call aren't extra
		// sends; all others are.
		extra := 0
		if n := len(p.ReceivedRequests()); n > calls {
			extra += n - calls
		}
		if n := len(d.ReceivedRequests()); n > calls {
			extra += n - calls
		}
		if extra > 10 {
			t.Errorf("%d sends beyond the first, 10 allowed", extra)
		}
	})
}

// Guards against a second prefill that isn't charged because the decode after
// the first one wasn't sent.
func TestRepeatedPrefillIsChargedIfTheDecodeWasNotSent(t *testing.T) {
	cases := []struct {
		slack    float64
		prefills int
		code     code.Code
	}{{0, 1, code.NoTarget}, {1, 2, 0}}
	for _, tc := range cases {
		withHarness(t, tc.slack, func(t *testing.T, h *harness) {
			p := h.addTarget("llm", port.RolePrefill)
			h.addTarget("llm", port.RoleDecode)
			h.net.RefuseNext("llm1", 1)
			_, _, err := h.runStream(t.Context(), false)
			if code.Of(err) != tc.code || len(p.ReceivedRequests()) != tc.prefills {
				t.Errorf("with %v extra sends: %d prefills, want %d; error %v", tc.slack, len(p.ReceivedRequests()), tc.prefills, err)
			}
		})
	}
}

// Guards against prefilling a prompt when no engine decodes.
func TestCallWithoutDecoderIsRejectedBeforePrefill(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		p := h.addTarget("llm", port.RolePrefill)
		_, _, err := h.runStream(t.Context(), false)
		if code.Of(err) != code.NoTarget || len(p.ReceivedRequests()) != 0 {
			t.Errorf("%d prompts prefilled, %v", len(p.ReceivedRequests()), err)
		}
	})
}

// An engine that lost power or its network is detected only by a timeout. The
// prefill is repeated on another engine, since a prefill doesn't run the
// request.
func TestStalledPrefillIsRetriedOnAnotherEngine(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		a, b := h.addTarget("llm", port.RolePrefill), h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode)
		a.Set(func(b *standin.Behaviour) { b.NoAnswer = true })
		for range 4 {
			out, _, err := h.runStream(t.Context(), false)
			if err != nil || out.text != eventText(1, 3) {
				t.Fatalf("text %q, %v", out.text, err)
			}
		}
		if len(b.ReceivedRequests()) != 4 {
			t.Errorf("the healthy engine prefilled %d prompts", len(b.ReceivedRequests()))
		}
	})
}

// Calls that can't meet their objective because of a queue are rejected at
// once. Otherwise the queue makes every later call late as well.
func TestCallsThatWouldBeLateAreRejected(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		p := h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode)
		done := h.runner.opts.Engines.Prefill("llm0", 1000, nil, 0, 1500*time.Millisecond)
		_, trace, err := h.runStream(t.Context(), false)
		if e, ok := err.(*code.Error); !ok || e.Code != code.Overloaded || e.RetryAfter <= 0 || trace.Sends != 0 {
			t.Errorf("%d sends, error %v", trace.Sends, err)
		}
		done()
		if _, _, err := h.runStream(t.Context(), false); err != nil || len(p.ReceivedRequests()) != 1 {
			t.Errorf("error %v", err)
		}
	})
}

// The largest prompts can't meet the objective at any engine. They are
// served with the capacity that other calls leave.
func TestLargestPromptsGetLowestPriority(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		p := h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode)
		c := h.newCall(route.Stream, 1, 3*time.Second)
		c.Meta.PromptTokens = 60_000
		if _, err := h.runner.Streamed(t.Context(), c, &recorder{}); err != nil {
			t.Fatal(err)
		}
		if got := p.ReceivedRequests()[0].Priority; got != "9" {
			t.Errorf("priority %q", got)
		}
	})
}

// Guards against prompts that all go to one engine while no engine's speed
// is known, after the start of a fleet or a power loss. It happens if a
// prompt counts as no work. It also guards against rejecting calls because
// of a time that is only assumed.
func TestPromptsSpreadBeforeAnySpeedIsKnown(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.runner.opts.Speed = speed.NewTracker()
		var prefillers []*standin.Target
		for range 3 {
			p := h.addTarget("llm", port.RolePrefill)
			p.Set(func(b *standin.Behaviour) { b.NoAnswer = true })
			prefillers = append(prefillers, p)
		}
		h.addTarget("llm", port.RoleDecode)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 30 {
			c := h.newCall(route.Stream, 1, 3*time.Second)
			c.Meta.PromptTokens = 14_600
			c.Meta.PromptParts = []port.PromptPart{{ID: uint64(i), Tokens: 14_600}}
			go func() { _, _ = h.runner.Streamed(ctx, c, &recorder{}) }()
			synctest.Wait()
		}
		for i, p := range prefillers {
			if n := len(p.ReceivedRequests()); n != 10 {
				t.Errorf("engine %d was given %d of 30 prompts", i, n)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// The engine must stop working once the caller has left.
func TestCallerThatLeavesStopsTheEngine(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RolePrefill)
		d := h.addTarget("llm", port.RoleDecode)
		d.Set(func(b *standin.Behaviour) { b.Gap = 200 * time.Millisecond })
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, cancel)
		out, _, err := h.runStream(ctx, false)
		synctest.Wait()
		if code.Of(err) != code.CallerGone || out.text != eventText(1, 1) || d.Abandoned() != 1 {
			t.Errorf("text %q, %d runs stopped, %v", out.text, d.Abandoned(), err)
		}
	})
}

func TestEventsAfter(t *testing.T) {
	cases := []struct {
		name, events, last, fresh, newest string
	}{
		{"all new", eventText(1, 3), "", eventText(1, 3), "3"},
		{"some had", eventText(1, 3), "2", eventText(3, 3), "3"},
		{"all had", eventText(1, 2), "2", "", "2"},
		{"no ids", "data: x\n\ndata: y\n\n", "2", "data: x\n\ndata: y\n\n", "2"},
		{"other line ends", "id: 3\r\ndata: x\r\n\r\n", "2", "id: 3\r\ndata: x\r\n\r\n", "3"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fresh, newest, n := eventsAfter([]byte(tc.events), tc.last)
			if string(fresh) != tc.fresh || newest != tc.newest || n != strings.Count(tc.events, "data:") {
				t.Errorf("fresh %q, newest %q, %d events", fresh, newest, n)
			}
		})
	}
}

// Guards against prefills for a decoding engine that other daemons have
// found unreachable.
func TestDecoderUnreachableFromPeersIsNotUsed(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		p := h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode)
		down := []engines.Work{{Target: engines.Hash("llm1"), Down: 1}}
		h.runner.opts.Engines.Merge("peer-1", down, nil)
		h.runner.opts.Engines.Merge("peer-2", down, nil)
		_, _, err := h.runStream(t.Context(), false)
		if code.Of(err) != code.NoTarget || len(p.ReceivedRequests()) != 0 {
			t.Errorf("%d prompts prefilled, %v", len(p.ReceivedRequests()), err)
		}
	})
}

// Guards against an empty success. An engine may answer a streamed request
// with an answer that isn't a stream; it must be relayed.
func TestNonStreamAnswerIsRelayed(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RoleDecode).Set(func(b *standin.Behaviour) { b.Reject = true })
		out, _, err := h.runStream(t.Context(), false)
		if err != nil || out.status != 422 || out.text != "rejected" {
			t.Errorf("status %d, text %q, %v", out.status, out.text, err)
		}
	})
}
