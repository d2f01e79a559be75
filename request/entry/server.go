package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/internal/sock"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/request/limit"
)

const (
	// idleTimeout applies to HTTP/2, too, whose connections package drain leaves to
	// net/http. Package drain keeps net/http from closing a connection on which a
	// request has arrived.
	idleTimeout = 2 * time.Minute
	// headerLimitFactor is the ratio of net/http's header limit to the
	// configured one. Headers slightly over the configured limit then get an
	// answer with a result code instead of net/http's own.
	headerLimitFactor = 4
)

// NewServer returns a server for callers. Serve it on the listener that Listen
// returns.
//
// ReadHeaderTimeout covers the whole header. A caller that sends its header one
// byte at a time therefore can't hold a connection forever. There is no
// WriteTimeout because streams are long; each write to a caller has its own
// deadline.
func NewServer(l settings.Limits, handler http.Handler) *http.Server {
	l = withDefaults(l)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: l.ReadHeader,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    l.HeaderBytes * headerLimitFactor,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams:          l.Streams,
			MaxReceiveBufferPerConnection: receiveBuffer,
			MaxReceiveBufferPerStream:     receiveBuffer,
		},
	}
}

// receiveBuffer is the number of bytes that a connection with HTTP/2 may have sent and its
// requests not have read.
const receiveBuffer = 256 << 10

const (
	defaultConnections = 4096
	// connectionShare is the share of the process's descriptors that callers'
	// connections may use.
	connectionShare = 0.5
)

// Listen limits the number of open connections of l to s.Connections.
func Listen(l net.Listener, s settings.Limits) net.Listener {
	return limit.Listen(l, MaxConns(s))
}

// MaxConns returns the number of connections that callers may have open.
func MaxConns(s settings.Limits) int {
	n := s.Connections
	if n <= 0 {
		n = defaultConnections
	}
	if descriptors, err := sock.MaxDescriptors(); err == nil {
		n = min(n, int(connectionShare*float64(descriptors)))
	}
	return n
}

// Reject answers a request whose header doesn't fit into the memory for callers.
func Reject(w http.ResponseWriter, _ *http.Request) { writeError(w, limit.MemoryExhausted()) }
