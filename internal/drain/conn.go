package drain

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/internal/presence"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/internal/sock"
)

// phase is the state of a connection.
type phase int8

const (
	fresh   phase = iota // accepted; nothing was read
	reading              // a part of a request was read
	active               // a request is open
	idle                 // all requests were answered
)

// drainState is what a stop may do with a connection.
type drainState int8

const (
	busy drainState = iota
	closable
	left // to the server
)

// readGrace is the time to read bytes that had arrived before the deadline of a read.
// A process that stood still finds its deadlines expired when it continues.
const readGrace = time.Second

// conn is a connection that counts as busy from the Read that returns the first
// bytes of a request. Only that Read decides whether the connection is closed as
// idle: a closer interrupts it by an expired deadline, and Read then ends the
// connection only if it has got no bytes and none are pending.
type conn struct {
	net.Conn
	t       *Tracker
	account *quota.Account // of its memory
	inflow  sock.Inflow
	remove  sync.Once
	mute    atomic.Bool // closed with a part of a request, which the server would call malformed

	mu          sync.Mutex
	phase       phase
	since       time.Time // of the phase
	waiting     bool      // a Read is called
	closing     bool      // a Read was interrupted
	closed      bool      // by Read
	early       bool      // bytes of the next request were read during the open one
	multiplexed bool      // HTTP/2
	deadline    time.Time // of reads, as the server has set it
	headerBytes int       // that were read of a header
	evicted     bool      // its memory is needed
	lingers     bool      // it is in lingering, until it is closed
	extended    bool      // the deadline was extended by readGrace, or was set to expire at once

	open      *request           // of a connection that carries one request at a time; nil: none is open
	inUnread  bool               // it is in Tracker.unread
	departure presence.Departure // zero: the caller hasn't left while a request was open
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if c.closed || c.evicted {
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		c.waiting = true
		if c.inUnread {
			c.inUnread = false
			c.t.unread.remove(c)
		}
		c.mu.Unlock()
		c.inflow.BeginRead()
		n, err := c.Conn.Read(p)
		c.inflow.EndRead(n)
		if again, err := c.endRead(len(p), n, err); !again {
			if n > 0 {
				if refused := c.chargeHeader(p[:n]); refused != nil {
					return 0, refused
				}
			}
			return n, err
		}
	}
}

// endRead handles the result of a read into a buffer of the given size. again means
// that the read must be repeated.
func (c *conn) endRead(size, n int, err error) (again bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	switch {
	case n > 0:
		c.recordBytes(size)
		c.resume()
		return false, err
	case c.evicted:
		return false, err
	case !errors.Is(err, os.ErrDeadlineExceeded):
		if !errors.Is(err, net.ErrClosed) {
			c.recordDeparture(presence.ByRead)
		}
		return false, err
	case c.closing && pending(c.Conn):
		c.resume()
		return true, nil
	case c.closing:
		c.closed = true
		c.mute.Store(c.phase == reading)
		return false, err // the server closes the connection without an answer
	case !c.extended && pending(c.Conn):
		c.extended = true
		return true, c.Conn.SetReadDeadline(time.Now().Add(readGrace))
	}
	return false, err
}

// recordBytes updates the phase after bytes were read. Callers hold c.mu.
func (c *conn) recordBytes(size int) {
	switch {
	case c.multiplexed:
	case c.phase == fresh || c.phase == idle:
		c.phase, c.since, c.headerBytes = reading, time.Now(), 0
		c.account.Receive()
	case c.phase == active && size == 1:
		// While a handler runs, net/http reads one byte ahead.
		c.early = true
	}
	if c.open != nil && !c.inUnread {
		c.inUnread = true
		c.t.unread.add(c)
	}
}

// resume lets the connection live that a closer has interrupted. Callers hold c.mu.
func (c *conn) resume() {
	if c.closing {
		c.closing = false
		c.account.Readmit()
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.mute.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(d time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = d
	c.extended = !d.IsZero() && !d.After(time.Now())
	if c.closing {
		return nil // until resume
	}
	return c.Conn.SetReadDeadline(d)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(d time.Time) error {
	return errors.Join(c.SetReadDeadline(d), c.SetWriteDeadline(d))
}

// CloseWrite closes the direction to the caller. It closes a connection in both directions
// if its request didn't fit into memory: the server would keep it open for a while, with
// what it has received.
func (c *conn) CloseWrite() error {
	if c.account.Refused() {
		return c.Close()
	}
	return c.closeWrite()
}

func (c *conn) closeWrite() error {
	if half, ok := sock.Innermost(c.Conn).(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.remove.Do(func() { c.t.remove(c) })
	c.linger()
	return c.Conn.Close()
}

// closeIfWaiting closes the connection, unless a request is open or has arrived. The
// Read in progress closes it, soon after this returns.
func (c *conn) closeIfWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The first part of a request may have arrived since the connection was selected.
	if c.phase == reading && time.Since(c.since) < maxNewWait {
		return
	}
	c.interrupt()
}

// interrupt ends the Read in progress, unless a request is open. Callers hold c.mu. A
// connection with HTTP/2 is closed by the server only, whose GOAWAY states what it has
// read.
func (c *conn) interrupt() {
	if c.phase == active || !c.waiting || c.closing || c.closed || c.multiplexed {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(expired)
}

// closeAfter closes the connection if it has been idle for the limit, has been waiting for
// the rest of a request's header for headerLimit, or has had no request yet for
// firstRequestTimeout.
func (c *conn) closeAfter(limit, headerLimit time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	if c.phase == idle && age >= limit || c.phase == reading && age >= headerLimit || c.phase == fresh && age >= firstRequestTimeout {
		c.interrupt()
	}
}

// idleSince returns since when the connection has been idle, if it can be closed.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.phase == idle && c.waiting && !c.closing
}

// drainState returns the state in a stop that began at the given time.
func (c *conn) drainState(begun, now time.Time) drainState {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.multiplexed:
		return left
	case c.closed || c.closing:
		return closable
	case c.phase == active || !c.waiting:
		return busy
	case c.phase == idle || now.Sub(begun) >= maxNewWait && now.Sub(c.since) >= maxNewWait:
		return closable
	}
	return busy
}

// recordState is the ConnState of a server.
func recordState(nc net.Conn, state http.ConnState) {
	if c := tracked(nc); c != nil {
		secure, ok := nc.(*tls.Conn)
		c.setState(state, ok && state == http.StateActive && secure.ConnectionState().NegotiatedProtocol == "h2")
	}
}

func (c *conn) setState(state http.ConnState, multiplexed bool) {
	if state == http.StateClosed || state == http.StateHijacked {
		c.remove.Do(func() { c.t.remove(c) })
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if multiplexed && !c.multiplexed {
		c.multiplexed = true
		c.account.Reset(quota.ConnCost)
		_ = c.account.Run() // its streams have accounts of their own
	}
	switch {
	case state == http.StateActive:
		c.phase = active
	case state == http.StateIdle && c.early:
		c.phase, c.since, c.headerBytes = reading, time.Now(), 0
		c.account.Reset(quota.ConnCost)
	case state == http.StateIdle:
		c.phase, c.since = idle, time.Now()
		if !c.multiplexed {
			c.account.Reset(quota.ConnCost)
		}
	}
	c.early = false
}
