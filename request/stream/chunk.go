package stream

import (
	"bytes"
	"encoding/json"
	"fmt"
)

var done = []byte("[DONE]")

// chunk is what a relay checks of a chunk of a streamed answer.
type chunk struct {
	ID         string          `json:"id"`
	TokenIndex *int            `json:"token_index"`
	Choices    []choice        `json:"choices"`
	Error      json.RawMessage `json:"error"`
}

type choice struct {
	FinishReason *string `json:"finish_reason"`
}

func parseChunk(data []byte) (chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(c.Error) > 0 {
		return c, fmt.Errorf("%w: %.200s", ErrTarget, c.Error)
	}
	if c.TokenIndex == nil || *c.TokenIndex < 0 {
		return c, fmt.Errorf("%w: chunk without token_index", ErrMalformed)
	}
	return c, nil
}

func (c chunk) finished() bool {
	for _, ch := range c.Choices {
		if ch.FinishReason != nil && *ch.FinishReason != "" {
			return true
		}
	}
	return false
}

// Rename replaces the id of an attempt by the id of the caller's request in
// an answer. Attempt ids hold a number that no content can know, so that the
// first place where one stands is the answer's id.
func Rename(data []byte, attempt, id string) []byte {
	return bytes.Replace(data, quote(attempt), quote(id), 1)
}

func quote(s string) []byte { return []byte(`"` + s + `"`) }
