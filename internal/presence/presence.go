// Package presence tells the parts that run a request whether its caller still waits for
// the answer.
package presence

import (
	"context"
	"time"
)

// Source is what noticed that a caller has left.
type Source string

// Sources.
const (
	ByRead Source = "read" // a read from the connection ended
)

// Departure describes how it was noticed that a caller has closed its connection.
type Departure struct {
	At time.Time
	By Source
	// Age is the time since the last segment from the caller, which is that of the close
	// unless the caller has acknowledged bytes since. It is negative if it isn't known.
	Age time.Duration
}

// Caller is the connection of a request's caller.
type Caller interface {
	// Departure returns how it was noticed that the caller has left, or false if it
	// wasn't.
	Departure() (Departure, bool)
}

// callerKey is the context key of a request's Caller.
type callerKey struct{}

// WithCaller returns a context that carries the caller of a request.
func WithCaller(ctx context.Context, c Caller) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// DepartureOf returns how it was noticed that the caller of a request has left. It returns
// false if it hasn't, or if that isn't known.
func DepartureOf(ctx context.Context) (Departure, bool) {
	c, ok := ctx.Value(callerKey{}).(Caller)
	if !ok {
		return Departure{}, false
	}
	return c.Departure()
}
