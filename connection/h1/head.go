package h1

import (
	"errors"
	"io"
)

// maxHead limits the status lines and headers that one exchange reads, in bytes:
// those of the response, of informational responses before it, and of strays.
// Targets send a few hundred.
const maxHead = 128 << 10

// ErrHeadTooLarge is the error of a response whose status line and headers exceed
// maxHead.
var ErrHeadTooLarge = errors.New("h1: response head is too large")

// headReader reads from a connection and limits the bytes that are read of heads.
type headReader struct {
	src  io.Reader
	left int  // bytes of heads that may still be read
	body bool // a body is being read, which its reader limits
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.body {
		return h.src.Read(p)
	}
	if h.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := h.src.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// begin starts an exchange.
func (h *headReader) begin() { h.left, h.body = maxHead, false }
