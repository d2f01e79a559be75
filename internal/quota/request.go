package quota

import (
	"bytes"
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

// HeaderCost returns the cost in bytes of a part of a header as it was received.
func HeaderCost(part []byte) int64 { return headerCost(len(part), bytes.Count(part, []byte("\n"))) }

func headerCost(size, lines int) int64 { return int64(byteCost*size + lineCost*lines) }

// CostOf returns the cost of a parsed header.
func CostOf(h http.Header) int64 {
	size, lines := 0, 0
	for k, values := range h {
		for _, v := range values {
			size += len(k) + len(v)
			lines++
		}
	}
	return headerCost(size, lines)
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

// Answers returns a handler that charges each request for its answer and for what is
// computed for it, in bytes. Callers that don't read their answers are the first to be
// evicted.
func Answers(next http.Handler, cost int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a := FromContext(req.Context())
		if a.Grow(cost) != nil {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		a.Send()
		next.ServeHTTP(w, req)
	})
}

const (
	// smallWindow is the number of bytes that the kernel receives for a body that has just
	// begun. It is the usual one of a new connection.
	smallWindow = 64 << 10
	// largeWindow is the same for a large body. It is charged.
	largeWindow = 128 << 10
)

// limitWindow keeps the kernel from receiving more and more for a body that may be large.
func (a *Account) limitWindow(length int64) {
	if a != nil && a.setWindow != nil && (length < 0 || length > smallWindow) {
		a.setWindow(smallWindow)
	}
}

// widenWindow makes large bodies arrive faster. Callers at a distance would need long
// otherwise.
func (a *Account) widenWindow() error {
	if a == nil || a.setWindow == nil {
		return nil
	}
	if err := a.Grow(largeWindow); err != nil {
		return err
	}
	a.setWindow(largeWindow)
	return nil
}

// minBuffer is the size of the first buffer of ReadAll.
const minBuffer = 4 << 10

// ReadAll reads r to its end, up to max bytes and one more, and charges the buffer to the
// account. The error wraps ErrExhausted if the account can't bear the buffer.
func ReadAll(a *Account, r io.Reader, max int64) ([]byte, error) {
	return readAll(a, r, max, func(int) error { return nil })
}

// ReadBody is ReadAll for the body of a request on the account's connection. length is the
// expected number of bytes, or negative if it is unknown. The buffer grows as bytes arrive,
// so that an announced length costs nothing by itself, and so does what the kernel
// receives.
func ReadBody(a *Account, r io.Reader, length, max int64) ([]byte, error) {
	if length >= 0 {
		max = min(length, max)
	}
	a.limitWindow(length)
	widened := false
	return readAll(a, r, max, func(n int) error {
		if n < smallWindow || widened {
			return nil
		}
		widened = true
		return a.widenWindow()
	})
}

// readAll implements ReadAll. It calls progress with the number of bytes before each read.
func readAll(a *Account, r io.Reader, max int64, progress func(n int) error) ([]byte, error) {
	r = io.LimitReader(r, max+1)
	var buf []byte
	for {
		if err := progress(len(buf)); err != nil {
			return nil, err
		}
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

// Extend returns buf with room for n more bytes, and charges its capacity to the account.
// Release must be called when the buffer isn't used any more.
func Extend(a *Account, buf []byte, n int) ([]byte, error) {
	if cap(buf)-len(buf) >= n {
		return buf, nil
	}
	return grow(a, buf, int64(max(2*cap(buf), len(buf)+n)))
}

// Release releases the charge of a buffer that Extend returned.
func Release(a *Account, buf []byte) { a.Shrink(int64(cap(buf))) }

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
