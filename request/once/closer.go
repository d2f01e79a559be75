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

// Limits and delays of a resultWriter.
const (
	maxQueuedResults    = 8192 // results waiting to be appended to the log
	resultBatchSize     = 256
	minResultRetryDelay = 200 * time.Millisecond // after a failure; doubles up to maxResultRetryDelay
	maxResultRetryDelay = 5 * time.Second
	resultTimeout       = 10 * time.Second
)

// resultWriter appends the results of one shard to the log in order and retries
// until each is recorded. The queue is bounded. A result that is dropped from it
// during a long outage leaves its key open; Lookup still finds the outcome while
// this process runs.
type resultWriter struct {
	l     *LogDeduplicator
	shard int
	wake  chan struct{}

	mu       sync.Mutex
	queue    []record.Envelope
	inFlight int           // records taken from the queue and not yet recorded
	empty    chan struct{} // closed while no result is queued or in flight
}

func newResultWriter(l *LogDeduplicator, shard int) *resultWriter {
	c := &resultWriter{l: l, shard: shard, wake: make(chan struct{}, 1), empty: make(chan struct{})}
	close(c.empty)
	return c
}

func (c *resultWriter) enqueue(r *record.Result) {
	body, _ := json.Marshal(r)
	env := record.Envelope{ID: r.Attempt + "/r", Kind: record.KindResult, Writer: c.l.o.Self, Body: body}
	c.mu.Lock()
	if len(c.queue)+c.inFlight == 0 {
		c.empty = make(chan struct{})
	}
	c.queue = append(c.queue, env)
	if len(c.queue) > maxQueuedResults {
		c.queue = c.queue[1:]
		counts.Add("results_dropped", 1)
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *resultWriter) nextBatch() []record.Envelope {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(c.queue), resultBatchSize)
	batch := append([]record.Envelope(nil), c.queue[:n]...)
	c.queue = append([]record.Envelope(nil), c.queue[n:]...)
	c.inFlight = n
	return batch
}

// finishBatch returns the records that were not recorded to the queue.
func (c *resultWriter) finishBatch(unrecorded []record.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight = 0
	c.queue = append(unrecorded, c.queue...)
	if len(c.queue) == 0 {
		close(c.empty)
	}
}

func (c *resultWriter) drain(ctx context.Context) error {
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

func (c *resultWriter) run() error {
	delay := minResultRetryDelay
	for {
		select {
		case <-c.l.tomb.Dying():
			return nil
		case <-c.wake:
		}
		for batch := c.nextBatch(); len(batch) > 0; batch = c.nextBatch() {
			unrecorded := c.send(batch)
			c.finishBatch(unrecorded)
			if len(unrecorded) == 0 {
				delay = minResultRetryDelay
				continue
			}
			if pause.For(c.l.tomb.Context(context.Background()), delay) != nil {
				return nil
			}
			delay = min(2*delay, maxResultRetryDelay)
		}
	}
}

// send proposes the results and returns those that were not recorded.
func (c *resultWriter) send(batch []record.Envelope) []record.Envelope {
	ctx, cancel := context.WithTimeout(c.l.tomb.Context(context.Background()), resultTimeout)
	defer cancel()
	outcomes, err := c.l.proposeAll(ctx, c.shard, batch)
	if err != nil || len(outcomes) != len(batch) {
		return batch
	}
	var unrecorded []record.Envelope
	for i, o := range outcomes {
		if o.Kind != peerpb.Outcome_RECORDED {
			unrecorded = append(unrecorded, batch[i])
		}
	}
	return unrecorded
}
