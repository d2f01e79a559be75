package engine

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/pomelospool/pomelospool/standin"
)

// faults are those that strike requests.
type faults struct {
	mu      sync.Mutex
	crashOn string
	crashAt int // tokens of the marked request before the crash
	refuse  int
	cross   int
	cut     int
	cutAt   int  // tokens before the cut
	reset   bool // the cut resets the connection
	lose    int  // answers to orders to lose after they took effect
}

// plan says which faults strike one request.
type plan struct {
	refuse, cross, cut, reset, crash bool
	at                               int // tokens before a cut or crash
}

func (f *faults) plan(prompt string) plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	if standin.ConsumeFault(&f.refuse) {
		return plan{refuse: true}
	}
	if f.crashOn != "" && strings.Contains(prompt, f.crashOn) {
		return plan{crash: true, at: f.crashAt}
	}
	p := plan{cross: standin.ConsumeFault(&f.cross), cut: standin.ConsumeFault(&f.cut)}
	p.at, p.reset = f.cutAt, f.reset
	return p
}

// loseOrder reports whether the answer to an order is to be lost.
func (f *faults) loseOrder() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return standin.ConsumeFault(&f.lose)
}

// Apply switches a fault. "crash" and "silent" strike at once; "crash_on"
// (text, after) strikes requests with a marker in the prompt; "refuse",
// "cross" and "cut" (after; text "reset" for a hard end) strike the next
// count requests; "lose" (count) loses the answers to orders that took
// effect; "slow" (value) is a factor on the time of each step;
// "leaving" (count 0 or 1) sets the engine's own word that it leaves.
func (e *Engine) Apply(ctx context.Context, f standin.Fault) error {
	switch f.Kind {
	case "crash":
		e.opts.Exit()
		return nil
	case "silent":
		e.Stall(ctx)
		return nil
	case "slow":
		return e.do(ctx, func() { e.batch.slow = max(f.Value, 0.001) })
	case "leaving":
		return e.do(ctx, func() { e.state.Leaving = f.Count != 0 })
	}
	return e.fault.set(f)
}

func (f *faults) set(c standin.Fault) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch c.Kind {
	case "crash_on":
		f.crashOn, f.crashAt = c.Text, c.After
	case "refuse":
		f.refuse = c.Count
	case "cross":
		f.cross = c.Count
	case "cut":
		f.cut, f.cutAt, f.reset = c.Count, c.After, c.Text == "reset"
	case "lose":
		f.lose = c.Count
	default:
		return fmt.Errorf("%w: %q", standin.ErrUnknownFault, c.Kind)
	}
	return nil
}
