package stream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Errors of Relay.Run.
var (
	// ErrCut means that the stream ended, or had a gap, before its end marker.
	ErrCut = errors.New("stream cut")
	// ErrTarget is an error that the target reported in the stream.
	ErrTarget = errors.New("target reported an error")
	// ErrCaller means that the caller doesn't take the answer any more.
	ErrCaller = errors.New("caller takes no more")
	// ErrHandover means that the stream is well and goes on at another engine.
	ErrHandover = errors.New("handed over")
)

// maxForeign bounds the chunks of other requests that one attempt may carry.
const maxForeign = 1024

// Sink takes the data of events, each whole. It keeps none of the memory.
type Sink interface {
	Event(data []byte) error
}

// Relay carries one caller's stream over one or several attempts, so that the
// caller sees each token once and in order. It is used by one goroutine.
type Relay struct {
	id       []byte // quoted
	sink     Sink
	next     int
	finished bool
	dropped  int
	handover int
	chunk    chunk
	out      []byte
}

// NewRelay returns a Relay for the request id whose first token is at start.
func NewRelay(id string, start int, sink Sink) *Relay {
	return &Relay{id: quote(id), sink: sink, next: start}
}

// Next is the index of the next token: where another attempt resumes.
func (r *Relay) Next() int { return r.next }

// Finished reports whether the last token was passed on.
func (r *Relay) Finished() bool { return r.finished }

// Dropped counts the chunks that were doubled or belonged to other requests.
func (r *Relay) Dropped() int { return r.dropped }

// HandOver makes the next Run stop with ErrHandover once it passed on tokens
// tokens, unless the answer is whole by then. 0 means that it doesn't stop.
func (r *Relay) HandOver(tokens int) { r.handover = tokens }

// Run passes on the stream of one attempt. It returns nil once the stream is
// whole, else an error that wraps one of this package's or of src.
func (r *Relay) Run(src io.Reader, attempt string) error {
	events := NewReader(src)
	foreign, begun := 0, r.next
	own := quote(attempt)
	for {
		data, err := events.Next()
		if err != nil {
			return r.ended(err)
		}
		if bytes.Equal(data, done) {
			return r.end()
		}
		mine, err := r.take(data, own)
		if err != nil {
			return err
		}
		if r.handover > 0 && r.next-begun >= r.handover && !r.finished {
			return ErrHandover
		}
		if mine {
			continue
		}
		foreign++
		if foreign > maxForeign {
			return fmt.Errorf("%w: chunks of other requests only", ErrCut)
		}
	}
}

// take passes on one chunk and reports whether it was the attempt's own.
//
// Engines and what lies before them can cross streams, repeat a chunk, or send
// one late: the caller would read another's tokens, or a token twice. A chunk
// with another id, or with an index that was passed on before, is dropped. An
// index beyond the next one means that tokens are lost: passing it on would
// hide that, so the attempt counts as cut and is resumed at the gap.
func (r *Relay) take(data, own []byte) (bool, error) {
	c := &r.chunk
	if err := c.parse(data); err != nil {
		return false, err
	}
	if !bytes.Equal(c.ID, own) {
		r.dropped++
		return false, nil
	}
	if c.TokenIndex < r.next || r.finished {
		r.dropped++
		return true, nil
	}
	if c.TokenIndex > r.next {
		return true, fmt.Errorf("%w: token %d after %d", ErrCut, c.TokenIndex, r.next-1)
	}
	r.out = rename(r.out[:0], data, own, r.id)
	if err := r.sink.Event(r.out); err != nil {
		return true, fmt.Errorf("%w: %w", ErrCaller, err)
	}
	r.next++
	r.finished = c.finished()
	return true, nil
}

// end passes on the end marker. A marker without a finish_reason before it
// would make a caller take a shortened answer for a whole one.
func (r *Relay) end() error {
	if !r.finished {
		return fmt.Errorf("%w: end marker before the last token", ErrCut)
	}
	if err := r.sink.Event(done); err != nil {
		return fmt.Errorf("%w: %w", ErrCaller, err)
	}
	return nil
}

// ended handles the end of the source. When the last token was passed on, the
// answer is whole although the marker was lost, and needs no other attempt.
func (r *Relay) ended(err error) error {
	if r.finished {
		return r.end()
	}
	return fmt.Errorf("%w: %w", ErrCut, err)
}
