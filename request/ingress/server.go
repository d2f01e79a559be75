package ingress

import (
	"net/http"
	"time"
)

const (
	// headerReadTimeout bounds the time to read a request's header, whatever the
	// configuration says. Package drain applies the limits of the configuration.
	headerReadTimeout = time.Minute
)

// NewServer returns a server for callers. It sets no idle timeout: package drain closes
// idle connections.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerReadTimeout,
	}
}
