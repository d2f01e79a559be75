package drain

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// limited returns options with an idle timeout.
func limited(d time.Duration) Options {
	return Options{IdleTimeout: func() time.Duration { return d }}
}

const idleLimit = 15 * time.Second

// Guards against idle connections that stay open for longer than the configuration
// allows, and against connections that are closed before that.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, limited(idleLimit))
		c := f.dial()
		c.send(fastRequest)
		c.receive()
		time.Sleep(idleLimit - 10*time.Millisecond)
		if !c.isOpen() {
			t.Error("closed too early")
		}
		time.Sleep(2 * maxSweepInterval)
		if c.isOpen() {
			t.Error("still open")
		}
		f.stop()
		<-f.stopped
	})
}

// Guards against the new idle timeout of a later configuration being ignored.
func TestIdleTimeoutMayChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		limit.Store(int64(time.Minute))
		f := newFixture(t, Options{IdleTimeout: func() time.Duration { return time.Duration(limit.Load()) }})
		c := f.dial()
		c.send(fastRequest)
		c.receive()
		time.Sleep(10 * time.Second)
		limit.Store(int64(5 * time.Second))
		time.Sleep(2 * maxSweepInterval)
		if c.isOpen() {
			t.Error("still open")
		}
		f.stop()
		<-f.stopped
	})
}

// Guards against requests that are read at the very moment at which the connection's
// idle time ends, run, and aren't answered.
func TestRequestAtTheIdleTimeoutIsAnswered(t *testing.T) {
	// The sweeps' phase differs from that of the idle time, so several moments are tried.
	for offset := -time.Second; offset < time.Second; offset += lateBy / 2 {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, limited(idleLimit))
			c := f.dial()
			c.send(fastRequest)
			c.receive()
			time.Sleep(idleLimit + offset)
			c.send(fastRequest)
			if ok, _ := c.receive(); !ok && f.runs.Load() != 1 {
				t.Errorf("at %v: the request ran and wasn't answered", offset)
			} else if !ok && offset < 0 {
				t.Errorf("at %v: closed too early", offset)
			}
			f.stop()
			<-f.stopped
		})
	}
}

// Guards against connections that send a byte of a request and then nothing.
func TestPartOfHeaderIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, limited(time.Hour))
		c := f.dial()
		c.send(fastRequest)
		c.receive()
		c.send("G")
		time.Sleep(f.tracker.headerTimeout() + 2*maxSweepInterval)
		if c.isOpen() {
			t.Error("still open")
		}
		f.stop()
		<-f.stopped
	})
}

// Guards against callers that keep idle connections and so use up all descriptors, so
// that new callers aren't answered.
func TestIdleConnectionsMakeRoomForNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConns = 32
		o := limited(idleLimit)
		o.MaxConns = maxConns
		f := newFixture(t, o)
		busy := f.dial()
		go busy.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
		time.Sleep(lateBy)
		var kept []*caller
		asked := 0
		for range 3 * maxConns {
			c := f.dial()
			c.send(fastRequest)
			ok, closes := c.receive()
			if !ok {
				t.Fatal("a new caller wasn't served")
			}
			if closes {
				asked++
			} else {
				kept = append(kept, c)
			}
			if n := f.tracker.count.Load(); n > maxConns+2 {
				t.Fatalf("%d connections are open", n)
			}
		}
		if len(kept) < maxConns/2 || asked < maxConns {
			t.Errorf("%d callers kept their connections, %d were asked to close them", len(kept), asked)
		}
		if ok, _ := busy.receive(); !ok {
			t.Error("the open request was cut")
		}
		f.stop()
		<-f.stopped
	})
}

// Guards against the loss of connections that callers are about to use again, while
// others have been idle for longer than callers wait.
func TestLongestIdleConnectionsAreClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxConns, each = 32, 10
		o := limited(idleLimit)
		o.MaxConns = maxConns
		f := newFixture(t, o)
		open := func() (list []*caller) {
			for range each {
				c := f.dial()
				c.send(fastRequest)
				c.receive()
				list = append(list, c)
			}
			return list
		}
		old := open()
		time.Sleep(f.tracker.reuseTime())
		recent := open()
		for range maxConns - 2*each {
			go f.dial().send(slowRequest)
		}
		time.Sleep(slow / 2)
		if old[0].isOpen() {
			t.Error("the longest idle connection is open")
		}
		for i, c := range recent {
			if !c.isOpen() {
				t.Errorf("recent connection %d was closed", i)
			}
		}
		time.Sleep(slow)
		_ = f.tracker.server.Close()
	})
}

// Guards against new callers that are refused at the limit of connections while others
// are idle.
func TestConnectionsAtTheLimitAreClosedForNewOnes(t *testing.T) {
	for _, maxConns := range []int{1, 7, 100} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, Options{MaxConns: maxConns})
			var all []*caller
			for range maxConns {
				c := f.dial()
				synctest.Wait()
				all = append(all, c)
			}
			for _, c := range all {
				c.send(fastRequest)
			}
			for _, c := range all {
				c.receive()
			}
			f.dial()
			time.Sleep(2 * maxSweepInterval)
			if n := f.tracker.count.Load(); n > int64(maxConns) {
				t.Errorf("%d of %d connections are open", n, maxConns)
			}
			_ = f.tracker.server.Close()
		})
	}
}
