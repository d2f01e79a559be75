package stream

import (
	"bytes"
	"encoding/json"
	"fmt"
)

var (
	endMarker = []byte("[DONE]")
	jsonNull  = []byte("null")
	jsonEmpty = []byte(`""`)
)

// noTokenIndex is the TokenIndex of a chunk without token_index.
const noTokenIndex = -1

// chunk holds the fields of a streamed answer's chunk that a Relay checks.
// Strings stay raw JSON: they are only compared, and their memory is reused.
type chunk struct {
	ID         json.RawMessage `json:"id"`
	TokenIndex int             `json:"token_index"`
	Choices    []choice        `json:"choices"`
	Error      json.RawMessage `json:"error"`
}

type choice struct {
	FinishReason json.RawMessage `json:"finish_reason"`
}

// parse decodes data into c and reuses c's memory.
func (c *chunk) parse(data []byte) error {
	c.ID, c.Error = c.ID[:0], c.Error[:0]
	c.TokenIndex = noTokenIndex
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

// finished reports whether a choice has a finish_reason.
func (c *chunk) finished() bool {
	for _, ch := range c.Choices {
		r := ch.FinishReason
		if len(r) > 0 && !bytes.Equal(r, jsonNull) && !bytes.Equal(r, jsonEmpty) {
			return true
		}
	}
	return false
}

// ReplaceID replaces the id of an attempt in an answer by the id of the
// caller's request. An attempt's id contains a number that generated content
// can't predict, so its first occurrence is the answer's id field.
func ReplaceID(data []byte, attempt, id string) []byte {
	return replaceFirst(nil, data, quote(attempt), quote(id))
}

// replaceFirst appends data to dst with the first occurrence of old replaced by
// new.
func replaceFirst(dst, data, old, new []byte) []byte {
	before, after, found := bytes.Cut(data, old)
	dst = append(dst, before...)
	if found {
		dst = append(dst, new...)
	}
	return append(dst, after...)
}

// quote returns s as a JSON string. Ids contain no character that JSON escapes.
func quote(s string) []byte { return []byte(`"` + s + `"`) }
