// Package prefix hashes the blocks of a prompt, so that a router can find
// the engine that holds the KV cache of the longest prefix.
package prefix

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Constants of the token estimate and of the block size.
const (
	BytesPerToken  = 4  // approximate mean over the models in use
	TokensPerBlock = 64 // tokens covered by one hash
	blockBytes     = BytesPerToken * TokensPerBlock
)

// Message is one message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// UnmarshalJSON accepts the content as a string or as a list of text parts.
func (m *Message) UnmarshalJSON(data []byte) error {
	var raw struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	text, err := contentText(raw.Content)
	if err != nil {
		return err
	}
	m.Role, m.Content = raw.Role, text
	return nil
}

// Prompt joins the messages of a chat into one text, with a line "role:
// content" for each message.
func Prompt(messages []Message) string {
	var b strings.Builder
	for i, m := range messages {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
	}
	return b.String()
}

// EstimateTokens estimates the number of tokens of text, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Blocks returns a hash for each complete block of text. A hash covers its
// block and all blocks before it, so equal hashes mean equal prefixes.
func Blocks(text string) []uint64 {
	n := len(text) / blockBytes
	hashes := make([]uint64, 0, n)
	var buf [8 + blockBytes]byte
	var prev uint64
	for i := range n {
		binary.LittleEndian.PutUint64(buf[:8], prev)
		copy(buf[8:], text[i*blockBytes:(i+1)*blockBytes])
		prev = xxhash.Sum64(buf[:])
		hashes = append(hashes, prev)
	}
	return hashes
}

func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	if raw[0] == '"' {
		var s string
		err := json.Unmarshal(raw, &s)
		return s, err
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", fmt.Errorf("content is neither text nor a list of parts: %w", err)
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}
