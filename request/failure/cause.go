package failure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"syscall"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/internal/presence"
	"github.com/pomelospool/pomelospool/request/stream"
)

// Detail describes the cause of a failure without any text that a caller or a
// target sent, so that it can be logged.
type Detail string

// Error implements error.
func (d Detail) Error() string { return string(d) }

// Status returns the Detail for an answer with an error status.
func Status(status int) Detail { return Detail("status " + strconv.Itoa(status)) }

// safeErrors are the errors whose text contains nothing from callers or targets,
// the more specific ones first.
var safeErrors = []error{
	h1.ErrConnect, h1.ErrNoProgress, h1.ErrHeadTooLarge, h1.ErrInvalidStatus,
	stream.ErrTarget, stream.ErrMalformed, stream.ErrTooLong, stream.ErrCaller,
	presence.ErrLeft, context.Canceled, context.DeadlineExceeded,
	stream.ErrCut,
}

const connectionEnded = "the connection ended"

// Cause describes err for a log line.
//
// It keeps request content out of the log: targets quote the prompt in their
// errors, net/http quotes what it can't parse, and a URL contains the caller's
// query. So only the text of known errors is used. Any other error is described
// by its type.
func Cause(err error) string {
	var own Detail
	if errors.As(err, &own) {
		return own.Error()
	}
	text := ""
	for _, known := range safeErrors {
		if errors.Is(err, known) {
			text = known.Error()
			break
		}
	}
	var errno syscall.Errno
	var op *net.OpError
	switch {
	case errors.As(err, &errno):
		return join(text, errno.Error())
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return join(text, connectionEnded)
	case errors.As(err, &op):
		return join(text, op.Op)
	case text != "":
		return text
	}
	return fmt.Sprintf("%T", innermost(err))
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + ": " + b
}

func innermost(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}
