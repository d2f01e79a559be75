package h1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

// requestWrite is the write of a request.
type requestWrite struct {
	ended chan struct{}
	// Valid once ended is closed.
	bytes int // bytes that the kernel accepted
	err   error
}

// hasEnded reports whether bytes and err are valid.
func (w *requestWrite) hasEnded() bool {
	select {
	case <-w.ended:
		return true
	default:
		return false
	}
}

// written returns the number of bytes that the kernel accepted, or 0 until the write has
// ended.
func (w *requestWrite) written() int {
	if w.hasEnded() {
		return w.bytes
	}
	return 0
}

// complete reports whether the kernel has accepted the whole request.
func (w *requestWrite) complete() bool { return w.hasEnded() && w.err == nil }

// inlineBody is the largest body, in bytes, that is written before the response
// is read. A larger body is written concurrently, since a target may respond
// before it has read the whole body.
const inlineBody = 4 << 10

// startWrite writes the request, concurrently if its body is large.
func (x *exchange) startWrite() {
	x.write.ended = make(chan struct{})
	all := append(encodeHead(x.req), x.req.Body...)
	send := func() {
		defer close(x.write.ended)
		x.write.bytes, x.write.err = x.conn.Write(all)
	}
	if len(x.req.Body) <= inlineBody {
		send()
		return
	}
	go send()
}

func encodeHead(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer can't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// checkClose is called when EOF was read from the connection, where it marks the end of
// the response. It returns io.EOF if the target has closed the connection in order, and
// an error if the connection broke.
//
// The kernel reports a reset once. If the write of the request receives the report, a
// read returns EOF as after an orderly close. So the write must have ended first. One
// that is still blocked is ended: the target has responded without the rest of the body.
func (x *exchange) checkClose() error {
	if !x.write.hasEnded() {
		if err := x.conn.SetWriteDeadline(time.Unix(0, 0)); err != nil {
			return fmt.Errorf("h1: end of the write: %w", err)
		}
		<-x.write.ended
	}
	switch err := x.write.err; {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(err, syscall.EPIPE):
		// The kernel reports a reset as EPIPE if it had received the end of the
		// target's data before, and as ECONNRESET otherwise.
		return io.EOF
	default:
		return fmt.Errorf("h1: connection broke before the end of the answer: %w", err)
	}
}
