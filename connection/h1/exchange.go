package h1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Request is one request to one target.
type Request struct {
	Addr   string // host:port
	Target string // the target's id, which keeps connections of different targets at one address apart
	Method string
	URI    string // path and query as they stand in the request line
	Host   string
	Header http.Header
	Body   []byte
	Fresh  bool // over a connection that was used a moment ago, or a new one
	// Mine tells whether an answer is the one to this request; nil: any is.
	Mine func(status int, h http.Header) bool
}

// Response is an answer whose header was read. Close it.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body, -1: not stated
	Framed bool  // the end of the body is marked; else the connection's end is its end
	Body   io.Reader

	x *exchange
}

// Error is a failed exchange.
type Error struct {
	Err     error
	Written bool // some byte of the request may have reached the target
}

// Error gives the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// exchange is a request and its answer on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	stop    func() bool // ends the watch over the context
	wrote   chan error  // holds the result of writing the request
	resp    *http.Response
	ended   atomic.Bool // the body was read to its end
	closing sync.Once
	stray   bool // an answer to another request came
}

// inlineBody is the size up to which a body is written before the answer is
// read. A larger one is written beside, since a target may answer before it
// has read all of it.
const inlineBody = 4 << 10

// Do sends r and reads the header of the answer. The connection is closed when
// ctx ends, which tells most targets to stop. The error is an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, reused, err := p.take(ctx, r)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if reused {
		counts.Add("reused", 1)
	}
	x := &exchange{pool: p, conn: c, wrote: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	x.write(r)
	resp, err := x.read(r)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Err: err, Written: true}
	}
	return resp, nil
}

func (x *exchange) write(r *Request) {
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		_, err := x.conn.Write(append(head, r.Body...))
		x.wrote <- err
		return
	}
	go func() {
		_, err := x.conn.Write(append(head, r.Body...))
		x.wrote <- err
	}()
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

// maxStrays is how many answers to other requests are read past before the
// answer to this one, and maxStray the size of one of them, in bytes.
const (
	maxStrays = 3
	maxStray  = 1 << 20
)

var errStray = errors.New("h1: the answer is to another request")

// read reads the answer's header, after informational ones.
//
// The guard is against a target that answers an earlier request twice: the
// second answer stands where the next one is expected, and a caller would get
// what another asked. It is read past, and the connection isn't used again.
func (x *exchange) read(r *Request) (*Response, error) {
	strays := 0
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("h1: no answer: %w", err)
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine != nil && !r.Mine(resp.StatusCode, resp.Header) {
			strays++
			counts.Add("strays", 1)
			x.stray = true
			if err := skip(resp); err != nil || strays > maxStrays {
				return nil, errStray
			}
			continue
		}
		x.resp = resp
		out := &Response{
			Status: resp.StatusCode,
			Header: resp.Header,
			Length: resp.ContentLength,
			Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
			x:      x,
		}
		out.Body = &body{x: x, src: resp.Body}
		return out, nil
	}
}

// skip reads an answer to its marked end.
func skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errStray
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray))
	if err == nil && n == maxStray {
		err = errStray
	}
	return err
}

// body notes when its end was read.
type body struct {
	x   *exchange
	src io.Reader
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.x.ended.Store(true)
	}
	return n, err
}

// Close keeps the connection if the answer was read to its marked end, the
// request was written whole, and nothing follows the answer. Otherwise it
// closes the connection: bytes that follow an answer belong to no request, and
// would be taken for the next one's answer.
func (r *Response) Close(keepAlive time.Duration) {
	x := r.x
	x.closing.Do(func() {
		alive := x.stop()
		written := false
		select {
		case err := <-x.wrote:
			written = err == nil
		default:
		}
		if alive && written && !x.stray && x.ended.Load() && r.Framed && !x.resp.Close && x.conn.reader.Buffered() == 0 {
			x.pool.put(x.conn, keepAlive)
			return
		}
		_ = x.conn.Close()
	})
}

func (x *exchange) abort() {
	x.closing.Do(func() {
		x.stop()
		_ = x.conn.Close()
	})
}
