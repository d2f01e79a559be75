package standin

import (
	"context"
	"sync"
	"time"
)

// crossWait bounds how long an answer waits for another one to cross with.
const crossWait = 2 * time.Second

// ConsumeFault uses up one of n, or none of an endless (negative) n, and tells
// whether there was one.
func ConsumeFault(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// Swapper swaps the answers of two requests that run at the same time. The
// zero value is ready.
type Swapper[T any] struct {
	mu      sync.Mutex
	waiting *meeting[T]
}

type meeting[T any] struct {
	first  T
	second chan T
}

// Swap waits for another call of Swap and returns the other's value, or its
// own when none comes in time.
func (c *Swapper[T]) Swap(ctx context.Context, own T) T {
	c.mu.Lock()
	if m := c.waiting; m != nil {
		c.waiting = nil
		c.mu.Unlock()
		m.second <- own
		return m.first
	}
	m := &meeting[T]{first: own, second: make(chan T, 1)}
	c.waiting = m
	c.mu.Unlock()
	return c.wait(ctx, m)
}

func (c *Swapper[T]) wait(ctx context.Context, m *meeting[T]) T {
	t := time.NewTimer(crossWait)
	defer t.Stop()
	select {
	case other := <-m.second:
		return other
	case <-t.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	alone := c.waiting == m
	if alone {
		c.waiting = nil
	}
	c.mu.Unlock()
	if alone {
		return m.first
	}
	return <-m.second
}
