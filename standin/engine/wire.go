package engine

import (
	"encoding/json"

	"github.com/pomelospool/pomelospool/request/prefix"
	"github.com/pomelospool/pomelospool/standin/token"
)

// Request is the body of chat and text completion requests.
type Request struct {
	Model     string           `json:"model"`
	Messages  []prefix.Message `json:"messages,omitempty"` // chat only
	Prompt    string           `json:"prompt,omitempty"`   // text only
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
	Priority  int              `json:"priority,omitempty"`
	Adapter   string           `json:"adapter,omitempty"`
	Resume    *Resume          `json:"resume,omitempty"`
}

// Resume asks for the answer without its first tokens, which the caller already
// has.
type Resume struct {
	Tokens int `json:"tokens"`
}

// Chunk is one event of a streamed answer. With Usage set, it is a complete
// unstreamed answer.
type Chunk struct {
	ID         string   `json:"id"`
	Object     string   `json:"object"`
	Model      string   `json:"model"`
	Choices    []Choice `json:"choices"`
	TokenIndex *int     `json:"token_index,omitempty"` // streamed only, counted from 0
	Usage      *Usage   `json:"usage,omitempty"`
}

// Choice holds the text of an answer. Which field holds it depends on the API and
// on streaming.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`   // streamed chat
	Message      *Message `json:"message,omitempty"` // unstreamed chat
	Text         *string  `json:"text,omitempty"`    // text completion
	FinishReason *string  `json:"finish_reason"`
}

// Message is the text of a chat answer or a part of it.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of an unstreamed answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// identity determines the request id and the tokens of an answer. The "cross"
// fault swaps the identities of two requests.
type identity struct {
	id   string
	hash uint64
}

// encoder encodes the answer to one request, in chat or text form.
type encoder struct {
	chat  bool
	model string
	identity
}

// chunk returns the streamed event of token i. An empty reason means that more
// events follow.
func (e encoder) chunk(i int, text, reason string) []byte {
	c := Chunk{ID: e.id, Object: "text_completion", Model: e.model, TokenIndex: &i}
	choice := Choice{}
	if e.chat {
		c.Object = "chat.completion.chunk"
		choice.Delta = &Message{Content: text}
	} else {
		choice.Text = &text
	}
	if reason != "" {
		choice.FinishReason = &reason
	}
	c.Choices = []Choice{choice}
	data, _ := json.Marshal(c)
	return data
}

// complete returns the unstreamed answer, with the tokens from s.resumeAt on.
func (e encoder) complete(s *seq, generated int, reason string) Chunk {
	text := token.Text(e.hash, s.resumeAt, generated)
	c := Chunk{ID: e.id, Object: "text_completion", Model: e.model}
	choice := Choice{FinishReason: &reason}
	if e.chat {
		c.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	c.Choices = []Choice{choice}
	c.Usage = &Usage{
		PromptTokens:     s.promptTokens,
		CompletionTokens: generated,
		TotalTokens:      s.promptTokens + generated,
		CachedTokens:     s.cached,
	}
	return c
}
