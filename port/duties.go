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
	// Scale orders that a service has a number of targets of a kind in an
	// availability zone. ErrRefused: a newer holder has called, or no more
	// targets are to be had there now.
	Scale(ctx context.Context, c DutyCall, o ScaleOrder) error
}

// ErrRefused means that an order for targets was refused, for the moment or for
// good.
var ErrRefused = errors.New("order refused")

// ScaleOrder is the number of targets that a service is to have.
type ScaleOrder struct {
	Service string
	Zone    string // availability zone
	Spot    bool   // of reclaimable targets, which are counted by themselves
	Desired int
}
