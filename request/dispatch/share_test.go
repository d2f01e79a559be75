package dispatch

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/connection/shares"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// withFlood makes the runner limit organisations, of which "flood" is over its
// share of both services.
func (h *harness) withFlood() {
	tr := shares.New(time.Now)
	for _, service := range []string{"llm", "app"} {
		tr.Record(service, "flood", 10*time.Second, true)
		tr.Record(service, "flood", 100*time.Second, false)
		tr.Record(service, "small", time.Second, true)
		tr.Record(service, "small", time.Second, false)
	}
	h.runner.opts.Shares, h.runner.opts.Origins = tr, knownOrigin{h.runner.opts.Origins}
}

// knownOrigin is Origins in which all streams began at targets without a version.
type knownOrigin struct{ Origins }

func (knownOrigin) Find(context.Context, origin.Stream) (string, origin.Source) {
	return "", origin.FromOnlyVersion
}

// shareCases are calls of which only those of an organisation over its share may
// be rejected, and only if they are new and this daemon has not been handed them.
var shareCases = []struct {
	name string
	full bool
	set  func(c *Call)
	want code.Code
}{
	{"over its share", true, func(c *Call) { c.Organisation = "flood" }, code.OrgOverShare},
	{"over its share, room", false, func(c *Call) { c.Organisation = "flood" }, code.OK},
	{"within its share", true, func(c *Call) { c.Organisation = "small" }, code.OK},
	{"new organisation", true, func(c *Call) { c.Organisation = "new" }, code.OK},
	{"no organisation", true, func(*Call) {}, code.OK},
	{"takes up a stream", true, func(c *Call) { c.Organisation, c.Meta.LastEventID = "flood", "1" }, code.OK},
	{"forwarded", true, func(c *Call) { c.Organisation, c.Forwarded = "flood", true }, code.OK},
}

// Guards against a flood that takes the waiting time or the slots that
// organisations within their share need, against rejections of any other call, and
// against a rejection that isn't truthful or doesn't state when to come back.
func TestCallsOverShare(t *testing.T) {
	for _, tc := range shareCases {
		withHarness(t, 0, func(t *testing.T, h *harness) {
			targets := []*standin.Target{h.addTarget("llm", port.RolePrefill), h.addTarget("llm", port.RoleDecode), h.addTarget("app", ""), h.addTarget("app", "")}
			h.withFlood()
			wait, inUse := 200*time.Millisecond, 5 // of 376 ms in which the call would be on time, and of 8 slots
			if tc.full {
				wait, inUse = 330*time.Millisecond, 6
			}
			h.runner.opts.Engines.Prefill("llm0", 1000, nil, 0, wait)
			for range inUse {
				h.runner.opts.Engines.Decode("app0", 0, nil, 0)
			}
			stream, plain := h.newCall(route.Stream, 2, 3*time.Second), h.newCall(route.Safe, 2, 3*time.Second)
			tc.set(stream)
			tc.set(plain)
			_, err := h.runner.Streamed(t.Context(), stream, &recorder{})
			_, _, plainErr := h.runner.Plain(t.Context(), plain)
			received := 0
			for _, target := range targets {
				received += len(target.ReceivedRequests())
			}
			for _, err := range []error{err, plainErr} {
				if code.Of(err) != tc.want {
					t.Errorf("%s: %v", tc.name, err)
				}
				if e, ok := err.(*code.Error); ok && (!e.Code.Info().NotRun || e.RetryAfter < minRetryDelay || received != 0) {
					t.Errorf("%s: %v, %d requests received, retry after %v", tc.name, err, received, e.RetryAfter)
				}
			}
		})
	}
}

// Guards against a rejection for a share after a target has received the call:
// the slots fill up while the call is at the first target, which rejects it.
func TestNoShareRejectionAfterASend(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		a, b := h.addTarget("app", ""), h.addTarget("app", "")
		h.withFlood()
		sheds := 0
		shed := func(int) bool {
			for range 8 {
				h.runner.opts.Engines.Decode("app0", 0, nil, 0)
			}
			sheds++
			return sheds == 1
		}
		for _, target := range []*standin.Target{a, b} {
			target.Set(func(b *standin.Behaviour) { b.Shed = shed })
		}
		c := h.newCall(route.Safe, 2, 3*time.Second)
		c.Organisation = "flood"
		got, trace, err := h.runner.Plain(t.Context(), c)
		if err != nil || got.Status != 200 || trace.Sends != 2 || runCount(a, b) != 1 {
			t.Errorf("%d sends, %d runs, answer %+v, %v", trace.Sends, runCount(a, b), got, err)
		}
	})
}

// Guards against usage that isn't recorded: rejected calls count as demand, and
// plain calls by the time that their targets took before.
func TestUsageIsRecorded(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.addTarget("app", "").Set(func(b *standin.Behaviour) { b.Gap = 200 * time.Millisecond })
		tr := shares.New(time.Now)
		h.runner.opts.Shares = tr
		for range 2 {
			c := h.newCall(route.Safe, 1, 3*time.Second)
			c.Organisation = "a"
			if _, _, err := h.runner.Plain(t.Context(), c); err != nil {
				t.Fatal(err)
			}
		}
		rows := tr.Summary().Sum()
		if len(rows) != 1 || rows[0].Used != rows[0].Asked || rows[0].Used < 0.029 || rows[0].Used > 0.032 {
			t.Errorf("usage %+v, want 50 and 200 ms in 8 s", rows)
		}
	})
}

// Guards against streams of plain targets that count with the assumed time of a
// call, however long they take: one organisation's streams would hold the targets
// of the others.
func TestUsageOfPlainStreamsIsTheirTime(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.addTarget("app", "").Set(func(b *standin.Behaviour) { b.Gap, b.Streamed, b.Events = 200*time.Millisecond, true, 3 })
		tr := shares.New(time.Now)
		h.runner.opts.Shares, h.runner.opts.Origins = tr, knownOrigin{h.runner.opts.Origins}
		var took time.Duration
		for range 2 {
			c := h.newCall(route.Stream, 1, 3*time.Second)
			c.Service, c.Organisation = h.newCall(route.Safe, 1, time.Second).Service, "a"
			begun := time.Now()
			if _, err := h.runner.Streamed(t.Context(), c, &recorder{}); err != nil {
				t.Fatal(err)
			}
			took = time.Since(begun)
		}
		rows, want := tr.Summary().Sum(), (defaultPlainTime+took).Seconds()/8
		if len(rows) != 1 || took < 600*time.Millisecond || float64(rows[0].Used) < 0.8*want || float64(rows[0].Used) > 1.1*want {
			t.Errorf("usage %+v, want %v and %v in 8 s", rows, defaultPlainTime, took)
		}
	})
}

// Guards against usage of calls for which there was no target: the level would be
// too high once there are targets again.
func TestCallWithoutTargetUsesNothing(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		tr := shares.New(time.Now)
		h.runner.opts.Shares = tr
		c := h.newCall(route.Safe, 1, 3*time.Second)
		c.Organisation = "a"
		if _, _, err := h.runner.Plain(t.Context(), c); code.Of(err) != code.NoTarget {
			t.Fatal(err)
		}
		if rows := tr.Summary().Sum(); len(rows) > 0 && rows[0].Used != 0 {
			t.Errorf("usage %+v", rows)
		}
	})
}

// Guards against streams that aren't recorded with their engine time, and against
// rejected streams that count as usage.
func TestUsageOfStreams(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode)
		tr := shares.New(time.Now)
		h.runner.opts.Shares, h.runner.opts.Origins = tr, knownOrigin{h.runner.opts.Origins}
		est := h.runner.opts.Speed.Estimates("llm")
		call := func() (time.Duration, error) {
			c := h.newCall(route.Stream, 1, 3*time.Second)
			c.Organisation = "a"
			_, err := h.runner.Streamed(t.Context(), c, &recorder{})
			return est.PrefillTime(1460, 1460) + est.StreamDuration(c.Meta.MaxOutputTokens)/4, err
		}
		h.runner.opts.Engines.Prefill("llm0", 1000, nil, 0, time.Minute)
		cost, err := call()
		if code.Of(err) != code.Overloaded {
			t.Fatal(err)
		}
		rows, want := tr.Summary().Sum(), cost.Seconds()/8
		if len(rows) != 1 || math.Abs(float64(rows[0].Asked)-want) > 1e-4 || rows[0].Used != 0 {
			t.Errorf("usage %+v of a rejected stream, want %g asked", rows, want)
		}
	})
}

// Guards against calls that would be late at an idle engine too: their bound on the
// wait is another one, and their organisations must not pass it unlimited.
func TestLateCallsOverShare(t *testing.T) {
	for _, tc := range []struct {
		org  string
		wait time.Duration // of 24 ms with which the call is admitted
		want code.Code
	}{{"flood", 22 * time.Millisecond, code.OrgOverShare}, {"flood", 12 * time.Millisecond, code.OK}, {"small", 22 * time.Millisecond, code.OK}} {
		withHarness(t, 0, func(t *testing.T, h *harness) {
			h.addTarget("llm", port.RolePrefill)
			h.addTarget("llm", port.RoleDecode)
			h.withFlood()
			h.runner.opts.Engines.Prefill("llm0", 1000, nil, 0, tc.wait)
			c := h.newCall(route.Stream, 2, 3*time.Second)
			c.Organisation, c.Route.Objective = tc.org, 100*time.Millisecond
			if _, err := h.runner.Streamed(t.Context(), c, &recorder{}); code.Of(err) != tc.want {
				t.Errorf("%s, %v: %v, want %v", tc.org, tc.wait, err, tc.want)
			}
		})
	}
}
