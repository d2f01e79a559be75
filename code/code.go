// Package code defines the numbered result codes that pomelospool reports to
// callers, operators and logs. docs/CODES.md is generated from the table in this
// package, so that every code is documented.
package code

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is the number of a result. Codes are grouped by thousands: 1xxx
// admission, 2xxx attempts, 3xxx at-most-once, 4xxx the service document and
// settings, 5xxx agreement, 6xxx peers and operators.
type Code int

// Info describes one code for callers, operators and the docs.
type Info struct {
	Code    Code
	Name    string // stable, in upper snake case
	Status  int    // HTTP status of an answer with the code
	NotRun  bool   // true only if nothing was written to a target, or the target stated that it ran nothing
	Meaning string // one sentence: what happened
	Action  string // one sentence: what to do about it
}

// Error is an error with a code. RetryAfter is the time after which the caller
// may retry; zero means not stated.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration
	Err        error
}

// New returns an Error with a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error that wraps err and has a formatted detail.
func Wrap(c Code, err error, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...), Err: err}
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the number, the name, the detail and the wrapped error in one
// line.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s", int(e.Code), e.Code.Info().Name)
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the code of err. It returns OK for nil, and Internal for an error
// without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// Info returns the table entry of c, or that of Internal if c is unknown.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// Known reports whether the table contains c.
func Known(c Code) bool {
	_, ok := byCode[c]
	return ok
}

// All returns a copy of the table, ordered by code.
func All() []Info { return append([]Info(nil), table...) }

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		if _, dup := m[i.Code]; dup {
			panic(fmt.Sprintf("code %d is in the table twice", i.Code))
		}
		m[i.Code] = i
	}
	return m
}()

// statusUnknown is the HTTP status of results that leave the outcome of the
// request unknown.
const statusUnknown = http.StatusBadGateway
