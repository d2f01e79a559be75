// Package code holds the numbered result codes that every part of pomelospool
// reports to callers, operators and logs. docs/CODES.md is generated from the
// table here, so a code can't exist without its meaning.
package code

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a numbered result. Thousands group the codes by the part that
// reports them: 1xxx admission, 2xxx attempts, 3xxx at-most-once, 4xxx the
// service document and settings, 5xxx agreement, 6xxx peers and operators.
type Code int

// Info describes one code for callers, operators and the docs.
type Info struct {
	Code    Code
	Name    string // stable, in upper snake case
	Status  int    // HTTP status with which the code travels
	NotRun  bool   // true only when nothing was written to a target, or it said itself that it ran nothing
	Meaning string // one sentence: what happened
	Action  string // one sentence: what the reader of the code does next
}

// Error is an error with a code. RetryAfter tells the caller when to come
// back; zero means that the code gives no such time.
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

// Wrap returns an Error around err, which errors.Is and errors.As still find.
func Wrap(c Code, err error, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...), Err: err}
}

// WithRetryAfter sets when the caller should come back and returns the error.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error gives the number, the name and the detail in one line.
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

// Of returns the code of err, Internal for an error without one, OK for nil.
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

// Info returns the table entry of c. An unknown code gives the entry of Internal.
func (c Code) Info() Info {
	if i, ok := byCode[c]; ok {
		return i
	}
	return byCode[Internal]
}

// Known reports whether c stands in the table.
func Known(c Code) bool {
	_, ok := byCode[c]
	return ok
}

// All returns the table in the order of the numbers.
func All() []Info { return append([]Info(nil), table...) }

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, i := range table {
		if _, dup := m[i.Code]; dup {
			panic(fmt.Sprintf("code %d stands twice in the table", i.Code))
		}
		m[i.Code] = i
	}
	return m
}()

// statusUnknown is the HTTP status for an outcome that nobody can know.
const statusUnknown = http.StatusBadGateway
