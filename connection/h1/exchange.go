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

	"github.com/pomelospool/pomelospool/internal/watchdog"
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
	Reuse  Reuse
	// FirstByteTimeout is the longest wait for the answer's header, and for the first
	// bytes of its body; 0: none. An engine sends the header when it takes a
	// request and the first token when the prompt is read.
	FirstByteTimeout time.Duration
	// ReadTimeout is the longest wait for further bytes of the body; 0: none.
	ReadTimeout time.Duration
	// Matches reports whether an answer is the one to this request; nil: any is.
	Matches func(status int, h http.Header) bool
}

// Reuse says which connections may carry a request.
type Reuse int

// The kinds of reuse.
const (
	ReuseIdle   Reuse = iota // one that is idle, or a new one
	ReuseRecent              // one that was used a moment ago, or a new one
	ReuseNever               // a new one, which is closed after the answer
)

// Response is an answer whose header was read. Close it.
type Response struct {
	Status int
	Header http.Header
	Framed bool // the end of the body is marked; else the connection's end is its end
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
	req     *Request
	conn    *conn
	ctx     context.Context
	dog     *watchdog.Watchdog
	cancel  context.CancelCauseFunc // of ctx
	stop    func() bool             // ends the watch over the context
	wrote   chan written
	resp    *http.Response
	ended   atomic.Bool // the body was read to its end
	closing sync.Once
	stray   bool // an answer to another request came
}

// written is how the writing of a request ended.
type written struct {
	bytes int // that were handed to the kernel
	err   error
}

// inlineBody is the size up to which a body is written before the answer is
// read. A larger one is written beside, since a target may answer before it
// has read all of it.
const inlineBody = 4 << 10

// Do sends r and reads the header of the answer. The connection is closed when
// ctx ends or the target makes no progress in time, which tells most targets
// to stop. The error is an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	ctx, dog, cancel := newWatchdog(ctx, r)
	c, err := p.take(ctx, r)
	if err != nil {
		err = endOf(ctx, err)
		dog.Disarm()
		cancel(nil)
		return nil, &Error{Err: err}
	}
	x := &exchange{pool: p, req: r, conn: c, ctx: ctx, dog: dog, cancel: cancel, wrote: make(chan written, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	x.write()
	resp, err := x.read()
	if err != nil {
		return nil, x.abort(err)
	}
	dog.Disarm()
	return resp, nil
}

// endOf names why an exchange under ctx ended, where ctx knows better than err.
func endOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (x *exchange) write() {
	all := append(encodeHead(x.req), x.req.Body...)
	send := func() {
		n, err := x.conn.Write(all)
		x.wrote <- written{bytes: n, err: err}
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
func (x *exchange) read() (*Response, error) {
	r, strays := x.req, 0
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("h1: no answer: %w", err)
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches != nil && !r.Matches(resp.StatusCode, resp.Header) {
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

// body watches the progress of an answer and notes when its end was read.
type body struct {
	x     *exchange
	src   io.Reader
	begun bool
}

func (b *body) Read(p []byte) (int, error) {
	b.x.dog.Arm(b.patience())
	n, err := b.src.Read(p)
	b.x.dog.Disarm()
	b.begun = b.begun || n > 0
	switch {
	case errors.Is(err, io.EOF):
		b.x.ended.Store(true)
	case err != nil:
		err = endOf(b.x.ctx, err)
		b.x.silenced(err)
	}
	return n, err
}

func (b *body) patience() time.Duration {
	if b.begun {
		return b.x.req.ReadTimeout
	}
	return b.x.req.FirstByteTimeout
}

// Close keeps the connection if the answer was read to its marked end, the
// request was written whole, and nothing follows the answer. Otherwise it
// closes the connection: bytes that follow an answer belong to no request, and
// would be taken for the next one's answer.
func (r *Response) Close(keepAlive time.Duration) {
	x := r.x
	x.closing.Do(func() {
		alive := x.stop()
		x.release()
		whole := false
		select {
		case w := <-x.wrote:
			whole = w.err == nil
		default:
		}
		clean := !x.stray && x.ended.Load() && r.Framed && x.conn.reader.Buffered() == 0
		if alive && whole && clean && !x.resp.Close && x.req.Reuse != ReuseNever {
			x.pool.put(x.conn, keepAlive)
			return
		}
		_ = x.conn.Close()
	})
}

// abort ends an exchange that got no answer, and reports whether the target may
// have seen the request.
//
// The guard is against "not run" said of a request that ran: the connection is
// closed and the write over before the bytes are counted, so that nothing of
// the request is written later.
func (x *exchange) abort(err error) *Error {
	err = endOf(x.ctx, err)
	x.silenced(err)
	x.stop()
	x.release()
	_ = x.conn.Close()
	w := <-x.wrote
	return &Error{Err: err, Written: w.bytes > 0}
}

// release frees the watchdog and the context.
func (x *exchange) release() {
	x.dog.Disarm()
	x.cancel(nil)
}

// silenced retires the target's connections if err says that one is silent.
func (x *exchange) silenced(err error) {
	if errors.Is(err, ErrNoProgress) {
		x.pool.Retire(x.req.Addr, x.req.Target)
	}
}
