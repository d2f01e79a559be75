// Package presence lets the parts that run a request check whether its caller is still
// connected.
package presence

import (
	"context"
	"errors"
	"time"
)

// ErrLeft is the cause of the contexts of requests whose callers have left.
var ErrLeft = errors.New("the caller closed the connection")

// Source is what noticed that a caller has left.
type Source string

// Sources.
const (
	ByRead  Source = "read"  // a read from the connection ended
	ByWatch Source = "watch" // a periodic check of a connection that isn't being read
	ByCheck Source = "check" // a check before the request was taken up or sent
)

// Departure describes how it was noticed that a caller has closed its connection.
type Departure struct {
	At time.Time
	By Source
	// Age is the time since the last segment from the caller, which is that of the close
	// unless the caller has acknowledged bytes since. It is negative if it isn't known.
	Age time.Duration
}

// Caller is the caller of a request.
type Caller interface {
	// Check finds out whether the caller has left. If so, it ends the request's context.
	Check()
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

// Err returns the cause of the end of ctx, or nil if it hasn't ended. It checks first
// whether the request's caller has left, which a process that gets too little processor
// time may otherwise notice late. A context that was detached from the request's doesn't
// end with the caller.
func Err(ctx context.Context) error {
	if c, ok := ctx.Value(callerKey{}).(Caller); ok {
		c.Check()
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return nil
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
