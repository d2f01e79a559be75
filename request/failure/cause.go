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
	"github.com/pomelospool/pomelospool/request/stream"
)

// Detail is the cause of a failure in words of this code's own, without
// anything that a caller or a target sent. It may stand in log lines.
type Detail string

// Error returns the text.
func (d Detail) Error() string { return string(d) }

// Status names a target's own answer of failure.
func Status(status int) Detail { return Detail("status " + strconv.Itoa(status)) }

// ownErrors are the errors whose text is known to hold nothing foreign, the
// telling ones first.
var ownErrors = []error{
	h1.ErrConnect, h1.ErrSilent,
	stream.ErrTarget, stream.ErrMalformed, stream.ErrTooLong, stream.ErrCaller,
	context.Canceled, context.DeadlineExceeded,
	stream.ErrCut,
}

const ended = "the connection ended"

// Cause describes err for a log line.
//
// The guard is against content in the log: targets quote the prompt in their
// errors, net/http quotes what it can't parse, and an URL holds the caller's
// query. So no error's text is taken but those that are known; of any other
// one the type is named.
func Cause(err error) string {
	var own Detail
	if errors.As(err, &own) {
		return own.Error()
	}
	text := ""
	for _, known := range ownErrors {
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
		return join(text, ended)
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
