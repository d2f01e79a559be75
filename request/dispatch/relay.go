package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
)

// maxEvent is the largest size of one event, in bytes.
const maxEvent = 1 << 20

// streamHooks are functions called while a stream is relayed.
type streamHooks struct {
	first func()      // after the first event was received
	batch func(n int) // with the number of events in each received batch
}

// relay forwards events as they arrive. It forwards only complete events, so
// a stream that is cut within an event can be resumed after the last
// complete one.
func (x *execution) relay(ctx context.Context, target string, resp *h1.Response, v port.ResponseMeta, out Stream, hooks streamHooks) *sendFailure {
	defer resp.Close(v.KeepAlive)
	r := &eventReader{src: resp.Body, account: quota.FromContext(ctx)}
	defer r.release()
	for {
		events, err := r.next()
		if len(events) > 0 {
			if f := x.forward(target, resp, events, out, hooks); f != nil {
				return f
			}
		}
		if errors.Is(err, io.EOF) {
			return x.checkEnd(target, resp, r, out)
		}
		if err != nil {
			return &sendFailure{Failure: failure.ClassifyRead(ctx, target, err)}
		}
	}
}

// forward sends the caller those events that it doesn't have yet.
func (x *execution) forward(target string, resp *h1.Response, events []byte, out Stream, hooks streamHooks) *sendFailure {
	fresh, last, n := eventsAfter(events, x.lastID)
	hooks.batch(n)
	x.markStarted(0)
	x.recordWriting()
	if !x.trace.AnswerStarted {
		x.trace.AnswerStarted = true
		x.trace.TimeToFirst = time.Since(x.call.Arrived)
		out.Begin(resp.Status, resp.Header)
		hooks.first()
	}
	if len(fresh) == 0 {
		return nil
	}
	x.recordOrigin()
	if err := out.Write(fresh); err != nil {
		return newFailure(failure.CallerGone, target, err)
	}
	if last != "" {
		x.lastID = last
	}
	return nil
}

// checkEnd returns a failure if the stream ended within an event. The end is
// regular if it is marked or the connection was closed in order.
func (x *execution) checkEnd(target string, resp *h1.Response, r *eventReader, out Stream) *sendFailure {
	if len(r.partial()) > 0 {
		return newFailure(failure.Cut, target, io.ErrUnexpectedEOF)
	}
	if !x.trace.AnswerStarted {
		x.trace.AnswerStarted = true
		out.Begin(resp.Status, resp.Header)
	}
	x.completeRun()
	x.recordSuccess(target)
	return nil
}

// eventReader splits a stream of server-sent events into batches of complete
// events.
type eventReader struct {
	src      io.Reader
	account  *quota.Account // is charged for buf
	buf      []byte         // bytes read; the first returned ones have been returned by next
	returned int            // number of bytes that the last call of next returned
}

const readSize = 4 << 10

// next returns one or more complete events, or an error. The bytes are valid
// until the next call.
func (r *eventReader) next() ([]byte, error) {
	r.buf = r.buf[:copy(r.buf, r.buf[r.returned:])]
	r.returned = 0
	for {
		if len(r.buf) > maxEvent {
			return nil, errTooLarge
		}
		n, err := r.fill()
		if end := lastEventEnd(r.buf); end > 0 && n > 0 {
			r.returned = end
			return r.buf[:end], err
		}
		if err != nil {
			return nil, err
		}
	}
}

func (r *eventReader) fill() (int, error) {
	at := len(r.buf)
	buf, err := quota.Extend(r.account, r.buf, readSize)
	if err != nil {
		return 0, err
	}
	r.buf = buf
	n, err := r.src.Read(r.buf[at:cap(r.buf)])
	r.buf = r.buf[:at+n]
	return n, err
}

// release releases the memory of the buffer.
func (r *eventReader) release() {
	quota.Release(r.account, r.buf)
	r.buf, r.returned = nil, 0
}

// partial returns the bytes read after the last complete event.
func (r *eventReader) partial() []byte { return r.buf[r.returned:] }

// lastEventEnd returns the offset after the last blank line in b, or 0 if
// there is none.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// eventsAfter returns the events after the one with id last, the id of the
// newest event, and the number of all events. Numeric ids increase, by any
// step.
func eventsAfter(events []byte, last string) (fresh []byte, newest string, n int) {
	newest = last
	lastNum, numeric := parseNumericID(last)
	for rest := events; len(rest) > 0; {
		event := rest[:firstEventEnd(rest)]
		rest = rest[len(event):]
		n++
		id := eventID(event)
		num, isNumber := parseNumericID(id)
		if isNumber && numeric && num <= lastNum {
			continue
		}
		fresh = append(fresh, event...)
		if id != "" {
			newest = id
			lastNum, numeric = num, isNumber
		}
	}
	return fresh, newest, n
}

func firstEventEnd(b []byte) int {
	lf, crlf := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return len(b)
	case crlf < 0 || lf >= 0 && lf < crlf:
		return lf + 2
	}
	return crlf + 4
}

// eventID returns the id field of an event, or "" if it has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

func parseNumericID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
