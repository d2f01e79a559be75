package stream

import (
	"bytes"
	"encoding/json"
	"fmt"
)

var (
	done      = []byte("[DONE]")
	jsonNull  = []byte("null")
	jsonEmpty = []byte(`""`)
)

// noIndex stands for a token_index that a chunk lacks.
const noIndex = -1

// chunk is what a relay checks of a chunk of a streamed answer. Strings stay
// as raw JSON: they are compared, and a relay reuses their memory.
type chunk struct {
	ID         json.RawMessage `json:"id"`
	TokenIndex int             `json:"token_index"`
	Choices    []choice        `json:"choices"`
	Error      json.RawMessage `json:"error"`
}

type choice struct {
	FinishReason json.RawMessage `json:"finish_reason"`
}

// parse reads data into c, whose memory it reuses.
func (c *chunk) parse(data []byte) error {
	c.ID, c.Error = c.ID[:0], c.Error[:0]
	c.TokenIndex = noIndex
	clear(c.Choices)
	c.Choices = c.Choices[:0]
	if err := json.Unmarshal(data, c); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(c.Error) > 0 && !bytes.Equal(c.Error, jsonNull) {
		return fmt.Errorf("%w: %.200s", ErrTarget, c.Error)
	}
	if c.TokenIndex < 0 {
		return fmt.Errorf("%w: chunk without token_index", ErrMalformed)
	}
	return nil
}

func (c *chunk) finished() bool {
	for _, ch := range c.Choices {
		r := ch.FinishReason
		if len(r) > 0 && !bytes.Equal(r, jsonNull) && !bytes.Equal(r, jsonEmpty) {
			return true
		}
	}
	return false
}

// ReplaceID replaces the id of an attempt by the id of the caller's request in
// an answer. Attempt ids hold a number that no content can know, so that the
// first place where one stands is the answer's id.
func ReplaceID(data []byte, attempt, id string) []byte {
	return rename(nil, data, quote(attempt), quote(id))
}

// rename appends data to dst with the first old in it replaced.
func rename(dst, data, old, new []byte) []byte {
	before, after, found := bytes.Cut(data, old)
	dst = append(dst, before...)
	if found {
		dst = append(dst, new...)
	}
	return append(dst, after...)
}

// quote returns s in JSON. Ids hold no character that JSON escapes.
func quote(s string) []byte { return []byte(`"` + s + `"`) }
