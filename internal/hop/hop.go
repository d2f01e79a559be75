// Package hop knows the HTTP headers that end with a connection (RFC 9110, 7.6.1)
// and those that a proxy writes anew.
package hop

import (
	"net/http"
	"strings"
)

// headers concern one connection only. Content-Length and Expect are written
// anew with the body.
var headers = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// Strip deletes the headers that concern one connection from h. Those that the
// header Connection lists stay: see Listed.
func Strip(h http.Header) {
	for _, k := range headers {
		h.Del(k)
	}
}

// Listed returns the names that the header Connection lists, in canonical form.
func Listed(h http.Header) []string {
	var out []string
	for _, name := range strings.Split(strings.Join(h.Values("Connection"), ","), ",") {
		if name = strings.TrimSpace(name); name != "" {
			out = append(out, http.CanonicalHeaderKey(name))
		}
	}
	return out
}
