// Package hop handles the hop-by-hop HTTP headers (RFC 9110, section 7.6.1) and
// the headers that a proxy sets itself.
package hop

import (
	"net/http"
	"strings"
)

// hopHeaders apply to a single connection. Content-Length and Expect are set
// again together with the body.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// Strip deletes the hop-by-hop headers from h. It keeps the headers listed in
// the Connection header, which ConnectionOptions returns.
func Strip(h http.Header) {
	for _, k := range hopHeaders {
		h.Del(k)
	}
}

// ConnectionOptions returns the names listed in the Connection header, in
// canonical form.
func ConnectionOptions(h http.Header) []string {
	var out []string
	for _, name := range strings.Split(strings.Join(h.Values("Connection"), ","), ",") {
		if name = strings.TrimSpace(name); name != "" {
			out = append(out, http.CanonicalHeaderKey(name))
		}
	}
	return out
}
