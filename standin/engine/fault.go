package engine

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/pomelospool/pomelospool/standin"
)

// faults holds the injected faults that apply to requests and orders.
type faults struct {
	mu             sync.Mutex
	crashMarker    string
	crashAfter     int // tokens of the answer sent before the crash
	refuseCount    int
	crossCount     int
	cutCount       int
	cutAfter       int  // tokens of the answer sent before the cut
	cutResets      bool // a cut resets the connection
	loseOrderCount int  // orders that take effect but whose answer is lost
}

// faultPlan holds the faults that apply to one request.
type faultPlan struct {
	refuse, cross, cut, reset, crash bool
	after                            int // tokens sent before a cut or crash
}

// next returns the faults for the next request, and uses up their counts.
func (f *faults) next(prompt string) faultPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	if standin.ConsumeFault(&f.refuseCount) {
		return faultPlan{refuse: true}
	}
	if f.crashMarker != "" && strings.Contains(prompt, f.crashMarker) {
		return faultPlan{crash: true, after: f.crashAfter}
	}
	p := faultPlan{cross: standin.ConsumeFault(&f.crossCount), cut: standin.ConsumeFault(&f.cutCount)}
	p.after, p.reset = f.cutAfter, f.cutResets
	return p
}

// loseOrder reports whether the answer to the next order is lost.
func (f *faults) loseOrder() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return standin.ConsumeFault(&f.loseOrderCount)
}

// Apply sets a fault by its kind:
//   - "crash" crashes the engine, and "silent" stalls its connections, at once.
//   - "crash_on" (text, after) crashes the engine on a request whose prompt
//     contains text.
//   - "refuse" (count) refuses the next requests.
//   - "cross" (count) swaps the answers of the next requests.
//   - "cut" (count, after, text) truncates the next answers; the text "reset"
//     resets their connection instead of ending them normally.
//   - "lose" (count) loses the answers to the next orders that take effect.
//   - "slow" (value) multiplies the time of each step.
//   - "leaving" (count 0 or 1) sets whether the engine reports that it is leaving.
func (e *Engine) Apply(ctx context.Context, f standin.Fault) error {
	switch f.Kind {
	case "crash":
		e.opts.Exit()
		return nil
	case "silent":
		e.Stall(ctx)
		return nil
	case "slow":
		return e.do(ctx, func() { e.batch.slowdown = max(f.Value, 0.001) })
	case "leaving":
		return e.do(ctx, func() { e.state.Leaving = f.Count != 0 })
	}
	return e.faults.set(f)
}

func (f *faults) set(c standin.Fault) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch c.Kind {
	case "crash_on":
		f.crashMarker, f.crashAfter = c.Text, c.After
	case "refuse":
		f.refuseCount = c.Count
	case "cross":
		f.crossCount = c.Count
	case "cut":
		f.cutCount, f.cutAfter, f.cutResets = c.Count, c.After, c.Text == "reset"
	case "lose":
		f.loseOrderCount = c.Count
	default:
		return fmt.Errorf("%w: %q", standin.ErrUnknownFault, c.Kind)
	}
	return nil
}
