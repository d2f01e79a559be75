package dispatch

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// newNamedCall is newCall with a request id.
func (h *harness) newNamedCall(kind route.Kind, id string) *Call {
	c := h.newCall(kind, 3, 3*time.Second)
	c.Meta.RequestID = id
	c.Header.Set("X-Pomelospool-Request-Id", id)
	return c
}

// execute runs a call of either kind.
func (h *harness) execute(c *Call) (status int, err error) {
	if c.Route.Kind == route.Stream {
		out := &recorder{}
		_, err = h.runner.Streamed(h.t.Context(), c, out)
		return out.status, err
	}
	a, _, err := h.runner.Plain(h.t.Context(), c)
	if a != nil {
		status = a.Status
	}
	return status, err
}

// runsOf returns how often the targets ran each request.
func runsOf(targets []*standin.Target) map[string]int {
	out := make(map[string]int)
	for _, t := range targets {
		for _, id := range t.Ran() {
			out[id]++
		}
	}
	return out
}

func isRejection(status int) bool { return status == http.StatusServiceUnavailable }

// copyCases are targets that send answers once more, late. Each request may run once
// unless it is safe.
var copyCases = map[string]struct {
	kind   route.Kind
	count  int // of the targets that run requests
	copies standin.Copies
}{
	"unsafe, one target":                 {kind: route.Unsafe, count: 1, copies: standin.Copies{Times: 2}},
	"unsafe, two targets":                {kind: route.Unsafe, count: 2},
	"unsafe, three targets":              {kind: route.Unsafe, count: 3},
	"unsafe, two targets, late":          {kind: route.Unsafe, count: 2, copies: standin.Copies{After: 2}},
	"unsafe, two targets, without id":    {kind: route.Unsafe, count: 2, copies: standin.Copies{Unnamed: true}},
	"stream, one decoder":                {kind: route.Stream, count: 1, copies: standin.Copies{Times: 2}},
	"stream, two decoders":               {kind: route.Stream, count: 2},
	"stream, two decoders, late":         {kind: route.Stream, count: 2, copies: standin.Copies{After: 2}},
	"stream, one decoder, without id":    {kind: route.Stream, count: 1, copies: standin.Copies{Unnamed: true, Times: 2}},
	"stream, two decoders, without id":   {kind: route.Stream, count: 2, copies: standin.Copies{Unnamed: true, After: 2}},
	"safe, one target":                   {kind: route.Safe, count: 1, copies: standin.Copies{Times: 2}},
	"safe, two targets, late without id": {kind: route.Safe, count: 2, copies: standin.Copies{Unnamed: true, After: 2}},
}

// Guards against a late copy of a rejection that is taken for the answer to another
// send, so that a request is refused though it runs, or runs at a second target.
func TestRepeatedRejectionsAreNoAnswers(t *testing.T) {
	for name, tc := range copyCases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 1000, func(t *testing.T, h *harness) {
				const requests = 20
				tc.copies.Of = isRejection
				var targets []*standin.Target
				service, role := "app", port.Role("")
				if tc.kind == route.Stream {
					h.addTarget("llm", port.RolePrefill)
					service, role = "llm", port.RoleDecode
				}
				for range tc.count {
					target := h.addTarget(service, role)
					target.Set(func(b *standin.Behaviour) {
						b.Shed = func(n int) bool { return n == 1 }
						b.Copies = &tc.copies
						b.Gap = time.Millisecond
					})
					targets = append(targets, target)
				}
				refused := make(map[string]bool)
				for i := range requests {
					id := fmt.Sprint("r", i)
					_, err := h.execute(h.newNamedCall(tc.kind, id))
					refused[id] = err != nil && code.Of(err).Info().NotRun
				}
				h.runner.opts.Pool.Close()
				_ = pause.For(t.Context(), time.Second) // runs that go on
				untrue, twice := 0, 0
				for id, n := range runsOf(targets) {
					if refused[id] {
						untrue++
					}
					if n > 1 && tc.kind != route.Safe {
						twice++
					}
				}
				if untrue+twice > 0 {
					t.Errorf("of %d requests %d were refused though they ran, %d ran twice", requests, untrue, twice)
				}
			})
		})
	}
}

// Guards against safety at the callers' cost: requests that targets reject are served by
// the next send, and few connections are opened for them.
func TestRejectedCallsAreServedOverFewConnections(t *testing.T) {
	cases := map[string]struct {
		kind    route.Kind
		copies  *standin.Copies
		unnamed bool // rejections
	}{
		"unsafe":                        {kind: route.Unsafe},
		"unsafe, copies":                {kind: route.Unsafe, copies: &standin.Copies{Of: isRejection}},
		"unsafe, rejections without id": {kind: route.Unsafe, unnamed: true},
		"safe, copies":                  {kind: route.Safe, copies: &standin.Copies{Of: isRejection}},
		"stream":                        {kind: route.Stream},
		"stream, copies":                {kind: route.Stream, copies: &standin.Copies{Of: isRejection}},
		"stream, rejections without id": {kind: route.Stream, unnamed: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 1000, func(t *testing.T, h *harness) {
				const requests = 20
				service, role := "app", port.Role("")
				if tc.kind == route.Stream {
					h.addTarget("llm", port.RolePrefill)
					service, role = "llm", port.RoleDecode
				}
				target, received := h.addTarget(service, role), 0
				target.Set(func(b *standin.Behaviour) {
					b.Copies, b.Unnamed = tc.copies, tc.unnamed
					b.Shed = func(int) bool { received++; return received%4 == 1 }
				})
				for i := range requests {
					if status, err := h.execute(h.newNamedCall(tc.kind, fmt.Sprint("r", i))); err != nil || status != http.StatusOK {
						t.Errorf("request %d: status %d, %v", i, status, err)
					}
				}
				// Two sends of a request need two connections. A copy spoils its own, and
				// so does a rejection that names no request.
				allowed := 2 + target.SentCopies()
				if tc.unnamed {
					allowed += requests
				}
				addr := h.entries[service][len(h.entries[service])-1].Addr
				if d := h.net.DialCount(addr); d > allowed || len(target.Ran()) != requests {
					t.Errorf("%d connections, at most %d allowed; %d of %d requests ran", d, allowed, len(target.Ran()), requests)
				}
				h.runner.opts.Pool.Close()
				_ = pause.For(t.Context(), time.Second)
			})
		})
	}
}

// Guards against a copy of a prefill's answer that is taken for that of the call's next
// prefill, so that a decoding engine is sent to KV cache that is gone.
func TestRepeatedPrefillAnswersAreDiscarded(t *testing.T) {
	withHarness(t, 1000, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RolePrefill).Set(func(b *standin.Behaviour) { b.Copies = &standin.Copies{} })
		d, received := h.addTarget("llm", port.RoleDecode), 0
		d.Set(func(b *standin.Behaviour) { b.Shed = func(int) bool { received++; return received%3 == 0 } })
		for i := range 12 {
			if status, err := h.execute(h.newNamedCall(route.Stream, fmt.Sprint("r", i))); err != nil || status != http.StatusOK {
				t.Errorf("request %d: status %d, %v", i, status, err)
			}
		}
		used := make(map[string]bool)
		for _, r := range d.ReceivedRequests() {
			if used[r.KV] {
				t.Errorf("the KV cache %s was used twice", r.KV)
			}
			used[r.KV] = true
		}
		if received <= 12 {
			t.Errorf("%d sends for 12 requests: none was rejected", received)
		}
		h.runner.opts.Pool.Close()
		_ = pause.For(t.Context(), time.Second)
	})
}

// Guards against a copy of a failure that ends a request which may be repeated, while its
// next send runs.
func TestRepeatedFailuresEndNoOtherSend(t *testing.T) {
	withHarness(t, 1000, func(t *testing.T, h *harness) {
		target := h.addTarget("app", "")
		target.Set(func(b *standin.Behaviour) { b.Copies, b.Fail = &standin.Copies{Times: 2}, true })
		for i := range 10 {
			c := h.newNamedCall(route.Safe, fmt.Sprint("r", i))
			c.OnStart = func(time.Duration) { target.Set(func(b *standin.Behaviour) { b.Fail = false }) }
			if status, err := h.execute(c); err != nil || status != http.StatusOK {
				t.Errorf("request %d: status %d, %v", i, status, err)
			}
			target.Set(func(b *standin.Behaviour) { b.Fail = true })
		}
		h.runner.opts.Pool.Close()
		_ = pause.For(t.Context(), time.Second)
	})
}
