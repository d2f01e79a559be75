package h1

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/internal/sock"
)

const (
	// endGrace is the time in which a target closes its side of a connection after this
	// side was closed. One that doesn't may heed only a reset.
	endGrace = 250 * time.Millisecond
	// endPoll is the interval at which a connection is checked whose target hasn't closed it.
	endPoll = 100 * time.Millisecond
	// minEndProbe and maxEndProbe are the intervals at which a target that hasn't closed its
	// side is probed: the first one, and the longest one.
	minEndProbe = 250 * time.Millisecond
	maxEndProbe = time.Second
	// maxEndTime is the time after which a target is given up that shows no sign of life.
	// Few requests run longer.
	maxEndTime = 20 * time.Second
	// maxEndBytes is the number of bytes that are read from a target after this side was
	// closed. One that sends more doesn't heed the close, and uses up the link.
	maxEndBytes = 64 << 10
	// maxEndings bounds the connections that are being ended.
	maxEndings = 512
	// LateEnd is the time after which work for a request that was given up is late to end.
	LateEnd = 500 * time.Millisecond
)

// halfCloser is a connection whose two directions close apart, such as a net.TCPConn.
type halfCloser interface {
	net.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// EndStats counts requests that were given up once the target had received them, since
// their caller left or the target made no progress in time.
type EndStats struct {
	Given       int // given up
	Confirmed   int // the target closed its side within LateEnd
	Late        int // it did later, or not at all
	Reset       int // it had to be reset, since it ignored the close
	Unreachable int // the target showed no sign of life within LateEnd
	Untracked   int // closed without waiting, since too many were being ended
}

// endings are the connections of requests that were given up and whose targets haven't
// confirmed it. It is safe for concurrent use.
//
// The kernel repeats a lost close at growing intervals: after a path was cut for some
// seconds, the target isn't told for as long again. A reset isn't repeated at all. So a
// connection is closed first, and reset if the target still ignores that when it has shown
// signs of life on another connection.
type endings struct {
	probe func(addr string) error // connects to a target

	mu     sync.Mutex
	byAddr map[string]map[*ending]bool
	probed map[string]bool // addresses that are being probed
	n      int
	closed bool
	stats  EndStats
}

func newEndings(probe func(addr string) error) *endings {
	return &endings{probe: probe, byAddr: make(map[string]map[*ending]bool), probed: make(map[string]bool)}
}

// ending is one such connection.
type ending struct {
	conn    halfCloser
	addr    string
	began   time.Time
	reached chan struct{} // receives when the target has shown signs of life
	wasCut  atomic.Bool   // a probe of the target has failed
	left    int64         // bytes that may still be read of what the target sends
}

// await waits in the background until the target has closed its side of the connection,
// whose other side is closed, and then closes it.
func (e *endings) await(c halfCloser, addr string) {
	w := &ending{conn: c, addr: addr, began: time.Now(), reached: make(chan struct{}, 1), left: maxEndBytes}
	e.mu.Lock()
	e.stats.Given++
	if e.closed || e.n >= maxEndings {
		e.stats.Untracked++
		e.mu.Unlock()
		_ = c.Close()
		return
	}
	e.n++
	if e.byAddr[addr] == nil {
		e.byAddr[addr] = make(map[*ending]bool)
	}
	e.byAddr[addr][w] = true
	e.mu.Unlock()
	go func() {
		result := w.run(func() { e.startProbes(addr) })
		e.end(w, result)
	}()
}

// startProbes probes a target in the background until it accepts a connection or none of
// its connections waits for that.
func (e *endings) startProbes(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.probed[addr] || e.closed {
		return
	}
	e.probed[addr] = true
	go func() {
		for interval := minEndProbe; e.isWaiting(addr); interval = min(2*interval, maxEndProbe) {
			if e.probe(addr) == nil {
				break
			}
			e.sawCut(addr)
			time.Sleep(interval)
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.probed, addr)
	}()
}

func (e *endings) isWaiting(addr string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.byAddr[addr]) > 0 && !e.closed
}

func (e *endings) end(w *ending, result EndStats) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.n--
	if delete(e.byAddr[w.addr], w); len(e.byAddr[w.addr]) == 0 {
		delete(e.byAddr, w.addr)
	}
	counts.Add("given_up", 1)
	if result.Late > 0 {
		counts.Add("given_up_late", 1)
	}
	e.stats.Confirmed += result.Confirmed
	e.stats.Late += result.Late
	e.stats.Reset += result.Reset
	e.stats.Unreachable += result.Unreachable
}

// sawLife records that a target answered or accepted a connection.
func (e *endings) sawLife(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for w := range e.byAddr[addr] {
		select {
		case w.reached <- struct{}{}:
		default:
		}
	}
}

// sawCut records that a target can't be reached. Earlier signs of life don't count.
func (e *endings) sawCut(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for w := range e.byAddr[addr] {
		w.wasCut.Store(true)
		select {
		case <-w.reached:
		default:
		}
	}
}

// close closes all connections that are being ended.
func (e *endings) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, list := range e.byAddr {
		for w := range list {
			_ = w.conn.Close()
		}
	}
}

func (e *endings) snapshot() EndStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// run ends the connection and returns what it adds to the statistics. askLife is called
// if a sign of life of the target is needed.
func (w *ending) run(askLife func()) (result EndStats) {
	defer func() { _ = w.conn.Close() }()
	sock.SetUserTimeout(w.conn, maxEndTime) // the kernel goes on sending the close
	for limit := endGrace; !w.awaitClose(limit); limit = endPoll {
		age := time.Since(w.began)
		if w.left <= 0 || w.lives() || age >= maxEndTime {
			result.Reset = 1
			_ = w.conn.SetLinger(0)
			break
		}
		if age >= LateEnd {
			result.Unreachable = 1
		}
		askLife()
	}
	if time.Since(w.began) <= LateEnd {
		result.Confirmed = 1
	} else {
		result.Late = 1
	}
	return result
}

// awaitClose discards what the target sends, as long as that is little, and reports whether
// it has closed its side.
func (w *ending) awaitClose(limit time.Duration) bool {
	_ = w.conn.SetReadDeadline(time.Now().Add(limit))
	n, err := io.Copy(io.Discard, io.LimitReader(w.conn, w.left))
	w.left -= n
	return w.left > 0 && !errors.Is(err, os.ErrDeadlineExceeded)
}

// lives reports whether the target has shown signs of life. While the close is
// unacknowledged, that counts only after a cut: otherwise this connection alone is silent,
// and the kernel goes on repeating the close.
func (w *ending) lives() bool {
	if !w.wasCut.Load() && unacknowledged(w.conn) > 0 {
		return false
	}
	select {
	case <-w.reached:
		return true
	default:
		return false
	}
}
