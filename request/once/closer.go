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
	w := &resultWriter{l: l, shard: shard, wake: make(chan struct{}, 1), empty: make(chan struct{})}
	close(w.empty)
	return w
}

func (w *resultWriter) enqueue(r *record.Result) {
	body, _ := json.Marshal(r)
	env := record.Envelope{ID: r.Attempt + "/r", Kind: record.KindResult, Writer: w.l.o.Self, Body: body}
	w.mu.Lock()
	if len(w.queue)+w.inFlight == 0 {
		w.empty = make(chan struct{})
	}
	w.queue = append(w.queue, env)
	if len(w.queue) > maxQueuedResults {
		w.queue = w.queue[1:]
		counts.Add("results_dropped", 1)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *resultWriter) nextBatch() []record.Envelope {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(len(w.queue), resultBatchSize)
	batch := append([]record.Envelope(nil), w.queue[:n]...)
	w.queue = append([]record.Envelope(nil), w.queue[n:]...)
	w.inFlight = n
	return batch
}

// finishBatch returns the records that were not recorded to the queue.
func (w *resultWriter) finishBatch(unrecorded []record.Envelope) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight = 0
	w.queue = append(unrecorded, w.queue...)
	if len(w.queue) == 0 {
		close(w.empty)
	}
}

func (w *resultWriter) drain(ctx context.Context) error {
	w.mu.Lock()
	empty := w.empty
	w.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *resultWriter) run() error {
	delay := minResultRetryDelay
	for {
		select {
		case <-w.l.tomb.Dying():
			return nil
		case <-w.wake:
		}
		for batch := w.nextBatch(); len(batch) > 0; batch = w.nextBatch() {
			unrecorded := w.send(batch)
			w.finishBatch(unrecorded)
			if len(unrecorded) == 0 {
				delay = minResultRetryDelay
				continue
			}
			if pause.For(w.l.tomb.Context(context.Background()), delay) != nil {
				return nil
			}
			delay = min(2*delay, maxResultRetryDelay)
		}
	}
}

// send proposes the results and returns those that were not recorded.
func (w *resultWriter) send(batch []record.Envelope) []record.Envelope {
	ctx, cancel := context.WithTimeout(w.l.tomb.Context(context.Background()), resultTimeout)
	defer cancel()
	outcomes, err := w.l.proposeAll(ctx, w.shard, batch)
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
