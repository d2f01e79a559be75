package dispatch

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// learnFactors gives the runner factors by which engine slow takes three times the
// service's prefill time.
func (h *harness) learnFactors(slow string) *speed.Factors {
	f := speed.NewFactors(speed.FactorOptions{Now: time.Now, Service: func(uint64) (string, bool) { return "llm", true }})
	est := h.speed.Estimates("llm")
	for i := range 10 * 60 {
		id, ratio := fmt.Sprint("other", i%10), 1.0
		if i%10 == 0 {
			id, ratio = slow, 3
		}
		took := est.PromptOverhead + time.Duration(ratio*float64(est.PrefillTime(9000, 9000)))
		f.Observe(id, speed.Sample{Prompt: 9000, Missing: 9000, Duration: took}, est)
	}
	h.runner.opts.Factors = f
	return f
}

// runNewPrompt runs a call whose prompt no engine holds.
func (h *harness) runNewPrompt() (Trace, error) {
	c := h.newCall(route.Stream, 1, 3*time.Second)
	c.Meta.PromptParts = []port.PromptPart{{ID: rand.Uint64(), Tokens: c.Meta.PromptTokens}}
	return h.runner.Streamed(h.t.Context(), c, &recorder{})
}

// Guards against a known slow engine that is chosen like others, whose prompts are
// predicted and reported as if it was fast, or that counts as having turned slow too.
func TestKnownSlowEngine(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		p := h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode)
		est := h.speed.Estimates("llm")
		var reported time.Duration
		h.net.Serve("llm0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			reported = h.runner.opts.Engines.Load("llm0", nil).Wait
			time.Sleep(est.PromptOverhead + 5*est.PrefillTime(1460, 1460)/2)
			p.ServeHTTP(w, r)
		}))
		factors := h.learnFactors("llm0")
		if got := factors.Factor("llm0"); got < 2 || got > 3 {
			t.Fatalf("factor %.2f", got)
		}
		for range 6 {
			trace, err := h.runNewPrompt()
			want := 2 * est.PrefillTime(1460, 1460)
			if err != nil || trace.Prefill.PredictedPrefill < want || reported < want {
				t.Errorf("predicted %v, reported %v, want over %v, %v", trace.Prefill.PredictedPrefill, reported, want, err)
			}
		}
		if got := h.runner.opts.Health.Pace("llm0"); got < 0.9 || got > 1.1 {
			t.Errorf("pace %.2f of a known slow engine", got)
		}
		for range 60 {
			if _, err := h.runNewPrompt(); err != nil {
				t.Fatal(err)
			}
		}
		before, after := est.PromptOverhead+est.PrefillTime(1460, 1460), h.speed.Estimates("llm")
		if now := after.PromptOverhead + after.PrefillTime(1460, 1460); now > before*6/5 {
			t.Errorf("prompts at the slow engine change the service's estimate from %v to %v", before, now)
		}
		seen := len(p.ReceivedRequests())
		h.addTarget("llm", port.RolePrefill)
		for range 6 {
			if _, err := h.runNewPrompt(); err != nil {
				t.Fatal(err)
			}
		}
		if got := len(p.ReceivedRequests()) - seen; got != 0 {
			t.Errorf("%d of 6 calls at the slow engine", got)
		}
		if factors.Factor("llm2") == 0 {
			t.Error("the prompts at another engine aren't observed")
		}
	})
}

// Guards against prompts that avoid engines at which they would be late, although engines'
// speeds aren't estimated, and against those that don't with the estimates.
func TestLatenessCountsWithFactors(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		if h.newExecution("a").prompt().AvoidLate {
			t.Error("prompts avoid lateness without factors")
		}
		h.learnFactors("llm0")
		if !h.newExecution("a").prompt().AvoidLate {
			t.Error("prompts don't avoid lateness with factors")
		}
	})
}
