package attempt

import (
	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/failure"
)

// classCodes are the codes of requests whose last attempt failed.
var classCodes = [...]code.Code{
	failure.NotWritten: code.TargetUnreachable,
	failure.NoAnswer:   code.TargetFailed,
	failure.Silent:     code.TargetFailed,
	failure.Cut:        code.StreamCut,
	failure.Mismatch:   code.AnswerMismatch,
	failure.NotRun:     code.TargetFailed,
	failure.Failed:     code.TargetFailed,
	failure.Refused:    code.TargetRefused,
	failure.CallerGone: code.CallerGone,
	failure.Late:       code.DeadlinePassed,
	failure.Handover:   code.TargetFailed,
}

// repeatable reports whether another attempt is allowed. Without proof that the
// target ran nothing, a second attempt could run a call twice: a doubled
// confirmation. So only idempotent requests go on after a byte was written.
func repeatable(f *failure.Failure, idempotent bool) bool {
	if f.Final() || f.Class == failure.Refused {
		return false
	}
	return idempotent || !f.MayHaveRun()
}

// breaks reports whether the failure may mean that the target died.
func breaks(f *failure.Failure) bool {
	return f.Class == failure.NoAnswer || f.Class == failure.Cut
}
