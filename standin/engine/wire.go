package engine

import (
	"encoding/json"

	"github.com/pomelospool/pomelospool/request/prefix"
	"github.com/pomelospool/pomelospool/standin/token"
)

// Request is the body of both completion calls.
type Request struct {
	Model     string           `json:"model"`
	Messages  []prefix.Message `json:"messages,omitempty"` // chat
	Prompt    string           `json:"prompt,omitempty"`   // text
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
	Priority  int              `json:"priority,omitempty"`
	Adapter   string           `json:"adapter,omitempty"`
	Resume    *Resume          `json:"resume,omitempty"`
}

// Resume asks to go on after some tokens of the answer.
type Resume struct {
	Tokens int `json:"tokens"`
}

// Chunk is one streamed event, or with Usage a whole answer.
type Chunk struct {
	ID         string   `json:"id"`
	Object     string   `json:"object"`
	Model      string   `json:"model"`
	Choices    []Choice `json:"choices"`
	TokenIndex *int     `json:"token_index,omitempty"` // streamed only, from 0
	Usage      *Usage   `json:"usage,omitempty"`
}

// Choice carries the text in the field that the call and form ask for.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Message `json:"delta,omitempty"`   // streamed chat
	Message      *Message `json:"message,omitempty"` // whole chat
	Text         *string  `json:"text,omitempty"`    // completions
	FinishReason *string  `json:"finish_reason"`
}

// Message is a part of a chat answer.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of a whole answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// identity is whose answer a request gets; a crossed one gets another's.
type identity struct {
	id   string
	hash uint64
}

// form writes answers of one call: chat or text.
type form struct {
	chat  bool
	model string
	identity
}

// chunk is the streamed event of token i; an empty end means that more follow.
func (f form) chunk(i int, text, end string) []byte {
	c := Chunk{ID: f.id, Object: "text_completion", Model: f.model, TokenIndex: &i}
	choice := Choice{}
	if f.chat {
		c.Object = "chat.completion.chunk"
		choice.Delta = &Message{Content: text}
	} else {
		choice.Text = &text
	}
	if end != "" {
		choice.FinishReason = &end
	}
	c.Choices = []Choice{choice}
	data, _ := json.Marshal(c)
	return data
}

// whole is the unstreamed answer with the tokens from s.from on.
func (f form) whole(s *seq, made int, end string) Chunk {
	text := token.Text(f.hash, s.from, made)
	c := Chunk{ID: f.id, Object: "text_completion", Model: f.model}
	choice := Choice{FinishReason: &end}
	if f.chat {
		c.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	c.Choices = []Choice{choice}
	c.Usage = &Usage{
		PromptTokens:     s.prompt,
		CompletionTokens: made,
		TotalTokens:      s.prompt + made,
		CachedTokens:     s.cached,
	}
	return c
}
