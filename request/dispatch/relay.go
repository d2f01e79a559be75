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

// relay passes events on as they come, each one whole. A stream that breaks
// off in the middle of an event ends after the last whole one, so that a
// resumed run can go on from there.
func (u *run) relay(ctx context.Context, target string, resp *h1.Response, v port.Verdict, out Stream, first func()) *failed {
	defer resp.Close(v.KeepAlive)
	r := &eventReader{src: resp.Body}
	m := &paceMeter{run: u, target: target, resumed: u.lastID != ""}
	whole := false
	defer func() { m.ended(whole) }()
	for {
		events, err := r.next()
		if len(events) > 0 {
			m.passed(countEvents(events))
			if f := u.pass(target, resp, events, out, first); f != nil {
				return f
			}
		}
		if errors.Is(err, io.EOF) {
			whole = true
			return u.ended(target, resp, r, out)
		}
		if err != nil {
			return &failed{Failure: failure.Read(ctx, target, err)}
		}
	}
}

// pass hands events to the caller, without those that it has already.
func (u *run) pass(target string, resp *h1.Response, events []byte, out Stream, first func()) *failed {
	fresh, last := after(events, u.lastID)
	if !u.trace.Begun {
		u.trace.Begun = true
		u.trace.First = time.Since(u.c.Arrived)
		out.Begin(resp.Status, resp.Header)
		first()
	}
	if len(fresh) == 0 {
		return nil
	}
	if err := out.Write(fresh); err != nil {
		return fail(failure.CallerGone, target, err)
	}
	if last != "" {
		u.lastID, u.trace.LastEvent = last, last
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

// countEvents is the number of whole events.
func countEvents(events []byte) int {
	n := 0
	for rest := events; len(rest) > 0; n++ {
		rest = rest[firstEventEnd(rest):]
	}
	return n
}

// after returns the events that come after the one with id last, and the id of
// the newest event. Ids that are numbers rise, by whatever step.
func after(events []byte, last string) (fresh []byte, newest string) {
	newest = last
	had, known := number(last)
	for rest := events; len(rest) > 0; {
		one := rest[:firstEventEnd(rest)]
		rest = rest[len(one):]
		id := eventID(one)
		n, isNumber := number(id)
		if isNumber && known && n <= had {
			continue
		}
		fresh = append(fresh, one...)
		if id != "" {
			newest = id
			had, known = n, isNumber
		}
	}
	return fresh, newest
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
