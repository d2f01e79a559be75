package ctl

import (
	"errors"

	"github.com/jessevdk/go-flags"

	"github.com/pomelospool/pomelospool/code"
)

// Exit codes of pomelosctl, which exitHelp describes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitUnknown     = 4
	ExitUnreachable = 5
)

const exitHelp = `Exit codes: 0 done; 1 failed, or the file has problems; 2 wrong usage;
3 refused, and nothing was run or changed; 4 the outcome is unknown, it may
have run; 5 the log or a daemon can't be reached.`

// exitOf returns the exit code for an error.
func exitOf(err error) int {
	var usage usageError
	var parse *flags.Error
	if errors.As(err, &usage) || errors.As(err, &parse) {
		return ExitUsage
	}
	return exitOfCode(code.Of(err))
}

func exitOfCode(c code.Code) int {
	switch c {
	case code.OK:
		return ExitOK
	case code.BaseConflict, code.OrderRefused, code.OrderPending, code.KeyBusy:
		return ExitRefused
	case code.PublishUnknown, code.OutcomeUnknown, code.TargetFailed, code.RetryBudgetSpent,
		code.DeadlinePassed, code.StreamCut, code.AnswerMismatch:
		return ExitUnknown
	case code.LogUnavailable, code.PeerUnreachable, code.DaemonUnreachable:
		return ExitUnreachable
	}
	if c.Info().NotRun {
		return ExitRefused
	}
	return ExitFailed
}
