package h1

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/pomelospool/pomelospool/internal/quota"
)

// maxHead limits the status lines and headers that one exchange reads, in bytes:
// those of the response, of informational responses before it, and of strays.
// Targets send a few hundred.
const maxHead = 128 << 10

// ErrHeadTooLarge is the error of a response whose status line and headers exceed
// maxHead.
var ErrHeadTooLarge = errors.New("h1: response head is too large")

// headReader reads from a connection and limits the bytes that are read of heads. It
// charges them to the account of the request's caller, since short lines take many times
// their bytes.
type headReader struct {
	src     io.Reader
	left    int  // bytes of heads that may still be read
	body    bool // a body is being read, which its reader limits
	account *quota.Account
	charged int64       // bytes of memory
	givenUp atomic.Bool // the request was given up: what arrives may be due to that
}

// errGivenUp is the error of reads once the request was given up.
var errGivenUp = errors.New("h1: the request was given up")

// readSource drops what arrives once the request was given up. A target that sees the
// close may end its answer early, though in order.
func (h *headReader) readSource(p []byte) (int, error) {
	n, err := h.src.Read(p)
	if h.givenUp.Load() {
		return 0, errGivenUp
	}
	return n, err
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.body {
		return h.readSource(p)
	}
	if h.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := h.readSource(p[:min(len(p), h.left)])
	h.left -= n
	if n == 0 || h.account == nil {
		return n, err
	}
	cost := quota.HeaderCost(p[:n])
	if refused := h.account.Grow(cost); refused != nil {
		return 0, fmt.Errorf("h1: head of a response: %w", refused)
	}
	h.charged += cost
	return n, err
}

// begin starts an exchange, whose caller's account may be nil.
func (h *headReader) begin(account *quota.Account) {
	h.left, h.body, h.account, h.charged = maxHead, false, account, 0
}

// end releases what was charged.
func (h *headReader) end() {
	if h.charged > 0 {
		h.account.Shrink(h.charged)
	}
	h.account, h.charged = nil, 0
}
