package front

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/internal/sock"
)

// Shares of the process's file descriptors that the connections to its ports may use.
// The rest is for connections to targets, the store and other daemons, and for files.
const (
	callersShare  = 0.5
	peersShare    = 0.125
	internalShare = 0.0625 // of each other port
)

// descriptors returns the number of file descriptors of a share, or 0 if the process
// has no known limit.
func descriptors(share float64) int {
	n, err := sock.MaxDescriptors()
	if err != nil {
		return 0
	}
	return int(share * float64(n))
}

// idleTimeout returns how long a caller's connection may stay idle, or 0 if the
// configuration has no limit.
func (d *Daemon) idleTimeout() time.Duration {
	cfg := d.config.Load()
	if cfg == nil {
		return 0
	}
	return cfg.Limits.IdleTimeout
}

// headerTimeout returns how long a caller may take to send a header, or 0 if the
// configuration has no limit.
func (d *Daemon) headerTimeout() time.Duration {
	cfg := d.config.Load()
	if cfg == nil {
		return 0
	}
	return cfg.Limits.HeaderTimeout
}

// envelopeBytes is the room for what a daemon adds to the header of a request that it
// forwards.
const envelopeBytes = 4 << 10

// headerBytes returns the maximum size of a caller's header, or that of the settings if
// the configuration has no limit.
func (d *Daemon) headerBytes() int {
	cfg := d.config.Load()
	if cfg == nil || cfg.Limits.HeaderBytes <= 0 {
		return d.s.Limits.HeaderBytes
	}
	return cfg.Limits.HeaderBytes
}

// internalHeaderTimeout bounds the reading of a request's header on every port
// except the callers'.
const internalHeaderTimeout = 5 * time.Second

// newInternalServer returns a server for a port other than the callers'.
func (d *Daemon) newInternalServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: internalHeaderTimeout, MaxHeaderBytes: d.s.Limits.HeaderBytes}
}

// newPeersServer returns the server for other daemons. They forward callers' headers, which
// package drain limits as the configuration says.
func newPeersServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: internalHeaderTimeout}
}

// drainInternal answers the open requests of all ports except the callers'. Reads that
// wait for records are answered at once.
func (d *Daemon) drainInternal(ctx context.Context) {
	d.endReads()
	var wg sync.WaitGroup
	for _, s := range d.servers {
		if s != d.callers {
			wg.Go(func() { _ = s.drain.Shutdown(ctx, s.l) })
		}
	}
	wg.Wait()
}

// untilDrained returns the request with a context that also ends with d.reads.
func (d *Daemon) untilDrained(req *http.Request) (*http.Request, func()) {
	ctx, cancel := context.WithCancel(req.Context())
	stop := context.AfterFunc(d.reads, cancel)
	return req.WithContext(ctx), func() { stop(); cancel() }
}
