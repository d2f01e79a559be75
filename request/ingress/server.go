package ingress

import (
	"net/http"
	"time"
)

const (
	// headerTime bounds the reading of a request's header.
	headerTime = 10 * time.Second
	// headerBytes bounds a request's header.
	headerBytes = 64 << 10
	// idleTime is how long an idle caller's connection is kept. It is longer
	// than any configuration's limit, so that a caller that keeps to that
	// limit never sends a request into a close.
	idleTime = 10 * time.Minute
)

// NewServer returns a server for callers.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    headerBytes,
	}
}
