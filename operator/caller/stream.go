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

// chunk is the part of an event that a caller needs.
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
	wireError
}

// reader is the state of one streamed answer.
type reader struct {
	t        *try
	next     int // index of the token that comes next
	first    time.Time
	last     time.Time
	finished bool // a finish_reason came
}

// stream reads events until the end marker. Whatever ends the stream before is
// a cut, also a connection that closes in good order.
func (t *try) stream(body io.Reader) error {
	t.a.Tokens = 0
	r := &reader{t: t}
	defer r.times()
	lines := bufio.NewReaderSize(body, maxEvent)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			t.a.CutAttempts++
			return code.Wrap(code.StreamCut, err, "after %d tokens", t.a.Tokens)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return r.done()
		}
		if err := r.event(data); err != nil {
			return err
		}
	}
}

// done takes the end marker, which is true only after a finish_reason and with
// every token in place.
func (r *reader) done() error {
	if !r.finished {
		r.t.a.CutAttempts++
		return code.New(code.StreamCut, "ended unfinished after %d tokens", r.t.a.Tokens)
	}
	if r.t.wrong > 0 {
		return code.New(code.AnswerMismatch, "%d tokens are lost or wrong", r.t.wrong)
	}
	return nil
}

func (r *reader) event(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return code.Wrap(code.StreamCut, err, "an event is not JSON")
	}
	if c.Error != nil {
		r.t.a.NotRun = c.Error.NotRun && r.t.a.Tokens == 0
		if c.Error.Code == code.StreamCut {
			r.t.a.CutAttempts++
		}
		return r.t.wire(c.wireError)
	}
	if c.ID != r.t.r.ID {
		r.t.a.Faults.Crossed++
		return nil
	}
	if len(c.Choices) == 0 || c.TokenIndex == nil {
		return nil
	}
	choice := c.Choices[0]
	r.finished = r.finished || choice.FinishReason != nil
	switch {
	case choice.Delta != nil:
		r.token(*c.TokenIndex, choice.Delta.Content)
	case choice.Text != nil:
		r.token(*c.TokenIndex, *choice.Text)
	}
	return nil
}

func (r *reader) token(i int, text string) {
	a := r.t.a
	if i < r.next {
		a.Faults.Duplicated++
		return
	}
	a.Faults.Lost += i - r.next
	r.t.wrong += i - r.next
	r.next = i + 1
	a.Tokens++
	r.last = time.Now()
	if r.first.IsZero() {
		r.first = r.last
	}
	if v := r.t.r.Verify; v != nil && !v(i, text) {
		a.Faults.Wrong++
		r.t.wrong++
	}
	if r.t.r.OnToken != nil {
		r.t.r.OnToken(Token{Index: i, Text: text})
	}
}

// times fills in the times of the answer.
func (r *reader) times() {
	a := r.t.a
	if r.first.IsZero() {
		return
	}
	a.TimeToFirstToken = r.first.Sub(r.t.start)
	if a.Tokens > 1 {
		a.TimeBetweenTokens = r.last.Sub(r.first) / time.Duration(a.Tokens-1)
	}
}
