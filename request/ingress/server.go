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
)

// NewServer returns a server for callers. It sets no idle timeout: package drain closes
// idle connections.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerReadTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
