package quota

import (
	"context"
	"io"
	"net/http"
)

// Costs in bytes of memory. Those of headers cover what net/http allocates while it parses
// them.
const (
	// ConnCost is the cost of a connection with its goroutine and its buffers.
	ConnCost = 24 << 10
	// lineCost is the cost of a header line besides its bytes: an entry of the map, its
	// slice, and the map's growth.
	lineCost = 160
	// byteCost is the cost of each byte of a header: of the buffer and of the string.
	byteCost = 2
)

// HeaderCost returns the cost in bytes of a header of the given size and number of lines.
func HeaderCost(bytes, lines int) int64 { return int64(byteCost*bytes + lineCost*lines) }

// CostOf returns the cost of a parsed header.
func CostOf(h http.Header) int64 {
	bytes, lines := 0, 0
	for k, values := range h {
		for _, v := range values {
			bytes += len(k) + len(v)
			lines++
		}
	}
	return HeaderCost(bytes, lines)
}

// accountKey is the context key of a request's *Account.
type accountKey struct{}

// WithAccount returns a context that carries the account.
func WithAccount(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// FromContext returns the account of a request, or nil if there is none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}

// minBuffer is the size of the first buffer of ReadAll.
const minBuffer = 4 << 10

// ReadAll reads r to its end, up to max bytes and one more, and charges the buffer to the
// account. length is the expected number of bytes, or negative if it is unknown. The
// buffer grows as bytes arrive, so that an announced length costs nothing by itself. The
// error wraps ErrExhausted if the account can't bear the buffer.
func ReadAll(a *Account, r io.Reader, length, max int64) ([]byte, error) {
	if length >= 0 {
		max = min(length, max)
	}
	r = io.LimitReader(r, max+1)
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := min(int64(cap(buf))*2, max+1)
			if len(buf) == 0 {
				size = min(minBuffer, max+1)
			}
			if int64(len(buf)) < size {
				grown, err := grow(a, buf, size)
				if err != nil {
					return nil, err
				}
				buf = grown
			}
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
		if int64(len(buf)) > max {
			return buf, nil
		}
	}
}

// grow copies buf to a buffer of the given size. Both are charged until the copy is done.
func grow(a *Account, buf []byte, size int64) ([]byte, error) {
	if err := a.Grow(size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	a.Shrink(int64(cap(buf)))
	return grown, nil
}
