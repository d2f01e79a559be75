package port

import (
	"context"
	"errors"
)

// ErrInvalid means that a call was rejected for its content. A retry would be
// rejected too.
var ErrInvalid = errors.New("call rejected as invalid")

// DutyCall identifies the caller of Duties: the VM of the daemon that holds the
// duty, and its fencing number.
type DutyCall struct {
	Holder string // VM
	Fence  int64  // fencing number; increases with each new holder
}

// Duties are the calls to the platform that one daemon at a time makes on
// behalf of the whole fleet. ErrFenced means that a newer holder has called,
// ErrInvalid that the call can't be carried out. After any other error the call
// may still be carried out later.
type Duties interface {
	// ReportUsage reports how many requests of each organisation began to run
	// in the time window with this number.
	ReportUsage(ctx context.Context, c DutyCall, window int64, counts map[string]uint32) error
	// Scale sets the number of targets of one kind, spot or not, that a service
	// is to have in an availability zone. ErrRefused means that a newer holder
	// has called, or that no more targets are available there at the moment.
	Scale(ctx context.Context, c DutyCall, o ScaleOrder) error
}

// ErrRefused means that an order for targets was refused, temporarily or
// permanently.
var ErrRefused = errors.New("order refused")

// ScaleOrder is the desired number of targets of a service in an availability
// zone.
type ScaleOrder struct {
	Service string
	Zone    string // availability zone
	Spot    bool   // spot targets, which are counted separately from the others
	Desired int
}
