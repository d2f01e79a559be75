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

func (r *rig) stream(ctx context.Context, resumable bool) (*sheet, Trace, error) {
	c := r.call(route.Stream, 2, 3*time.Second)
	c.Route.Resumable = resumable
	out := &sheet{}
	trace, err := r.runner.Streamed(ctx, c, out)
	return out, trace, err
}

func TestPromptIsReadAndDecodedApart(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		p, d := r.add("llm", port.RolePrefill), r.add("llm", port.RoleDecode)
		out, _, err := r.stream(t.Context(), false)
		if err != nil || out.status != 200 || out.text != pieces(1, 3) {
			t.Fatalf("status %d, text %q, %v", out.status, out.text, err)
		}
		if a := p.Arrivals(); len(a) != 1 || !a[0].Prefill || a[0].KV != "" || len(p.Ran()) != 0 {
			t.Errorf("prefill saw %+v", a)
		}
		if a := d.Arrivals(); len(a) != 1 || a[0].Prefill || a[0].KV != "llm0/h1" || a[0].Expect != "llm1" {
			t.Errorf("decode saw %+v", a)
		}
	})
}

// Without an engine that reads prompts the decoding one reads it itself.
func TestDecoderReadsThePromptItself(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		d := r.add("llm", port.RoleDecode)
		if out, _, err := r.stream(t.Context(), false); err != nil || out.text != pieces(1, 3) || d.Arrivals()[0].KV != "" {
			t.Errorf("text %q, %v", out.text, err)
		}
	})
}

// A dispatcher reads half an answer as if it were all: the stream was cut and
// its end looked whole. Or two runs' pieces are joined, since it may not run
// again.
func TestCutStreamIsNoWholeAnswer(t *testing.T) {
	withRig(t, 100, func(t *testing.T, r *rig) {
		r.add("llm", port.RolePrefill)
		a, b := r.add("llm", port.RoleDecode), r.add("llm", port.RoleDecode)
		for _, d := range []*standin.Target{a, b} {
			d.Set(func(b *standin.Behaviour) { b.Cut = 2 })
		}
		out, _, err := r.stream(t.Context(), false)
		if code.Of(err) != code.TargetFailed || out.text != pieces(1, 2) || ran(a, b) != 1 {
			t.Errorf("text %q, %d runs, %v", out.text, ran(a, b), err)
		}
	})
}

// A stream that may be resumed goes on at another engine after the last whole
// event, under the headers of the first one.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	withRig(t, 100, func(t *testing.T, r *rig) {
		r.add("llm", port.RolePrefill)
		a, b := r.add("llm", port.RoleDecode), r.add("llm", port.RoleDecode)
		cut := func(on int) func(*standin.Behaviour) {
			return func(b *standin.Behaviour) { b.Events, b.Cut = 5, on }
		}
		a.Set(cut(2))
		b.Set(cut(2))
		c := r.call(route.Stream, 2, 3*time.Second)
		c.Route.Resumable = true
		out := &mend{after: 2, do: func() { a.Set(cut(0)); b.Set(cut(0)) }}
		_, err := r.runner.Streamed(t.Context(), c, out)
		if err != nil || out.text != pieces(1, 5) {
			t.Errorf("text %q, %v", out.text, err)
		}
		last := ""
		for _, d := range []*standin.Target{a, b} {
			for _, one := range d.Arrivals() {
				last += one.LastEvent
			}
		}
		if last != "2" || len(a.Ran()) != 1 || len(b.Ran()) != 1 {
			t.Errorf("resumed after %q; runs %v and %v", last, a.Ran(), b.Ran())
		}
	})
}

// mend is a sheet that mends the engines once it has some events.
type mend struct {
	sheet
	after int
	do    func()
}

// Write implements Stream.
func (m *mend) Write(events []byte) error {
	err := m.sheet.Write(events)
	if strings.Count(m.text, "\n\n") == m.after {
		m.do()
	}
	return err
}

// A caller is told "not run" and comes back; the KV cache that waits for it
// meanwhile takes memory from others.
func TestRefusedDecodeFreesTheCache(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		r.add("llm", port.RolePrefill)
		r.add("llm", port.RoleDecode).Set(func(b *standin.Behaviour) { b.Refuse = true })
		_, _, err := r.stream(t.Context(), false)
		if e, ok := err.(*code.Error); !ok || e.Code != code.NoTarget || e.RetryAfter <= 0 {
			t.Errorf("error %v", err)
		}
		if kv := <-r.freed; kv.Handle != "h1" {
			t.Errorf("freed %+v", kv)
		}
	})
}

// A full engine leaves the cache where it is: another one takes it.
func TestAnotherDecoderTakesTheCache(t *testing.T) {
	withRig(t, 1, func(t *testing.T, r *rig) {
		p := r.add("llm", port.RolePrefill)
		r.add("llm", port.RoleDecode).Set(func(b *standin.Behaviour) { b.Refuse = true })
		r.add("llm", port.RoleDecode)
		for range 3 {
			out, _, err := r.stream(t.Context(), false)
			if err != nil || out.text != pieces(1, 3) {
				t.Fatalf("text %q, %v", out.text, err)
			}
		}
		if len(p.Arrivals()) != 3 {
			t.Errorf("the prompt was read %d times for 3 calls", len(p.Arrivals()))
		}
	})
}

// One of two decoding engines crashed, the other's links were slow and it
// refused all. Each refused call had its prompt read again, which is two
// arrivals at engines and was charged to the budget as one.
func TestSecondRoundIsChargedAsTwoSends(t *testing.T) {
	withRig(t, 10, func(t *testing.T, r *rig) {
		p, d := r.add("llm", port.RolePrefill), r.add("llm", port.RoleDecode)
		d.Set(func(b *standin.Behaviour) { b.Refuse = true })
		const calls = 60
		for range calls {
			_, _, _ = r.stream(t.Context(), true)
		}
		// The first prefill that is accepted and the first decode of a call are
		// no extra sends; all others are.
		extra := 0
		if n := len(p.Arrivals()); n > calls {
			extra += n - calls
		}
		if n := len(d.Arrivals()); n > calls {
			extra += n - calls
		}
		if extra > 10 {
			t.Errorf("%d sends beyond the first, 10 allowed", extra)
		}
	})
}

// When no engine decodes, the prompt isn't read for nothing.
func TestNoDecoderIsToldBeforeThePromptIsRead(t *testing.T) {
	withRig(t, 100, func(t *testing.T, r *rig) {
		p := r.add("llm", port.RolePrefill)
		_, _, err := r.stream(t.Context(), false)
		if code.Of(err) != code.NoTarget || len(p.Arrivals()) != 0 {
			t.Errorf("%d prompts read, %v", len(p.Arrivals()), err)
		}
	})
}

// A dark engine shows in nothing but silence: the prompt is read elsewhere, as
// reading it runs nothing.
func TestSilentPrefillGoesElsewhere(t *testing.T) {
	withRig(t, 100, func(t *testing.T, r *rig) {
		a, b := r.add("llm", port.RolePrefill), r.add("llm", port.RolePrefill)
		r.add("llm", port.RoleDecode)
		a.Set(func(b *standin.Behaviour) { b.Mute = true })
		for range 4 {
			out, _, err := r.stream(t.Context(), false)
			if err != nil || out.text != pieces(1, 3) {
				t.Fatalf("text %q, %v", out.text, err)
			}
		}
		if len(b.Arrivals()) != 4 {
			t.Errorf("the sound engine read %d prompts", len(b.Arrivals()))
		}
	})
}

// The longer a queue stands before the engines, the later every call behind
// it. Calls that can't make their objective are told so at once.
func TestCallsThatWouldBeLateAreRefused(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		p := r.add("llm", port.RolePrefill)
		r.add("llm", port.RoleDecode)
		done := r.runner.opts.Engines.Prefill("llm0", 1000, nil, 0, 1500*time.Millisecond)
		_, trace, err := r.stream(t.Context(), false)
		if e, ok := err.(*code.Error); !ok || e.Code != code.Overloaded || e.RetryAfter <= 0 || trace.Sends != 0 {
			t.Errorf("%d sends, error %v", trace.Sends, err)
		}
		done()
		if _, _, err := r.stream(t.Context(), false); err != nil || len(p.Arrivals()) != 1 {
			t.Errorf("error %v", err)
		}
	})
}

// The largest prompts can't make the objective at any engine; they are served
// with what the others leave.
func TestLargestPromptsAreServedLast(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		p := r.add("llm", port.RolePrefill)
		r.add("llm", port.RoleDecode)
		c := r.call(route.Stream, 1, 3*time.Second)
		c.Ask.Prompt = 60_000
		if _, err := r.runner.Streamed(t.Context(), c, &sheet{}); err != nil {
			t.Fatal(err)
		}
		if got := p.Arrivals()[0].Priority; got != "9" {
			t.Errorf("priority %q", got)
		}
	})
}

// A fleet has just started, or all of it lost its power, and its first callers
// wait for seconds at one engine while others are idle: no engine's speed is
// known, so no prompt counted as work. Nor is any refused by a time that is
// only assumed.
func TestPromptsSpreadBeforeAnySpeedIsKnown(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		r.runner.opts.Speed = speed.NewTracker()
		var readers []*standin.Target
		for range 3 {
			p := r.add("llm", port.RolePrefill)
			p.Set(func(b *standin.Behaviour) { b.Mute = true })
			readers = append(readers, p)
		}
		r.add("llm", port.RoleDecode)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 30 {
			c := r.call(route.Stream, 1, 3*time.Second)
			c.Ask.Prompt = 14_600
			c.Ask.Parts = []port.PromptPart{{ID: uint64(i), Tokens: 14_600}}
			go func() { _, _ = r.runner.Streamed(ctx, c, &sheet{}) }()
			synctest.Wait()
		}
		for i, p := range readers {
			if n := len(p.Arrivals()); n != 10 {
				t.Errorf("engine %d was given %d of 30 prompts", i, n)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// A caller leaves; the engine must not work on for nobody.
func TestCallerThatLeavesStopsTheEngine(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		r.add("llm", port.RolePrefill)
		d := r.add("llm", port.RoleDecode)
		d.Set(func(b *standin.Behaviour) { b.Gap = 200 * time.Millisecond })
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, cancel)
		out, _, err := r.stream(ctx, false)
		synctest.Wait()
		if code.Of(err) != code.CallerGone || out.text != pieces(1, 1) || d.Left() != 1 {
			t.Errorf("text %q, %d runs stopped, %v", out.text, d.Left(), err)
		}
	})
}

func TestEvents(t *testing.T) {
	cases := []struct {
		name, events, last, fresh, newest string
	}{
		{"all new", pieces(1, 3), "", pieces(1, 3), "3"},
		{"some had", pieces(1, 3), "2", pieces(3, 3), "3"},
		{"all had", pieces(1, 2), "2", "", "2"},
		{"no ids", "data: x\n\ndata: y\n\n", "2", "data: x\n\ndata: y\n\n", "2"},
		{"other line ends", "id: 3\r\ndata: x\r\n\r\n", "2", "id: 3\r\ndata: x\r\n\r\n", "3"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fresh, newest, n := after([]byte(tc.events), tc.last)
			if string(fresh) != tc.fresh || newest != tc.newest || n != strings.Count(tc.events, "data:") {
				t.Errorf("fresh %q, newest %q, %d events", fresh, newest, n)
			}
		})
	}
}

// Prompts are read for an engine that the other daemons know to be dark.
func TestDecoderThatOthersCantReachIsNotCountedOn(t *testing.T) {
	withRig(t, 100, func(t *testing.T, r *rig) {
		p := r.add("llm", port.RolePrefill)
		r.add("llm", port.RoleDecode)
		down := []engines.Work{{Target: engines.Hash("llm1"), Down: 1}}
		r.runner.opts.Engines.Merge("peer-1", down, nil)
		r.runner.opts.Engines.Merge("peer-2", down, nil)
		_, _, err := r.stream(t.Context(), false)
		if code.Of(err) != code.NoTarget || len(p.Arrivals()) != 0 {
			t.Errorf("%d prompts read, %v", len(p.Arrivals()), err)
		}
	})
}

// A caller gets an empty success. The engine answered a streamed request with
// an answer of its own that is no stream, and nothing of it was passed on.
func TestAnswerThatIsNoStreamIsPassedOn(t *testing.T) {
	withRig(t, 0, func(t *testing.T, r *rig) {
		r.add("llm", port.RoleDecode).Set(func(b *standin.Behaviour) { b.Reject = true })
		out, _, err := r.stream(t.Context(), false)
		if err != nil || out.status != 422 || out.text != "rejected" {
			t.Errorf("status %d, text %q, %v", out.status, out.text, err)
		}
	})
}
