package sock

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
)

const (
	// inflowYields is the number of times that Await yields the processor before it sleeps.
	inflowYields = 16
	// inflowPoll is the interval between two checks after that.
	inflowPoll = 200 * time.Microsecond
)

// Inflow tracks what a connection's reader has received. A server that multiplexes requests
// reads a cancellation from the connection only after what was sent before it. It is safe
// for concurrent use.
type Inflow struct {
	received atomic.Int64 // bytes
	reading  atomic.Bool  // a read is in progress: what was received has been processed
}

// BeginRead states that a read from the connection begins.
func (f *Inflow) BeginRead() { f.reading.Store(true) }

// EndRead states that a read has returned n bytes.
func (f *Inflow) EndRead(n int) {
	f.reading.Store(false)
	f.received.Add(int64(n))
}

// Await waits until the bytes that have arrived on the connection have been read and
// processed, up to the limit or the end of ctx. All reads of the connection must have been
// stated.
func (f *Inflow) Await(ctx context.Context, c net.Conn, limit time.Duration) {
	goal := arrived(c)
	end := time.Now().Add(limit)
	for n := 0; !f.reading.Load() || f.received.Load() < goal; n++ {
		if n < inflowYields {
			runtime.Gosched()
			continue
		}
		if time.Now().After(end) || pause.For(ctx, inflowPoll) != nil {
			return
		}
	}
}

// Innermost returns the connection below all wrappers.
func Innermost(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}
