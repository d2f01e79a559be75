package limit

import "net/http"

// HeaderBytes returns the least number of bytes in which a caller can have sent the header
// of the request.
func HeaderBytes(req *http.Request) int {
	n := len(req.Method) + len(req.RequestURI) + len("  HTTP/1.1\r\n") + len("Host:\r\n") + len(req.Host) + len("\r\n")
	for k, values := range req.Header {
		for _, v := range values {
			n += len(k) + len(v) + len(":\r\n")
		}
	}
	return n
}
