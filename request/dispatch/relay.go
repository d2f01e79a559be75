package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
)

// maxEvent bounds one event, in bytes.
const maxEvent = 1 << 20

// streamHooks is called as a stream's events come.
type streamHooks struct {
	first func()      // before the first one of the answer
	batch func(n int) // with the number of events in each batch
}

// relay passes events on as they come, each one whole. A stream that breaks
// off in the middle of an event ends after the last whole one, so that a
// resumed run can go on from there.
func (x *execution) relay(ctx context.Context, target string, resp *h1.Response, v port.Verdict, out Stream, w streamHooks) *sendFailure {
	defer resp.Close(v.KeepAlive)
	r := &eventReader{src: resp.Body}
	for {
		events, err := r.next()
		if len(events) > 0 {
			if f := x.forward(target, resp, events, out, w); f != nil {
				return f
			}
		}
		if errors.Is(err, io.EOF) {
			return x.checkEnd(target, resp, r, out)
		}
		if err != nil {
			return &sendFailure{Failure: failure.Read(ctx, target, err)}
		}
	}
}

// forward hands events to the caller, without those that it has already.
func (x *execution) forward(target string, resp *h1.Response, events []byte, out Stream, w streamHooks) *sendFailure {
	fresh, last, n := eventsAfter(events, x.lastID)
	w.batch(n)
	x.markStarted(0)
	if !x.trace.AnswerStarted {
		x.trace.AnswerStarted = true
		x.trace.TimeToFirst = time.Since(x.call.Arrived)
		out.Begin(resp.Status, resp.Header)
		w.first()
	}
	if len(fresh) == 0 {
		return nil
	}
	if err := out.Write(fresh); err != nil {
		return newFailure(failure.CallerGone, target, err)
	}
	if last != "" {
		x.lastID = last
	}
	return nil
}

// checkEnd reports whether the stream ended whole: at its marked end, or at the
// connection's orderly end, and not within an event.
func (x *execution) checkEnd(target string, resp *h1.Response, r *eventReader, out Stream) *sendFailure {
	if len(r.partial()) > 0 {
		return newFailure(failure.Cut, target, io.ErrUnexpectedEOF)
	}
	if !x.trace.AnswerStarted {
		x.trace.AnswerStarted = true
		out.Begin(resp.Status, resp.Header)
	}
	x.recordSuccess(target)
	return nil
}

// eventReader cuts a stream of server-sent events into runs of whole events.
type eventReader struct {
	src      io.Reader
	buf      []byte // what was read and not returned
	returned int    // length of what was returned last, to be dropped
}

const readSize = 4 << 10

// next returns one or more whole events, or an error. The bytes hold until the
// next call.
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
	if cap(r.buf)-at < readSize {
		r.buf = append(r.buf, make([]byte, readSize)...)[:at]
	}
	n, err := r.src.Read(r.buf[at:cap(r.buf)])
	r.buf = r.buf[:at+n]
	return n, err
}

// partial is what was read of an event without its end.
func (r *eventReader) partial() []byte { return r.buf[r.returned:] }

// lastEventEnd is the length up to the last blank line in b, 0 without one.
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

// eventsAfter returns the events that come after the one with id last, the id of the
// newest event, and the number of all events. Ids that are numbers rise, by
// whatever step.
func eventsAfter(events []byte, last string) (fresh []byte, newest string, n int) {
	newest = last
	had, known := parseNumericID(last)
	for rest := events; len(rest) > 0; {
		one := rest[:firstEventEnd(rest)]
		rest = rest[len(one):]
		n++
		id := eventID(one)
		at, isNumber := parseNumericID(id)
		if isNumber && known && at <= had {
			continue
		}
		fresh = append(fresh, one...)
		if id != "" {
			newest = id
			had, known = at, isNumber
		}
	}
	return fresh, newest, n
}

func firstEventEnd(b []byte) int {
	unix, dos := bytes.Index(b, []byte("\n\n")), bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case unix < 0 && dos < 0:
		return len(b)
	case dos < 0 || unix >= 0 && unix < dos:
		return unix + 2
	}
	return dos + 4
}

// eventID returns the id field of one event, empty without one.
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
