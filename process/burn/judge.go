package burn

import (
	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/version/document"
)

// Objective is one of the promises that a service's document makes.
type Objective int

// The objectives.
const (
	FirstToken    Objective = iota // the first token came in time
	BetweenTokens                  // the mean time between tokens was short enough
	WholeAnswer                    // the whole answer came in time
	NotLost                        // the request was answered whole, or truly refused
	objectives                     // how many there are
)

// String gives the objective's key in the document, and "lost" for NotLost.
func (o Objective) String() string {
	return [...]string{"first_token", "between_tokens", "answer", "lost"}[o]
}

// grade says how a request did on one objective.
type grade uint8

const (
	unmeasured grade = iota
	good
	bad
)

// verdict is how one request did.
type verdict struct {
	counted bool // spends from the budget or might have
	grades  [objectives]grade
}

// judge grades a sample. Requests that the caller alone spoilt, gave up or
// sent above its share count for nothing: they say nothing about the service.
func judge(x Sample, o document.Objectives) verdict {
	var v verdict
	if callersDoing(x.Code) {
		return v
	}
	v.counted = true
	ok := x.Code == code.OK
	v.grades[NotLost] = gradeOf(ok || x.Code.Info().NotRun)
	v.grades[WholeAnswer] = gradeOf(ok && x.Total <= o.Answer)
	if o.FirstToken > 0 && (ok && x.TimeToFirstToken > 0 || !ok) {
		v.grades[FirstToken] = gradeOf(x.TimeToFirstToken > 0 && x.TimeToFirstToken <= o.FirstToken)
	}
	if o.BetweenTokens > 0 && x.TimePerToken > 0 {
		v.grades[BetweenTokens] = gradeOf(x.TimePerToken <= o.BetweenTokens)
	}
	return v
}

func gradeOf(ok bool) grade {
	if ok {
		return good
	}
	return bad
}

// callersDoing reports whether a code is the caller's own doing.
func callersDoing(c code.Code) bool {
	switch c {
	case code.BadRequest, code.HeaderTooLarge, code.BodyTooLarge, code.PromptTooLong, code.TooManyStreams,
		code.UnknownService, code.DeadlineTooShort, code.OrgOverShare, code.CrashConvicted,
		code.CallerGone, code.TargetRefused,
		code.KeyMissing, code.KeyBusy, code.KeyReused, code.AnswerNotKept, code.NotAuthorized:
		return true
	}
	return false
}
