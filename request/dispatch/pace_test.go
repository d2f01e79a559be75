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

// A load of streams of one route whose longest take 9 s on an idle engine and
// 16 s on a full one, of the 13.4 s that they have.
const (
	paceGap        = 172 * time.Millisecond // between events of a stream alone
	paceSlowing    = 2 * time.Millisecond   // for each stream more
	paceLongest    = 52                     // events
	paceMean       = 22
	paceSpread     = 0.84 // of the logarithm of a stream's length
	paceTokens     = 200  // of an event
	paceHintSpread = 0.5  // of the logarithm of a hint
	paceTimeout    = 13400 * time.Millisecond
	paceSlots      = 64
	paceArrivals   = 40 * time.Millisecond // between two
	paceDuration   = 40 * time.Second
)

// pacedRequest is one caller's request and how it ended.
type pacedRequest struct {
	id     string
	events int
	hint   int // tokens, right at the median only
	served bool
	cut    bool
}

// runLoad runs the load with callers that come back once after a rejection.
func (h *harness) runLoad(ctx context.Context, seed uint64) []*pacedRequest {
	rnd := rand.New(rand.NewPCG(seed, 1))
	lengths := make(map[string]int)
	reader := h.addTarget("llm", port.RolePrefill)
	reader.Set(func(b *standin.Behaviour) { b.Gap = time.Millisecond })
	for range 2 {
		h.addTarget("llm", port.RoleDecode).Set(func(b *standin.Behaviour) {
			b.Gap, b.Slowing = paceGap, paceSlowing
			b.Length = func(id string) int { return lengths[id] }
		})
	}
	for i := range h.entries["llm"] {
		h.entries["llm"][i].Slots = paceSlots
	}
	var all []*pacedRequest
	for at := time.Duration(0); at < paceDuration; at += paceArrivals {
		one := &pacedRequest{id: fmt.Sprint("p", len(all))}
		length := paceMean * math.Exp(paceSpread*rnd.NormFloat64()-paceSpread*paceSpread/2)
		one.events = min(max(int(length), 1), paceLongest)
		one.hint = int(paceTokens * float64(one.events) * math.Exp(paceHintSpread*rnd.NormFloat64()))
		lengths[one.id] = one.events
		all = append(all, one)
	}
	var callers sync.WaitGroup
	for _, one := range all {
		callers.Go(func() { h.runCaller(ctx, one) })
		_ = pause.For(ctx, paceArrivals)
	}
	callers.Wait()
	return all
}

// runCaller sends a request, and once more after a rejection.
func (h *harness) runCaller(ctx context.Context, one *pacedRequest) {
	end := time.Now().Add(paceTimeout)
	for range 2 {
		_, err := h.runner.Streamed(ctx, h.pacedCall(one, end), &recorder{})
		var e *code.Error
		if !errors.As(err, &e) {
			one.served = err == nil
			return
		}
		one.cut = e.Code == code.DeadlinePassed
		if e.Code != code.Overloaded {
			return
		}
		_ = pause.For(ctx, e.RetryAfter)
	}
}

func (h *harness) pacedCall(one *pacedRequest, end time.Time) *Call {
	c := h.newCall(route.Stream, 1, time.Until(end))
	header := standin.CallerHeaders(one.id, time.Until(end), "cc:50,dd:40")
	ask, err := platform.Wire{}.Ask(header)
	if err != nil {
		h.t.Fatal(err)
	}
	ask.Prompt, ask.Output, ask.Hint = 90, paceLongest*paceTokens, one.hint
	c.Ask, c.Header, c.Deadline = ask, platform.Wire{}.Forward(header, false), end
	c.Service.Engine.Slots = paceSlots
	c.Priority = 1
	return c
}

func fractionOf(of []*pacedRequest, is func(*pacedRequest) bool) float64 {
	n := 0
	for _, one := range of {
		if is(one) {
			n++
		}
	}
	return float64(n) / float64(len(of))
}

// Guards against engines so full that the longest answers never end in time,
// while the shorter ones do.
func TestLongAnswersEndInTime(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withHarness(t, 1000, func(t *testing.T, h *harness) {
				all := h.runLoad(t.Context(), seed)
				slices.SortFunc(all, func(a, b *pacedRequest) int { return cmp.Compare(b.events, a.events) })
				served := func(p *pacedRequest) bool { return p.served }
				largest, whole := fractionOf(all[:len(all)/10], served), fractionOf(all, served)
				cut := fractionOf(all, func(p *pacedRequest) bool { return p.cut })
				t.Logf("served %.2f of the largest tenth, %.2f of all; %.3f were cut", largest, whole, cut)
				if largest < whole/2 {
					t.Errorf("served %.2f of the largest tenth, %.2f of all", largest, whole)
				}
			})
		})
	}
}
