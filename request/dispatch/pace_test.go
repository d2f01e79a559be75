package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/platform"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// The load consists of streams of one route. The longest of them take 9 s on an
// idle engine and 16 s on a full p, and have 13.4 s until their deadline.
const (
	paceGap        = 172 * time.Millisecond // between events of a stream that is alone
	paceSlowing    = 2 * time.Millisecond   // added for each further stream
	paceLongest    = 52                     // events
	paceMean       = 22
	paceSpread     = 0.84 // standard deviation of the logarithm of a stream's length
	paceTokens     = 200  // hinted for each event
	paceHintSpread = 0.5  // standard deviation of the logarithm of a hint
	paceTimeout    = 13400 * time.Millisecond
	paceSlots      = 64
	paceArrivals   = 40 * time.Millisecond // between two requests
	paceDuration   = 40 * time.Second
)

// pacedRequest is one caller's request and its outcome.
type pacedRequest struct {
	id     string
	events int
	hint   int // tokens; accurate only in the median
	served bool
	cut    bool
}

// runLoad runs the load with callers that retry once after a rejection.
func (h *harness) runLoad(ctx context.Context, seed uint64) []*pacedRequest {
	rnd := rand.New(rand.NewPCG(seed, 1))
	lengths := make(map[string]int)
	prefiller := h.addTarget("llm", port.RolePrefill)
	prefiller.Set(func(b *standin.Behaviour) { b.Gap = time.Millisecond })
	for range 2 {
		h.addTarget("llm", port.RoleDecode).Set(func(b *standin.Behaviour) {
			b.Gap, b.GapPerStream = paceGap, paceSlowing
			b.EventCount = func(id string) int { return lengths[id] }
		})
	}
	for i := range h.entries["llm"] {
		h.entries["llm"][i].Slots = paceSlots
	}
	var all []*pacedRequest
	for at := time.Duration(0); at < paceDuration; at += paceArrivals {
		p := &pacedRequest{id: fmt.Sprint("p", len(all))}
		length := paceMean * math.Exp(paceSpread*rnd.NormFloat64()-paceSpread*paceSpread/2)
		p.events = min(max(int(length), 1), paceLongest)
		p.hint = int(paceTokens * float64(p.events) * math.Exp(paceHintSpread*rnd.NormFloat64()))
		lengths[p.id] = p.events
		all = append(all, p)
	}
	var callers sync.WaitGroup
	for _, p := range all {
		callers.Go(func() { h.runCaller(ctx, p) })
		_ = pause.For(ctx, paceArrivals)
	}
	callers.Wait()
	return all
}

// runCaller sends a request and retries it once after a rejection.
func (h *harness) runCaller(ctx context.Context, p *pacedRequest) {
	end := time.Now().Add(paceTimeout)
	for range 2 {
		_, err := h.runner.Streamed(ctx, h.pacedCall(p, end), &recorder{})
		var e *code.Error
		if !errors.As(err, &e) {
			p.served = err == nil
			return
		}
		p.cut = e.Code == code.DeadlinePassed
		if e.Code != code.Overloaded {
			return
		}
		_ = pause.For(ctx, e.RetryAfter)
	}
}

func (h *harness) pacedCall(p *pacedRequest, end time.Time) *Call {
	c := h.newCall(route.Stream, 1, time.Until(end))
	header := standin.CallerHeaders(p.id, time.Until(end), "cc:50,dd:40")
	meta, err := platform.TargetProtocol{}.ParseRequest(header)
	if err != nil {
		h.t.Fatal(err)
	}
	meta.PromptTokens, meta.MaxOutputTokens, meta.OutputHint = 90, paceLongest*paceTokens, p.hint
	c.Meta, c.Header, c.Deadline = meta, platform.TargetProtocol{}.ForwardHeaders(header, false), end
	c.Service.Engine.Slots = paceSlots
	c.Priority = 1
	return c
}

func fractionOf(requests []*pacedRequest, matches func(*pacedRequest) bool) float64 {
	n := 0
	for _, p := range requests {
		if matches(p) {
			n++
		}
	}
	return float64(n) / float64(len(requests))
}

// Guards against engines that run so many streams that the longest answers
// always miss their deadline, while shorter ones meet it.
func TestLongAnswersEndInTime(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withHarness(t, 1000, func(t *testing.T, h *harness) {
				all := h.runLoad(t.Context(), seed)
				slices.SortFunc(all, func(a, b *pacedRequest) int { return cmp.Compare(b.events, a.events) })
				served := func(p *pacedRequest) bool { return p.served }
				largest, overall := fractionOf(all[:len(all)/10], served), fractionOf(all, served)
				cut := fractionOf(all, func(p *pacedRequest) bool { return p.cut })
				t.Logf("served %.2f of the largest tenth, %.2f of all; %.3f were cut", largest, overall, cut)
				if largest < overall/2 {
					t.Errorf("served %.2f of the largest tenth, %.2f of all", largest, overall)
				}
			})
		})
	}
}
