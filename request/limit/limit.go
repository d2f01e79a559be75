// Package limit limits what callers may use: connections, concurrent
// requests, body bytes and time.
package limit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/watchdog"
)

// Streams counts the open requests of each caller. It only holds callers
// with open requests.
type Streams struct {
	mu   sync.Mutex
	open map[string]int
}

func NewStreams() *Streams { return &Streams{open: make(map[string]int)} }

// Enter counts a request of caller and returns the function that ends it.
// Beyond max it returns code.TooManyStreams. A max of 0 or less means no
// limit.
func (s *Streams) Enter(caller string, max int) (func(), error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if max > 0 && s.open[caller] >= max {
		return nil, code.New(code.TooManyStreams, "%d are open", s.open[caller]).WithRetryAfter(time.Second)
	}
	s.open[caller]++
	return func() { s.leave(caller) }, nil
}

func (s *Streams) leave(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[caller]--
	if s.open[caller] == 0 {
		delete(s.open, caller)
	}
}

// ReadBody reads the whole body of req, up to max bytes, and fails if that
// takes longer than wait.
//
// The time limit covers the whole body, so a caller that sends its body a
// byte at a time can't hold a connection and memory for long. Time during
// which this process is paused doesn't count.
func ReadBody(w http.ResponseWriter, req *http.Request, max int64, wait time.Duration) ([]byte, error) {
	if req.ContentLength == 0 && len(req.TransferEncoding) == 0 {
		return nil, nil
	}
	if req.ContentLength > max {
		return nil, code.New(code.BodyTooLarge, "%d bytes, at most %d", req.ContentLength, max)
	}
	// Setting a deadline only fails on writers without a connection, as in tests.
	ctl := http.NewResponseController(w)
	wd := watchdog.New(func() { _ = ctl.SetReadDeadline(expiredDeadline) })
	wd.Arm(wait)
	account := quota.FromContext(req.Context())
	body, err := quota.ReadBody(account, http.MaxBytesReader(w, req.Body, max), req.ContentLength, max)
	expired := wd.Disarm()
	if account.Run() != nil || errors.Is(err, quota.ErrExhausted) {
		return nil, MemoryExhausted()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, code.New(code.BodyTooLarge, "at most %d bytes", max)
	}
	if err != nil {
		return nil, code.Wrap(code.BadRequest, err, "the body ended early")
	}
	if expired {
		_ = ctl.SetReadDeadline(time.Time{})
	}
	return body, nil
}

// memoryRetryAfter is the Retry-After time of requests that don't fit into the memory for
// callers. Other daemons may have room at once.
const memoryRetryAfter = 500 * time.Millisecond

// MemoryExhausted returns the error of a request that doesn't fit into the memory for
// callers.
func MemoryExhausted() *code.Error {
	return code.New(code.MemoryExhausted, "").WithRetryAfter(memoryRetryAfter)
}

// WriteAll writes an answer's body to the caller, of whose account it is a part. The account
// may be nil. It fails if the caller accepts no bytes for the time stall.
func WriteAll(w http.ResponseWriter, account *quota.Account, body []byte, stall time.Duration) error {
	const part = 16 << 10
	out := NewWriter(w, stall)
	for len(body) > 0 {
		account.Send()
		n, err := out.Write(body[:min(part, len(body))])
		if err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// rejection is the complete response to a connection beyond the limit.
var rejection = func() []byte {
	i := code.TooManyConns.Info()
	body := fmt.Sprintf(`{"error":{"code":%d,"type":%q,"message":%q,"not_run":true,"retry_after_ms":1000}}`,
		int(i.Code), i.Name, i.Meaning)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nX-Result-Code: %d\r\n"+
		"X-Not-Run: true\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		i.Status, http.StatusText(i.Status), int(i.Code), len(body), body)
}()

const (
	rejectTimeout  = 100 * time.Millisecond
	maxRejectDrain = 64 << 10
	maxRejecting   = 64
)

// listener accepts at most max connections at a time.
type listener struct {
	net.Listener
	max       int
	rejecting chan struct{}

	mu   sync.Mutex
	open int
}

// Listen returns a listener that answers connections beyond max with
// code.TooManyConns and closes them. A max of 0 or less means no limit.
func Listen(l net.Listener, max int) net.Listener {
	if max <= 0 {
		return l
	}
	return &listener{Listener: l, max: max, rejecting: make(chan struct{}, maxRejecting)}
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &countedConn{Conn: c, leave: sync.OnceFunc(l.release)}, nil
		}
		l.reject(c)
	}
}

// reject answers with the rejection and closes the connection. If it were
// closed with unread bytes, the kernel would reset it and the caller might
// lose the answer. Incoming bytes are therefore drained for a short time by
// a bounded number of goroutines.
func (l *listener) reject(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(rejectTimeout))
	_, _ = c.Write(rejection)
	select {
	case l.rejecting <- struct{}{}:
	default:
		_ = c.Close()
		return
	}
	go func() {
		defer func() { <-l.rejecting }()
		defer c.Close()
		if half, ok := c.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxRejectDrain))
	}()
}

func (l *listener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.max {
		return false
	}
	l.open++
	return true
}

func (l *listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

type countedConn struct {
	net.Conn
	leave func()
}

// NetConn returns the wrapped connection.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.leave()
	return err
}
