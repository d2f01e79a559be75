package capacity

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of live objects, and of goroutine stacks.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// perOp runs f in growing rounds for at least the given time and returns the
// time of one call.
func perOp(least time.Duration, f func()) time.Duration {
	f()
	for n := 1; ; n *= 2 {
		began := time.Now()
		for range n {
			f()
		}
		if took := time.Since(began); took >= least {
			return took / time.Duration(n)
		}
	}
}

// opTime is how long perOp measures.
const opTime = 100 * time.Millisecond

// wire counts what crosses the connections of one process.
type wire struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

// headerBytes is what each write adds on the wire at most: the IP and TCP
// headers with time stamps of its segment and of the segment that acknowledges it.
const headerBytes = 2 * 52

// total returns the bytes sent, headers included.
func (w *wire) total() float64 {
	return float64(w.bytes.Load() + headerBytes*w.writes.Load())
}

// count wraps c so that w counts what is written to it.
func (w *wire) count(c net.Conn) net.Conn { return &countedConn{Conn: c, w: w} }

type countedConn struct {
	net.Conn
	w     *wire
	reads bool // count what arrives too
}

// Write counts and passes on.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.w.bytes.Add(int64(n))
	c.w.writes.Add(1)
	return n, err
}

// countedListener counts what its accepted connections write, and what they
// read if told so.
type countedListener struct {
	net.Listener
	w     *wire
	reads bool
}

// Accept wraps the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, w: l.w, reads: l.reads}, nil
}

// Read counts what the other end wrote: one write a read, about.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.reads && n > 0 {
		c.w.bytes.Add(int64(n))
		c.w.writes.Add(1)
	}
	return n, err
}
