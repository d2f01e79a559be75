package h1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/internal/presence"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/watchdog"
)

// Request is an HTTP request to a target.
type Request struct {
	Addr   string // host:port
	Target string // the target's id; targets that share an address don't share connections
	Method string
	URI    string // path and query, as written to the request line
	Host   string
	Header http.Header
	Body   []byte
	Reuse  Reuse
	// FirstByteTimeout limits the time from the start of the request, with
	// connecting, to the response header, and then the wait for the first bytes
	// of the body. 0 means no limit. An engine sends the header when it accepts
	// a request, and the first token after prefill.
	FirstByteTimeout time.Duration
	// ReadTimeout limits each wait for further bytes of the body. 0 means no
	// limit.
	ReadTimeout time.Duration
	// Name identifies the request in responses. Several sends may share it; each of
	// them gets a connection that hasn't carried it. It may be empty.
	Name string
	// Relate returns how a response relates to the request by the names in it. If it
	// is nil, every response is the request's own.
	Relate func(status int, h http.Header) Relation
}

// Reuse selects the connections that may carry a request.
type Reuse int

// The values of Reuse.
const (
	ReuseIdle   Reuse = iota // an idle connection, or a new one
	ReuseRecent              // a connection used within recentLimit or its keep-alive time, or a new one
	ReuseNever               // a new connection, which is closed after the response
)

// Response is a response whose header has been read. The caller must close it.
type Response struct {
	Status int
	Header http.Header
	Framed bool // the body's end is marked by its length or chunks; otherwise the close of the connection ends it
	Body   io.Reader
	Use    ConnUse

	x *exchange
}

// ConnUse describes for log lines how an exchange used its connection.
type ConnUse struct {
	Local   string // address of this end of the connection; empty if none was opened
	Earlier int    // requests that the connection carried before
	Written int    // bytes of the request that the kernel has accepted
	Strays  int    // responses to other requests that were discarded
	// Unacked is the number of bytes that the target's kernel hadn't acknowledged when the
	// exchange was given up.
	Unacked int
}

// String describes the use for a log line.
func (u ConnUse) String() string {
	if u.Local == "" {
		return "no connection"
	}
	text := fmt.Sprintf("via %s after %d, %d bytes", u.Local, u.Earlier, u.Written)
	if u.Unacked > 0 {
		text += fmt.Sprintf(", %d unacknowledged", u.Unacked)
	}
	if u.Strays > 0 {
		text += fmt.Sprintf(", %d strays", u.Strays)
	}
	return text
}

// Error is the error of a failed exchange.
type Error struct {
	Err     error
	Written bool // some byte of the request may have reached the target
	// Unacknowledged reports that the target's kernel acknowledged no byte of the
	// request before the connection was reset. The target won't receive the
	// request any more.
	Unacknowledged bool
	// Dialed reports that the connection was opened for the request, so that the
	// target's kernel lived after the request had begun.
	Dialed bool
	Use    ConnUse
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// exchange is a request and its response on one connection.
type exchange struct {
	pool      *Pool
	req       *Request
	conn      *conn
	ctx       context.Context
	watchdog  *watchdog.Watchdog
	cancel    context.CancelCauseFunc // of ctx
	stop      func() bool             // stops the callback that closes conn when ctx ends
	write     requestWrite
	resp      *http.Response
	bodyEnded atomic.Bool // the body was read to EOF
	closeOnce sync.Once
	strays    int // responses to other requests that arrived
	giveUp    sync.Once
	unacked   int        // bytes that were unacknowledged when the exchange was given up
	half      halfCloser // set if only this side of the connection was closed then
}

// Do sends r and reads the response header. It sends nothing if ctx has ended, or if the
// caller whose request ctx belongs to has left. It closes the connection when ctx
// ends or when the target makes no progress in time; most targets then stop
// processing the request. The error is an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, &Error{Err: context.Cause(ctx)}
	}
	ctx, wd, cancel := newWatchdog(ctx, r)
	c, err := p.acquire(ctx, r)
	if err == nil {
		if err = presence.Err(ctx); err != nil {
			p.putBack(c)
		}
	}
	if err != nil {
		err = causeOf(ctx, err)
		wd.Disarm()
		cancel(nil)
		return nil, &Error{Err: err}
	}
	x := &exchange{pool: p, req: r, conn: c, ctx: ctx, watchdog: wd, cancel: cancel}
	x.stop = context.AfterFunc(ctx, func() { x.closeConn(true) })
	c.history.begin(r.Name)
	x.startWrite()
	resp, err := x.read()
	if err != nil {
		return nil, x.abort(err)
	}
	wd.Disarm()
	p.endings.sawLife(r.Addr)
	return resp, nil
}

// causeOf returns the cause of ctx's end if ctx has ended, and err otherwise.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// maxStrays is the number of stray responses, which belong to other requests,
// that are discarded before the response to this one. maxStrayBytes limits the
// body of a stray response.
const (
	maxStrays     = 3
	maxStrayBytes = 1 << 20
)

// ErrInvalidStatus is the error of a response whose status no response can have. It
// can't be relayed.
var ErrInvalidStatus = errors.New("h1: response with an invalid status")

var errStray = errors.New("h1: response belongs to another request")

// read reads the response header and skips informational responses.
//
// It also discards stray responses. A target that responds to an earlier
// request twice would otherwise have its second response delivered to the next
// caller on the connection. A connection with a stray response isn't reused.
func (x *exchange) read() (*Response, error) {
	r := x.req
	x.conn.head.begin(quota.FromContext(x.ctx))
	for {
		x.conn.head.body = false
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("h1: no answer: %w", err)
		}
		if resp.StatusCode < http.StatusContinue {
			return nil, ErrInvalidStatus
		}
		x.conn.head.body = true
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if !x.conn.history.answers(resp.StatusCode, r.relation(resp)) {
			x.strays++
			counts.Add("strays", 1)
			if err := discard(resp); err != nil || x.strays > maxStrays {
				return nil, errStray
			}
			continue
		}
		x.resp = resp
		out := &Response{
			Status: resp.StatusCode,
			Header: resp.Header,
			Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
			Use:    x.use(),
			x:      x,
		}
		out.Body = &body{x: x, src: resp.Body, untilClose: !out.Framed && resp.Body != http.NoBody}
		return out, nil
	}
}

// use describes the use of the connection so far.
func (x *exchange) use() ConnUse {
	return ConnUse{Local: x.conn.local, Earlier: x.conn.history.requests - 1, Written: x.write.written(), Strays: x.strays}
}

// discard reads a framed response to its end. It fails if the response isn't
// framed or is too large.
func discard(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errStray
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
	if err == nil && n == maxStrayBytes {
		err = errStray
	}
	return err
}

// body applies the read timeouts to a response body and records when its end
// was read.
type body struct {
	x          *exchange
	src        io.Reader
	started    bool
	untilClose bool // the close of the connection marks the end
}

func (b *body) Read(p []byte) (int, error) {
	b.x.watchdog.Arm(b.timeout())
	n, err := b.src.Read(p)
	b.x.watchdog.Disarm()
	b.started = b.started || n > 0
	if b.untilClose && errors.Is(err, io.EOF) {
		err = b.x.checkClose()
	}
	switch {
	case errors.Is(err, io.EOF):
		b.x.bodyEnded.Store(true)
	case err != nil:
		err = causeOf(b.x.ctx, err)
		b.x.retireIfStalled(err)
	}
	return n, err
}

func (b *body) timeout() time.Duration {
	if b.started {
		return b.x.req.ReadTimeout
	}
	return b.x.req.FirstByteTimeout
}

// Close returns the connection to the pool if the framed response was read to
// its end, the request was fully written, no bytes follow the response, and copies
// of it can be distinguished from later responses. Otherwise it closes the connection: bytes
// that follow a response belong to no request and would be taken for the response to
// the next one. keepAlive is the idle timeout that the target stated; 0 means none.
func (r *Response) Close(keepAlive time.Duration) {
	x := r.x
	x.closeOnce.Do(func() {
		alive := x.stop()
		x.release()
		clean := x.strays == 0 && x.conn.history.reusable() && x.bodyEnded.Load() && r.Framed && x.conn.reader.Buffered() == 0
		if alive && x.write.complete() && clean && !x.resp.Close && x.req.Reuse != ReuseNever {
			x.pool.putIdle(x.conn, keepAlive)
			return
		}
		x.closeConn(!alive || !x.bodyEnded.Load())
		x.endConn()
	})
}

// abort ends an exchange that got no response. The error reports whether the
// target may have received any of the request.
//
// abort closes the connection and waits for the write to end before it counts
// the written bytes. Bytes written later could let a target run a request that
// was reported as not run.
func (x *exchange) abort(err error) *Error {
	err = causeOf(x.ctx, err)
	gaveUp := x.ctx.Err() != nil
	x.retireIfStalled(err)
	x.stop()
	x.release()
	x.closeConn(gaveUp)
	<-x.write.ended
	x.endConn()
	sent := x.write.bytes
	return &Error{Err: err, Written: sent > 0, Unacknowledged: sent > 0 && x.unacked >= sent, Dialed: x.conn.lastUsed.IsZero(), Use: x.use()}
}

// closeConn closes the connection. If bytes are unacknowledged, it resets it, so that the
// kernel doesn't go on sending them. Otherwise, if the request was given up, it closes
// this side only, and endConn the other one.
func (x *exchange) closeConn(gaveUp bool) {
	x.giveUp.Do(func() {
		x.conn.head.givenUp.Store(true)
		if x.unacked = unacknowledged(x.conn.Conn); x.unacked > 0 {
			if t, ok := x.conn.Conn.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
		} else if half, ok := x.conn.Conn.(halfCloser); ok && gaveUp && half.CloseWrite() == nil {
			x.half = half
			_ = half.SetDeadline(time.Unix(0, 0)) // ends reads and writes in progress
			return
		}
		_ = x.conn.Close()
	})
}

// endConn ends a connection of which closeConn closed one side. Nothing else may use it
// any more.
func (x *exchange) endConn() {
	if x.half != nil {
		x.pool.endings.await(x.half, x.req.Addr)
	}
}

// release disarms the watchdog, cancels the context and releases the head's memory.
func (x *exchange) release() {
	x.watchdog.Disarm()
	x.cancel(nil)
	x.conn.head.end()
}

// retireIfStalled retires the target's connections if err reports a stall.
func (x *exchange) retireIfStalled(err error) {
	if errors.Is(err, ErrNoProgress) {
		x.pool.Retire(x.req.Addr, x.req.Target)
	}
}
