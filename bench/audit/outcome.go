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

// Kind tells the requests of a run apart.
type Kind string

// The kinds.
const (
	KindStream Kind = "streams" // verified token by token
	KindFeed   Kind = "feed"    // idempotent plain calls
	KindOnce   Kind = "once"    // plain calls that may run at most once
)

// Outcome is what became of one sending of a request, as its caller saw it.
// One that was sent anew under the same key has several.
type Outcome struct {
	Kind       Kind          `json:"kind"`
	ID         string        `json:"id"`
	Key        string        `json:"key,omitempty"`
	Resend     bool          `json:"resend,omitempty"`
	Code       code.Code     `json:"code"`
	Error      string        `json:"error,omitempty"`
	Status     int           `json:"status"` // HTTP status, 0 if no daemon's word came
	NotRun     bool          `json:"not_run"`
	Whole      bool          `json:"whole"`
	Asked      int           `json:"asked,omitempty"` // tokens
	Tokens     int           `json:"tokens,omitempty"`
	OwnBody    bool          `json:"own_body,omitempty"` // a plain answer is the one to this request
	Attempts   int           `json:"attempts"`
	Cut        int           `json:"cut"` // attempts that ended in the middle
	Faults     caller.Faults `json:"faults"`
	Addr       string        `json:"addr"`
	StartMs    int64         `json:"start_ms"` // since the start of the load
	TookMs     int64         `json:"took_ms"`
	DeadlineMs int64         `json:"deadline_ms"`
}

// ReadOutcomes reads JSON lines.
func ReadOutcomes(r io.Reader) ([]Outcome, error) {
	var out []Outcome
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		var o Outcome
		if err := json.Unmarshal(s.Bytes(), &o); err != nil {
			return nil, fmt.Errorf("outcome %d: %w", len(out)+1, err)
		}
		out = append(out, o)
	}
	return out, s.Err()
}

const maxLine = 1 << 20

// end is how a request ended for its caller.
type end int

const (
	endAnswered end = iota
	endNotRun
	endUnknown
	endTold // failed, and a truthful code or the target's own error said so
	endCut
	endLost
)

// earlyMs is how much before its deadline a request may end as past it: the
// daemon counts from the header, which carries whole milliseconds.
const earlyMs = 50

// end classifies one sending; see the package comment.
func (o *Outcome) end() end {
	switch {
	case o.Whole && o.Status >= http.StatusInternalServerError:
		return endTold
	case o.Whole:
		return endAnswered
	case o.NotRun:
		return endNotRun
	case o.Kind == KindOnce:
		return endUnknown
	case o.Code == code.StreamCut:
		return endCut
	case o.Status == 0:
		return endLost
	case o.Code == code.DeadlinePassed && o.TookMs < o.DeadlineMs-earlyMs:
		return endLost
	case told[o.Code]:
		return endTold
	}
	return endLost
}

// told are the codes that say truthfully that an idempotent request was given
// up after it may have run.
var told = map[code.Code]bool{
	code.TargetFailed:     true,
	code.RetryBudgetSpent: true,
	code.DeadlinePassed:   true,
	code.AnswerMismatch:   true,
	code.TargetRefused:    true,
	code.OutcomeUnknown:   true, // refused in the end, after an attempt that may have run
}

// short reports whether an answer that was taken as whole is not.
func (o *Outcome) short() bool { return o.Kind == KindStream && o.Tokens != o.Asked }

// crossed reports whether anything of another request reached the caller.
func (o *Outcome) crossed() bool {
	plain := o.Kind != KindStream
	return o.Faults.Crossed+o.Faults.Wrong > 0 || plain && o.end() == endAnswered && !o.OwnBody
}
