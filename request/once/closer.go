package once

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/process/record"
)

// Bounds of a closer.
const (
	maxQueued    = 8192 // results that wait for the log
	closeBatch   = 256
	closeWait    = 200 * time.Millisecond // after a failure, doubled up to closeMost
	closeMost    = 5 * time.Second
	closeTimeout = 10 * time.Second
)

// closer records the results of one shard, in order, until each stands in the
// log. The queue is bounded; what falls out of it in a long outage leaves its
// key open, and its outcome is found by Lookup while this process lives.
type closer struct {
	l     *Log
	shard int
	wake  chan struct{}

	mu    sync.Mutex
	queue []record.Envelope
	busy  int // taken from the queue and not yet recorded
	empty chan struct{}
}

func newCloser(l *Log, shard int) *closer {
	c := &closer{l: l, shard: shard, wake: make(chan struct{}, 1), empty: make(chan struct{})}
	close(c.empty)
	return c
}

func (c *closer) add(r *record.Result) {
	body, _ := json.Marshal(r)
	env := record.Envelope{ID: r.Attempt + "/r", Kind: record.KindResult, Writer: c.l.o.Self, Body: body}
	c.mu.Lock()
	if len(c.queue)+c.busy == 0 {
		c.empty = make(chan struct{})
	}
	c.queue = append(c.queue, env)
	if len(c.queue) > maxQueued {
		c.queue = c.queue[1:]
		counts.Add("results_dropped", 1)
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *closer) take() []record.Envelope {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), closeBatch)
	batch := append([]record.Envelope(nil), c.queue[:n]...)
	c.queue = append([]record.Envelope(nil), c.queue[n:]...)
	c.busy = n
	return batch
}

// settled puts back what wasn't recorded.
func (c *closer) settled(left []record.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = 0
	c.queue = append(left, c.queue...)
	if len(c.queue) == 0 {
		close(c.empty)
	}
}

func (c *closer) drain(ctx context.Context) error {
	c.mu.Lock()
	empty := c.empty
	c.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *closer) run() error {
	wait := closeWait
	for {
		select {
		case <-c.l.tomb.Dying():
			return nil
		case <-c.wake:
		}
		for batch := c.take(); len(batch) > 0; batch = c.take() {
			left := c.send(batch)
			c.settled(left)
			if len(left) == 0 {
				wait = closeWait
				continue
			}
			if pause.For(c.l.tomb.Context(context.Background()), wait) != nil {
				return nil
			}
			wait = min(2*wait, closeMost)
		}
	}
}

// send proposes the results and returns those that aren't recorded.
func (c *closer) send(batch []record.Envelope) []record.Envelope {
	ctx, cancel := context.WithTimeout(c.l.tomb.Context(context.Background()), closeTimeout)
	defer cancel()
	outcomes, err := c.l.proposeAll(ctx, c.shard, batch)
	if err != nil || len(outcomes) != len(batch) {
		return batch
	}
	var left []record.Envelope
	for i, o := range outcomes {
		if o.Kind != peerpb.Outcome_RECORDED {
			left = append(left, batch[i])
		}
	}
	return left
}
