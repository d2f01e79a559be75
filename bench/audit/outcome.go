package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/caller"
)

// Kind is the kind of a request.
type Kind string

// The kinds.
const (
	KindStream Kind = "streams" // streams of which every token is verified
	KindFeed   Kind = "feed"    // idempotent plain calls
	KindOnce   Kind = "once"    // plain calls that may run at most once
)

// Outcome is the result of one send of a request as its caller observed it. A
// request that was sent again under the same key has several.
type Outcome struct {
	Kind            Kind          `json:"kind"`
	ID              string        `json:"id"`
	Key             string        `json:"key,omitempty"`
	Resend          bool          `json:"resend,omitempty"`
	Code            code.Code     `json:"code"`
	Error           string        `json:"error,omitempty"`
	Status          int           `json:"status"` // HTTP status, 0 if no daemon answered
	NotRun          bool          `json:"not_run"`
	Complete        bool          `json:"whole"`
	RequestedTokens int           `json:"asked,omitempty"` // requested tokens
	Tokens          int           `json:"tokens,omitempty"`
	BodyMatches     bool          `json:"own_body,omitempty"` // the body of a plain answer belongs to this request
	Attempts        int           `json:"attempts"`
	CutAttempts     int           `json:"cut"` // attempts whose stream was cut
	Faults          caller.Faults `json:"faults"`
	Addr            string        `json:"addr"`
	StartMs         int64         `json:"start_ms"` // since the start of the load
	TookMs          int64         `json:"took_ms"`
	DeadlineMs      int64         `json:"deadline_ms"`
}

// ReadOutcomes reads outcomes as lines of JSON.
func ReadOutcomes(r io.Reader) ([]Outcome, error) {
	var out []Outcome
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		var o Outcome
		if err := json.Unmarshal(s.Bytes(), &o); err != nil {
			return nil, fmt.Errorf("outcome %d: %w", len(out)+1, err)
		}
		out = append(out, o)
	}
	return out, s.Err()
}

const maxLineBytes = 1 << 20

// result is the result of a request for its caller. The package comment defines
// the values; a higher one is worse.
type result int

const (
	resultAnswered result = iota
	resultNotRun
	resultUnknown
	resultFailed // a correct code or the target's own error reported the failure
	resultCut
	resultLost
)

// deadlineToleranceMs is how long before its deadline a request may be reported
// as past it. The daemon computes the deadline from a header in whole
// milliseconds.
const deadlineToleranceMs = 50

// result classifies one send.
func (o *Outcome) result() result {
	switch {
	case o.Complete && o.Status >= http.StatusInternalServerError:
		return resultFailed
	case o.Complete:
		return resultAnswered
	case o.NotRun:
		return resultNotRun
	case o.Kind == KindOnce:
		return resultUnknown
	case o.Code == code.StreamCut:
		return resultCut
	case o.Status == 0:
		return resultLost
	case o.Code == code.DeadlinePassed && o.TookMs < o.DeadlineMs-deadlineToleranceMs:
		return resultLost
	case failureCodes[o.Code]:
		return resultFailed
	}
	return resultLost
}

// failureCodes are the codes that correctly report that an idempotent request
// was given up after it may have run.
var failureCodes = map[code.Code]bool{
	code.TargetFailed:     true,
	code.RetryBudgetSpent: true,
	code.DeadlinePassed:   true,
	code.AnswerMismatch:   true,
	code.TargetRefused:    true,
	code.OutcomeUnknown:   true, // the last attempt was refused, but an earlier one may have run
}

// truncated reports whether a complete stream has the wrong number of tokens.
func (o *Outcome) truncated() bool { return o.Kind == KindStream && o.Tokens != o.RequestedTokens }

// crossed reports whether anything of another request reached the caller.
func (o *Outcome) crossed() bool {
	plain := o.Kind != KindStream
	return o.Faults.Crossed+o.Faults.Wrong > 0 || plain && o.result() == resultAnswered && !o.BodyMatches
}
