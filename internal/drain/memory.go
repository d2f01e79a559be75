package drain

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/sock"
)

const (
	// headerSlack is the number of bytes by which an incomplete header may exceed the
	// limit. The server reads ahead, so that some of them may belong to a body.
	headerSlack = 8 << 10
	// secureByteCost is the cost of a byte of a header that is encrypted, so that its
	// lines can't be counted. It is that of the shortest lines.
	secureByteCost = 32
	// retryAfterMemory is the Retry-After time in seconds of plain refusals.
	retryAfterMemory = 1
	// lingerTime is how long the bytes of a caller are discarded that was refused
	// while it sends. If they stayed unread, the kernel would reset the connection, and
	// the caller might lose the answer.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
	// maxLingering is the number of connections that are in that state at a time.
	maxLingering = 64
	// idleWindow is the assumed number of bytes that a connection receives at most
	// while nobody reads them.
	idleWindow = 64 << 10
	// unreadShare is the part of the memory limit below which unread bytes aren't
	// measured.
	unreadShare = 8
	// unreadInterval is the interval between two measurements.
	unreadInterval = 250 * time.Millisecond
)

// headerTooLarge is the answer to a header that exceeds the limit before its end.
var headerTooLarge = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge))

// chargeHeader charges the bytes p of a header that were just read, and ends the
// connection if they exceed a limit.
func (c *conn) chargeHeader(p []byte) error {
	c.mu.Lock()
	if c.phase != reading || c.multiplexed {
		c.mu.Unlock()
		return nil
	}
	c.headerBytes += len(p)
	size := c.headerBytes
	c.mu.Unlock()
	if max := c.t.headerBytes(); max > 0 && size > max+headerSlack {
		counts.Add("headers_too_large", 1)
		headersTooLarge.Add(log.Fields{"limit": max})
		c.refuseHeader()
		return io.EOF // the server closes the connection without an answer
	}
	cost := quota.HeaderCost(p)
	if c.t.secure {
		cost = secureByteCost * int64(len(p))
	}
	if err := c.account.Grow(cost); err != nil {
		return os.ErrDeadlineExceeded // the server closes the connection without an answer
	}
	return nil
}

// refuseHeader answers that the header is too large.
func (c *conn) refuseHeader() {
	c.account.Reset(quota.ConnCost)
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := c.Conn.Write(headerTooLarge); err != nil || !beginLinger() {
		return
	}
	defer endLinger()
	c.discard()
}

// lingering bounds the connections whose bytes are discarded after a refusal.
var lingering = make(chan struct{}, maxLingering)

// beginLinger reports whether the connection may linger. endLinger must be called then.
func beginLinger() bool {
	select {
	case lingering <- struct{}{}:
		return true
	default:
		return false
	}
}

func endLinger() { <-lingering }

// linger lets the answer reach a caller whose request was refused while it arrived.
func (c *conn) linger() {
	c.mu.Lock()
	lingers, mayAnswer := c.lingers, c.phase == active && !c.evicted
	c.lingers = false
	c.mu.Unlock()
	if lingers || mayAnswer && c.account.Refused() && beginLinger() {
		defer endLinger()
		_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
		c.discard()
	}
}

// discard ends the direction to the caller and discards what the caller still sends,
// until the connection's deadline.
func (c *conn) discard() {
	if c.closeWrite() == nil {
		_, _ = io.CopyBuffer(io.Discard, io.LimitReader(onlyReader{c.Conn}, lingerBytes), make([]byte, 4<<10)) // ends by the deadline
	}
}

// onlyReader hides all other methods of a connection.
type onlyReader struct{ io.Reader }

// evict ends the connection. A request that still arrives is answered first, unless many
// are: until then the kernel holds what its caller sends.
func (c *conn) evict(receiving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && c.waiting {
		c.interrupt()
		return
	}
	c.evicted = true
	if c.phase == active && receiving && beginLinger() {
		c.lingers = true
		_ = c.Conn.SetReadDeadline(expired)
		return
	}
	_ = c.Conn.Close()
}

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// openAccount returns the request's account and charges its header. It returns false,
// after an answer, if that doesn't fit.
func (t *Tracker) openAccount(w http.ResponseWriter, req *http.Request) (_ *http.Request, done func(), ok bool) {
	done = func() {}
	if t.o.Memory == nil {
		return req, done, true
	}
	cost := quota.CostOf(req.Header)
	a := quota.FromContext(req.Context())
	var err error
	if req.ProtoAtLeast(2, 0) {
		ctl := http.NewResponseController(w)
		a = t.o.Memory.Open(func(receiving bool) {
			_ = ctl.SetReadDeadline(expired) // fails if the stream is closed
			if !receiving {
				_ = ctl.SetWriteDeadline(expired)
			}
		})
		done = a.Close
		req = req.WithContext(quota.WithAccount(req.Context(), a))
		err = a.Grow(cost)
	} else {
		err = a.Set(quota.ConnCost + cost)
	}
	if err == nil && req.ContentLength == 0 && len(req.TransferEncoding) == 0 {
		err = a.Run()
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		t.reject(w, req)
		done()
		return req, nil, false
	}
	return req, done, true
}

func (t *Tracker) reject(w http.ResponseWriter, req *http.Request) {
	if t.o.Reject != nil {
		t.o.Reject(w, req)
		return
	}
	w.Header().Set("Retry-After", fmt.Sprint(retryAfterMemory))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Tracker) headerBytes() int {
	if t.o.HeaderBytes == nil {
		return 0
	}
	return t.o.HeaderBytes()
}

// measureUnread charges the bytes that callers sent while their requests run. It does so
// only if there are so many connections that they may matter, which it reports.
func (t *Tracker) measureUnread() bool {
	if limit := t.o.Memory.Limit(); limit == 0 || t.count.Load()*idleWindow < limit/unreadShare {
		return false
	}
	t.mu.Lock()
	conns := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		running := c.phase == active && !c.multiplexed
		c.mu.Unlock()
		if running {
			c.account.SetUnread(int64(sock.Unread(c.Conn)))
		}
	}
	return true
}

// evictCostliest closes up to n connections whose requests cost most and get on least.
func (t *Tracker) evictCostliest(n int) {
	t.mu.Lock()
	accounts := make([]*quota.Account, 0, len(t.conns))
	for c := range t.conns {
		accounts = append(accounts, c.account)
	}
	t.mu.Unlock()
	t.o.Memory.EvictCostliest(accounts, n)
}
