package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// shortIdleShare of the pauses of idle callers are shorter than maxShortIdle, and
	// closingIdleShare of them last as long as a daemon that stops as planned serves.
	// The others are drawn up to maxIdleTime.
	shortIdleShare   = 0.5
	closingIdleShare = 0.3
	maxShortIdle     = 500 * time.Millisecond
	minClosingIdle   = 3 * time.Second
	maxClosingIdle   = 5 * time.Second

	// drainTime is the time from SIGTERM until a daemon closes idle connections or waits for
	// open requests: three times the time for which callers cache its address, and the time
	// in which the other daemons learn that it leaves.
	drainTime = 3600 * time.Millisecond
	// aimShare of the idle callers of a daemon that stops send in the aimSpread around
	// drainTime, and as many again at any time from lateBegin until the daemon has to exit.
	aimShare  = 0.4
	aimSpread = 30 * time.Millisecond
	lateBegin = 2900 * time.Millisecond

	// slowTimeout is the time until the deadline of requests that take long.
	slowTimeout = 15 * time.Second
	// longStreamShare of the streams take between minLongStream and maxSlow. The other
	// requests take up to maxShortSlow.
	longStreamShare = 0.12
	minLongStream   = 4000 * time.Millisecond
	maxSlow         = 6500 * time.Millisecond
	maxShortSlow    = 700 * time.Millisecond
)

// stopNotices informs callers of planned stops, so that requests arrive at the
// times at which a stop can go wrong.
type stopNotices struct {
	mu      sync.Mutex
	begun   map[int]time.Time // last stop by index of the daemon
	changed chan struct{}     // closed at the next stop
}

// AnnounceStop records that a daemon begins a planned stop.
func (l *Load) AnnounceStop(daemon int, at time.Time) {
	s := &l.stops
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun == nil {
		s.begun = make(map[int]time.Time)
	}
	s.begun[daemon] = at
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *stopNotices) of(daemon int) (begun time.Time, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.begun[daemon], s.changed
}

// stayIdle pauses for as long as connections may stay idle.
func (c *caller) stayIdle(ctx context.Context) {
	until := time.Now().Add(c.idleTime())
	for {
		begun, changed := c.stops.of(c.daemon)
		if c.conn != nil && !begun.IsZero() && !begun.Equal(c.aimedAt) {
			c.aimedAt = begun
			until = c.aim(begun, until)
		}
		t := time.NewTimer(time.Until(until))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
			return
		case <-changed:
			t.Stop()
		}
	}
}

func (c *caller) idleTime() time.Duration {
	switch x := c.rand.Float64(); {
	case x < shortIdleShare:
		return randomDuration(c.rand, maxShortIdle)
	case x < shortIdleShare+closingIdleShare:
		return minClosingIdle + randomDuration(c.rand, maxClosingIdle-minClosingIdle)
	}
	return randomDuration(c.rand, maxIdleTime)
}

// aim returns the end of a pause during a planned stop.
func (c *caller) aim(begun, until time.Time) time.Time {
	switch x := c.rand.Float64(); {
	case x < aimShare:
		return begun.Add(drainTime - aimSpread/2 + randomDuration(c.rand, aimSpread))
	case x < 2*aimShare:
		return begun.Add(lateBegin + randomDuration(c.rand, graceTime-graceMargin-lateBegin))
	}
	return until
}

// isClosed reports whether the peer has closed an idle connection, or has sent something
// on it.
func isClosed(c net.Conn) bool {
	tcp, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
		return true
	})
	return err != nil || !idle
}

// keepAlive returns how long a connection may stay idle after an answer.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			return min(time.Duration(seconds)*time.Second, maxIdleTime)
		}
	}
	return maxIdleTime
}

// slowMark stands in the id of a request before the gap in milliseconds that its target
// keeps, see slowGap.
const slowMark = "~"

// slowSuffix returns the end of the id of a request that takes long.
func slowSuffix(class Class, r *rand.Rand) string {
	gap := randomDuration(r, maxShortSlow)
	if class == Stream {
		if r.Float64() < longStreamShare {
			gap = minLongStream + randomDuration(r, maxSlow-minLongStream)
		}
		gap /= events
	}
	return fmt.Sprint(slowMark, gap.Milliseconds())
}

// slowGap returns the gap that the id of a request asks for.
func slowGap(id string) time.Duration {
	_, text, _ := strings.Cut(id, slowMark)
	ms, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
