package ingress

import (
	"net/http"
	"time"
)

const (
	// headerReadTimeout bounds the time to read a request's header.
	headerReadTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long an idle connection of a caller is kept open. It
	// is longer than any configured limit, so that a caller that observes that
	// limit never sends a request on a connection that is being closed.
	idleTimeout = 10 * time.Minute
)

// NewServer returns a server for callers.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
