package port

import (
	"context"
	"errors"
)

// ErrInvalid means that a call was rejected for what it says: it would be again.
var ErrInvalid = errors.New("call rejected as invalid")

// DutyCall says who calls for a duty that one daemon at a time has.
type DutyCall struct {
	Holder string // VM
	Fence  int64  // fencing number, rises from holder to holder
}

// Duties are the calls to the platform that one daemon at a time makes for the
// whole fleet. ErrFenced: a newer holder has called. ErrInvalid: the call can't
// be carried out. After any other error it may be carried out later.
type Duties interface {
	// ReportUsage states how many requests of each organisation began to run in
	// a window of time, by its number.
	ReportUsage(ctx context.Context, c DutyCall, window int64, counts map[string]uint32) error
}
