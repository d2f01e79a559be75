package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// chunk holds the fields of a stream event that the client uses.
type chunk struct {
	ID         string `json:"id"`
	TokenIndex *int   `json:"token_index"`
	Choices    []struct {
		Delta *struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text         *string `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	errorBody
}

// streamReader holds the state of reading one streamed answer.
type streamReader struct {
	attempt   *attempt
	nextIndex int // index of the next token expected
	firstAt   time.Time
	lastAt    time.Time
	finished  bool // a finish_reason was received
}

// readStream reads events until the end marker. A stream that ends before it
// counts as cut, even if the connection is closed cleanly.
func (at *attempt) readStream(body io.Reader) error {
	at.a.Tokens = 0
	r := &streamReader{attempt: at}
	defer r.recordTimes()
	lines := bufio.NewReaderSize(body, maxEvent)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			at.a.CutAttempts++
			return code.Wrap(code.StreamCut, err, "after %d tokens", at.a.Tokens)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return r.finish()
		}
		if err := r.handleEvent(data); err != nil {
			return err
		}
	}
}

// finish handles the end marker. The answer is complete only if a finish_reason
// came before and no token is lost or wrong.
func (r *streamReader) finish() error {
	if !r.finished {
		r.attempt.a.CutAttempts++
		return code.New(code.StreamCut, "ended unfinished after %d tokens", r.attempt.a.Tokens)
	}
	if r.attempt.badTokens > 0 {
		return code.New(code.AnswerMismatch, "%d tokens are lost or wrong", r.attempt.badTokens)
	}
	return nil
}

func (r *streamReader) handleEvent(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return code.Wrap(code.StreamCut, err, "an event is not JSON")
	}
	if c.Error != nil {
		r.attempt.a.NotRun = c.Error.NotRun && r.attempt.a.Tokens == 0
		if c.Error.Code == code.StreamCut {
			r.attempt.a.CutAttempts++
		}
		return r.attempt.daemonError(c.errorBody)
	}
	if c.ID != r.attempt.r.ID {
		r.attempt.a.Faults.Crossed++
		return nil
	}
	if len(c.Choices) == 0 || c.TokenIndex == nil {
		return nil
	}
	choice := c.Choices[0]
	r.finished = r.finished || choice.FinishReason != nil
	switch {
	case choice.Delta != nil:
		r.handleToken(*c.TokenIndex, choice.Delta.Content)
	case choice.Text != nil:
		r.handleToken(*c.TokenIndex, *choice.Text)
	}
	return nil
}

func (r *streamReader) handleToken(i int, text string) {
	a := r.attempt.a
	if i < r.nextIndex {
		a.Faults.Duplicated++
		return
	}
	a.Faults.Lost += i - r.nextIndex
	r.attempt.badTokens += i - r.nextIndex
	r.nextIndex = i + 1
	a.Tokens++
	r.lastAt = time.Now()
	if r.firstAt.IsZero() {
		r.firstAt = r.lastAt
	}
	if v := r.attempt.r.Verify; v != nil && !v(i, text) {
		a.Faults.Wrong++
		r.attempt.badTokens++
	}
	if r.attempt.r.OnToken != nil {
		r.attempt.r.OnToken(Token{Index: i, Text: text})
	}
}

// recordTimes sets the times of the answer.
func (r *streamReader) recordTimes() {
	a := r.attempt.a
	if r.firstAt.IsZero() {
		return
	}
	a.TimeToFirstToken = r.firstAt.Sub(r.attempt.start)
	if a.Tokens > 1 {
		a.TimeBetweenTokens = r.lastAt.Sub(r.firstAt) / time.Duration(a.Tokens-1)
	}
}
