package standin

import (
	"context"
	"sync"
	"time"
)

// swapTimeout bounds how long an answer waits for a second one to be swapped with.
const swapTimeout = 2 * time.Second

// ConsumeFault reports whether a fault applies once more, and decrements its
// remaining count if that is positive. A negative count never runs out.
func ConsumeFault(remaining *int) bool {
	if *remaining > 0 {
		*remaining--
		return true
	}
	return *remaining < 0
}

// Swapper swaps the answers of two requests that run at the same time. The
// zero value is ready for use.
type Swapper[T any] struct {
	mu      sync.Mutex
	pending *pendingSwap[T]
}

// pendingSwap is the first value of a pair, which waits for the second one.
type pendingSwap[T any] struct {
	first  T
	second chan T
}

// Swap waits for another call of Swap and returns the value of that call. It
// returns own if no other call arrives before swapTimeout or the end of ctx.
func (s *Swapper[T]) Swap(ctx context.Context, own T) T {
	s.mu.Lock()
	if p := s.pending; p != nil {
		s.pending = nil
		s.mu.Unlock()
		p.second <- own
		return p.first
	}
	p := &pendingSwap[T]{first: own, second: make(chan T, 1)}
	s.pending = p
	s.mu.Unlock()
	return s.wait(ctx, p)
}

func (s *Swapper[T]) wait(ctx context.Context, p *pendingSwap[T]) T {
	t := time.NewTimer(swapTimeout)
	defer t.Stop()
	select {
	case other := <-p.second:
		return other
	case <-t.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	unpaired := s.pending == p
	if unpaired {
		s.pending = nil
	}
	s.mu.Unlock()
	if unpaired {
		return p.first
	}
	return <-p.second
}
