package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/request/limit"
)

const (
	idleTimeout = 2 * time.Minute
	// headerSlack is what net/http reads beyond the limit, so that headers a
	// little too long get an answer with a code of ours.
	headerSlack = 4
)

// NewServer returns a server for callers. Serve it on Listen's listener.
//
// A caller that sends its header a byte at a time would hold a connection for
// good; ReadHeaderTimeout covers the whole header, so that dripping bytes
// doesn't extend it. Streams are long, so there is no WriteTimeout: writes to
// callers carry deadlines of their own.
func NewServer(l settings.Limits, handler http.Handler) *http.Server {
	l = withDefaults(l)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: l.ReadHeader,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    l.HeaderBytes * headerSlack,
	}
}

const defaultConnections = 4096

// Listen bounds the connections that l takes by the settings.
func Listen(l net.Listener, s settings.Limits) net.Listener {
	max := s.Connections
	if max <= 0 {
		max = defaultConnections
	}
	return limit.Listen(l, max)
}
