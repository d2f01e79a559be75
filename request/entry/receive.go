package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/stream"
)

const maxErrorDetail = 512 // bytes of a target's error message that are kept

const (
	errTooLarge       = failure.Detail("answer over the limit")
	errNoEndMarker    = failure.Detail("answer without an end marker")
	errIncomplete     = failure.Detail("answer isn't whole")
	errIDMismatch     = failure.Detail("answer names another id")
	errNotEventStream = failure.Detail("answer isn't an event stream")
)

// modelFailure classifies the HTTP status of an engine's answer. It returns nil
// for status 200.
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

// unstreamedReceiver receives an unstreamed answer of an engine.
type unstreamedReceiver struct {
	id      string
	max     int64
	account *quota.Account // of the memory for body; may be nil
	body    []byte
	tokens  int
}

// unstreamedAnswer holds the fields of an unstreamed answer that are checked.
type unstreamedAnswer struct {
	ID    string `json:"id"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (r *unstreamedReceiver) Progress() int   { return 0 }
func (r *unstreamedReceiver) Committed() bool { return false }

// Receive accepts the answer only if it is complete: valid JSON that has the
// attempt's id and the usage field, which an engine adds last.
func (r *unstreamedReceiver) Receive(a attempt.Answer) error {
	if err := modelFailure(a); err != nil {
		return err
	}
	body, err := readLimited(r.account, a.Body, r.max)
	if err != nil {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: err}
	}
	var parsed unstreamedAnswer
	if err := json.Unmarshal(body, &parsed); err != nil || parsed.Usage == nil {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: errIncomplete}
	}
	if parsed.ID != a.ID {
		return &failure.Failure{Class: failure.Mismatch, Target: a.Target, Err: fmt.Errorf("%w: %.80q", errIDMismatch, parsed.ID)}
	}
	r.body = stream.ReplaceID(body, a.ID, r.id)
	r.tokens = parsed.Usage.CompletionTokens
	return nil
}

func readLimited(account *quota.Account, src io.Reader, max int64) ([]byte, error) {
	body, err := quota.ReadAll(account, src, max)
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > max {
		return nil, errTooLarge
	}
	return body, nil
}

// streamReceiver receives a streamed answer over one or more attempts.
type streamReceiver struct {
	relay *stream.Relay
	out   *streamSink
}

func newStreamReceiver(id string, start int, out *streamSink) *streamReceiver {
	return &streamReceiver{relay: stream.NewRelay(id, start, out), out: out}
}

func (r *streamReceiver) Progress() int   { return r.relay.Next() }
func (r *streamReceiver) Committed() bool { return false }

func (r *streamReceiver) Receive(a attempt.Answer) error {
	if err := modelFailure(a); err != nil {
		return err
	}
	if t, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type")); t != "text/event-stream" {
		return &failure.Failure{Class: failure.Failed, Target: a.Target, Err: fmt.Errorf("%w: %.80q", errNotEventStream, t)}
	}
	r.out.version = a.Version
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
