package stream

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/pomelospool/pomelospool/internal/quota"
)

// Errors of Relay.Run.
var (
	// ErrCut means that the stream ended before its end marker, or that tokens
	// are missing.
	ErrCut = errors.New("stream cut")
	// ErrTarget means that the target reported an error in the stream.
	ErrTarget = errors.New("target reported an error")
	// ErrCaller means that the answer can't be written to the caller any more.
	ErrCaller = errors.New("caller accepts no more data")
	// ErrHandover means that the stream is intact and continues on another
	// engine.
	ErrHandover = errors.New("handed over")
)

// maxForeignChunks bounds the chunks of other requests in the stream of one
// attempt.
const maxForeignChunks = 1024

// Sink receives the data of complete events. It must not retain the memory.
type Sink interface {
	Event(data []byte) error
}

// Relay forwards one caller's stream over one or more attempts, so that the
// caller gets each token once and in order. It is not safe for concurrent use.
type Relay struct {
	id            []byte // JSON string
	sink          Sink
	next          int
	finished      bool
	dropped       int
	handoverAfter int
	chunk         chunk
	out           []byte
	account       *quota.Account // of the memory for events; may be nil
}

// NewRelay returns a Relay for the request id. The first token that it forwards
// has index start.
func NewRelay(id string, start int, sink Sink) *Relay {
	return &Relay{id: quote(id), sink: sink, next: start}
}

// Charge sets the account that is charged for the events that are read.
func (r *Relay) Charge(a *quota.Account) { r.account = a }

// Next returns the index of the next token, at which another attempt resumes.
func (r *Relay) Next() int { return r.next }

// Finished reports whether the last token was forwarded.
func (r *Relay) Finished() bool { return r.finished }

// Dropped returns the number of chunks that were dropped because they were
// duplicates or belonged to other requests.
func (r *Relay) Dropped() int { return r.dropped }

// HandOver makes Run return ErrHandover after it has forwarded the given number
// of tokens, unless the answer is complete by then. 0 disables it.
func (r *Relay) HandOver(tokens int) { r.handoverAfter = tokens }

// Run forwards the stream of one attempt. It returns nil once the stream is
// complete, otherwise an error that wraps one of this package or of src.
func (r *Relay) Run(src io.Reader, attempt string) error {
	events := NewReader(src, r.account)
	defer events.Release()
	foreign, start := 0, r.next
	quotedID := quote(attempt)
	for {
		data, err := events.Next()
		if err != nil {
			return r.sourceEnded(err)
		}
		if bytes.Equal(data, endMarker) {
			return r.finish()
		}
		isOwn, err := r.forward(data, quotedID)
		if err != nil {
			return err
		}
		if r.handoverAfter > 0 && r.next-start >= r.handoverAfter && !r.finished {
			return ErrHandover
		}
		if isOwn {
			continue
		}
		foreign++
		if foreign > maxForeignChunks {
			return fmt.Errorf("%w: chunks of other requests only", ErrCut)
		}
	}
}

// forward forwards one chunk and reports whether it belongs to the attempt.
//
// Engines, and proxies in front of them, can mix up streams, or send a chunk
// twice or late. The caller would then get tokens of another request, or a
// token twice. A chunk with another id or with an index that was already
// forwarded is dropped. An index beyond the next one means that tokens are
// missing. Forwarding it would hide the gap, so the attempt counts as cut and
// is resumed at the gap.
func (r *Relay) forward(data, quotedID []byte) (bool, error) {
	c := &r.chunk
	if err := c.parse(data); err != nil {
		return false, err
	}
	if !bytes.Equal(c.ID, quotedID) {
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
	r.out = replaceFirst(r.out[:0], data, quotedID, r.id)
	if err := r.sink.Event(r.out); err != nil {
		return true, fmt.Errorf("%w: %w", ErrCaller, err)
	}
	r.next++
	r.finished = c.finished()
	return true, nil
}

// finish forwards the end marker. It fails if no finish_reason came before: the
// caller would take a truncated answer for a complete one.
func (r *Relay) finish() error {
	if !r.finished {
		return fmt.Errorf("%w: end marker before the last token", ErrCut)
	}
	if err := r.sink.Event(endMarker); err != nil {
		return fmt.Errorf("%w: %w", ErrCaller, err)
	}
	return nil
}

// sourceEnded handles the end of the source. If the last token was forwarded,
// the answer is complete even without an end marker and needs no other attempt.
func (r *Relay) sourceEnded(err error) error {
	if r.finished {
		return r.finish()
	}
	return fmt.Errorf("%w: %w", ErrCut, err)
}
