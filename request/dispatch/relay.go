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

// watch is called as a stream's events come.
type watch struct {
	first func()      // before the first one of the answer
	batch func(n int) // with the number of events in each batch
}

// relay passes events on as they come, each one whole. A stream that breaks
// off in the middle of an event ends after the last whole one, so that a
// resumed run can go on from there.
func (u *run) relay(ctx context.Context, target string, resp *h1.Response, v port.Verdict, out Stream, w watch) *failed {
	defer resp.Close(v.KeepAlive)
	r := &eventReader{src: resp.Body}
	for {
		events, err := r.next()
		if len(events) > 0 {
			if f := u.pass(target, resp, events, out, w); f != nil {
				return f
			}
		}
		if errors.Is(err, io.EOF) {
			return u.ended(target, resp, r, out)
		}
		if err != nil {
			return &failed{Failure: failure.ClassifyRead(ctx, target, err)}
		}
	}
}

// pass hands events to the caller, without those that it has already.
func (u *run) pass(target string, resp *h1.Response, events []byte, out Stream, w watch) *failed {
	fresh, last, n := after(events, u.lastID)
	w.batch(n)
	u.start(0)
	if !u.trace.Begun {
		u.trace.Begun = true
		u.trace.First = time.Since(u.c.Arrived)
		out.Begin(resp.Status, resp.Header)
		w.first()
	}
	if len(fresh) == 0 {
		return nil
	}
	if err := out.Write(fresh); err != nil {
		return fail(failure.CallerGone, target, err)
	}
	if last != "" {
		u.lastID = last
	}
	return nil
}

// ended reports whether the stream ended whole: at its marked end, or at the
// connection's orderly end, and not within an event.
func (u *run) ended(target string, resp *h1.Response, r *eventReader, out Stream) *failed {
	if len(r.rest()) > 0 {
		return fail(failure.Cut, target, io.ErrUnexpectedEOF)
	}
	if !u.trace.Begun {
		u.trace.Begun = true
		out.Begin(resp.Status, resp.Header)
	}
	u.ok(target)
	return nil
}

// eventReader cuts a stream of server-sent events into runs of whole events.
type eventReader struct {
	src io.Reader
	buf []byte // what was read and not returned
	out int    // length of what was returned last, to be dropped
}

const readSize = 4 << 10

// next returns one or more whole events, or an error. The bytes hold until the
// next call.
func (r *eventReader) next() ([]byte, error) {
	r.buf = r.buf[:copy(r.buf, r.buf[r.out:])]
	r.out = 0
	for {
		if len(r.buf) > maxEvent {
			return nil, errTooLarge
		}
		n, err := r.fill()
		if end := lastEventEnd(r.buf); end > 0 && n > 0 {
			r.out = end
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

// rest is what was read of an event without its end.
func (r *eventReader) rest() []byte { return r.buf[r.out:] }

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

// after returns the events that come after the one with id last, the id of the
// newest event, and the number of all events. Ids that are numbers rise, by
// whatever step.
func after(events []byte, last string) (fresh []byte, newest string, n int) {
	newest = last
	had, known := number(last)
	for rest := events; len(rest) > 0; {
		one := rest[:firstEventEnd(rest)]
		rest = rest[len(one):]
		n++
		id := eventID(one)
		at, isNumber := number(id)
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

func number(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
