package attempt

import (
	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/failure"
)

// classCodes maps the class of the last attempt's failure to the code of the
// request's error.
var classCodes = [...]code.Code{
	failure.NotWritten: code.TargetUnreachable,
	failure.NoAnswer:   code.TargetFailed,
	failure.Stalled:    code.TargetFailed,
	failure.Cut:        code.StreamCut,
	failure.Mismatch:   code.AnswerMismatch,
	failure.NotRun:     code.TargetFailed,
	failure.Failed:     code.TargetFailed,
	failure.Refused:    code.TargetRefused,
	failure.CallerGone: code.CallerGone,
	failure.Late:       code.DeadlinePassed,
	failure.Handover:   code.TargetFailed,
}

// repeatable reports whether another attempt is allowed. Unless the target is
// known not to have run the request, a second attempt could run it twice, so
// that a caller gets a confirmation twice, for example. Only idempotent requests
// are repeated in this case.
func repeatable(f *failure.Failure, idempotent bool) bool {
	if f.Final() || f.Class == failure.Refused {
		return false
	}
	return idempotent || !f.MayHaveRun()
}

// mayHaveCrashed reports whether the target may have crashed.
func mayHaveCrashed(f *failure.Failure) bool {
	return f.Class == failure.NoAnswer || f.Class == failure.Cut
}
