package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/stream"
)

const maxErrorDetail = 512 // bytes of a target's error that are kept

const (
	errTooLarge  = failure.Detail("answer over the limit")
	errUnmarked  = failure.Detail("answer without an end marker")
	errNotWhole  = failure.Detail("answer isn't whole")
	errOtherID   = failure.Detail("answer names another id")
	errNotStream = failure.Detail("answer isn't an event stream")
)

// modelFailure returns how an engine's status failed, nil for a good one.
func modelFailure(a attempt.Answer) error {
	if a.Status == http.StatusOK {
		return nil
	}
	detail, _ := io.ReadAll(io.LimitReader(a.Body, maxErrorDetail))
	f := &failure.Failure{Target: a.Target, Err: fmt.Errorf("%w: %s", failure.Status(a.Status), detail)}
	notRun := a.Header.Get(answer.HeaderNotRun) == "true"
	switch {
	case a.Status == http.StatusBadRequest || a.Status == http.StatusRequestEntityTooLarge:
		f.Class = failure.Refused
	case a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable || notRun:
		f.Class = failure.NotRun
	case a.Status >= http.StatusInternalServerError:
		f.Class = failure.Failed
	default:
		f.Class = failure.Refused
	}
	return f
}

// wholeModel receives an unstreamed answer of an engine.
type wholeModel struct {
	id     string
	max    int64
	body   []byte
	tokens int
}

// wholeAnswer is what is checked of an unstreamed answer.
type wholeAnswer struct {
	ID    string `json:"id"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (r *wholeModel) Progress() int   { return 0 }
func (r *wholeModel) Committed() bool { return false }

// Receive takes the answer only if it is whole: valid JSON with the attempt's
// id and the usage that an engine adds last.
func (r *wholeModel) Receive(a attempt.Answer) error {
	if err := modelFailure(a); err != nil {
		return err
	}
	body, err := readLimited(a.Body, r.max)
	if err != nil {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: err}
	}
	var whole wholeAnswer
	if err := json.Unmarshal(body, &whole); err != nil || whole.Usage == nil {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: errNotWhole}
	}
	if whole.ID != a.ID {
		return &failure.Failure{Class: failure.Mismatch, Target: a.Target, Err: fmt.Errorf("%w: %.80q", errOtherID, whole.ID)}
	}
	r.body = stream.ReplaceID(body, a.ID, r.id)
	r.tokens = whole.Usage.CompletionTokens
	return nil
}

func readLimited(src io.Reader, max int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(src, max+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > max {
		return nil, errTooLarge
	}
	return body, nil
}

// streamModel receives a streamed answer over one or several attempts.
type streamModel struct {
	relay *stream.Relay
}

func newStreamModel(id string, start int, out stream.Sink) *streamModel {
	return &streamModel{relay: stream.NewRelay(id, start, out)}
}

func (r *streamModel) Progress() int   { return r.relay.Next() }
func (r *streamModel) Committed() bool { return false }

func (r *streamModel) Receive(a attempt.Answer) error {
	if err := modelFailure(a); err != nil {
		return err
	}
	if t, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type")); t != "text/event-stream" {
		return &failure.Failure{Class: failure.Failed, Target: a.Target, Err: fmt.Errorf("%w: %.80q", errNotStream, t)}
	}
	r.relay.HandOver(0)
	if a.Handover {
		r.relay.HandOver(1)
	}
	err := r.relay.Run(a.Body, a.ID)
	if errors.Is(err, stream.ErrHandover) {
		return &failure.Failure{Class: failure.Handover, Target: a.Target, Err: err}
	}
	if errors.Is(err, stream.ErrCaller) {
		return &failure.Failure{Class: failure.CallerGone, Target: a.Target, Err: err}
	}
	return err
}
