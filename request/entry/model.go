package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/limit"
	"github.com/pomelospool/pomelospool/request/prefix"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

const (
	defaultOutput = 256 // tokens expected of a request that sets no max_tokens
	outputCost    = 8   // work of one output token, in prompt tokens
	retryAfter    = time.Second
)

// modelBody is what entry reads of a model request's body.
type modelBody struct {
	Model     string           `json:"model"`
	Messages  []prefix.Message `json:"messages"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens"`
	Stream    bool             `json:"stream"`
	Priority  *int             `json:"priority"`
	Adapter   string           `json:"adapter"`
	Resume    *resumeBody      `json:"resume"`
}

type resumeBody struct {
	Tokens int `json:"tokens"`
}

// modelCall is one model request, read and checked.
type modelCall struct {
	raw    []byte // a JSON object
	body   modelBody
	svc    *view.Service
	terms  terms
	prompt string
	tokens int // estimate of the prompt
	output int // estimate of the answer
}

func (e *Entry) model(chat bool) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		c, err := e.readModel(w, req.Request, chat)
		if err != nil {
			writeError(w, err)
			return nil
		}
		e.runModel(w, req.Request, c)
		return nil
	}
}

func (e *Entry) readModel(w http.ResponseWriter, req *http.Request, chat bool) (*modelCall, error) {
	if err := e.gate(); err != nil {
		return nil, err
	}
	snap, err := e.snapshot()
	if err != nil {
		return nil, err
	}
	raw, err := limit.ReadBody(w, req, e.opts.Limits.BodyBytes, e.opts.Limits.ReadBody)
	if err != nil {
		return nil, err
	}
	c := &modelCall{raw: bytes.TrimSpace(raw)}
	if err := json.Unmarshal(c.raw, &c.body); err != nil {
		return nil, code.Wrap(code.BadRequest, err, "the body isn't the JSON of a model request")
	}
	c.svc = snap.Models[c.body.Model]
	if c.svc == nil {
		return nil, code.New(code.UnknownService, "model %.80q", c.body.Model)
	}
	if c.terms, err = readTerms(req, c.svc.Doc, time.Now()); err != nil {
		return nil, err
	}
	return c, c.check(req, chat)
}

// check fills in the estimates and holds them against the limits.
func (c *modelCall) check(req *http.Request, chat bool) error {
	doc := c.svc.Doc
	if max := doc.Limits.BodyBytes; max > 0 && int64(len(c.raw)) > max {
		return code.New(code.BodyTooLarge, "%d bytes, at most %d", len(c.raw), max)
	}
	if c.body.MaxTokens < 0 || c.body.Resume != nil && c.body.Resume.Tokens < 0 {
		return code.New(code.BadRequest, "a number of tokens is negative")
	}
	if c.body.Priority != nil && req.Header.Get(headerPriority) == "" {
		c.terms.priority = min(max(*c.body.Priority, -1), 1)
	}
	c.prompt = c.body.Prompt
	if chat {
		c.prompt = prefix.Prompt(c.body.Messages)
	}
	c.tokens = prefix.EstimateTokens(c.prompt)
	c.output = c.body.MaxTokens
	if c.output == 0 {
		c.output = defaultOutput
	}
	return c.checkTokens(doc)
}

func (c *modelCall) checkTokens(doc *document.Document) error {
	if max := doc.Limits.PromptTokens; max > 0 && c.tokens > max {
		return code.New(code.PromptTooLong, "about %d prompt tokens, at most %d", c.tokens, max)
	}
	if max := doc.Limits.OutputTokens; max > 0 && c.body.MaxTokens > max {
		return code.New(code.PromptTooLong, "%d output tokens, at most %d", c.body.MaxTokens, max)
	}
	for _, m := range doc.Models {
		if m.Name == c.body.Model && m.MaxTokens > 0 && c.tokens+c.body.MaxTokens > m.MaxTokens {
			return code.New(code.PromptTooLong, "%d tokens in all, at most %d", c.tokens+c.body.MaxTokens, m.MaxTokens)
		}
	}
	return nil
}

// start is the index of the first token that the caller wants.
func (c *modelCall) start() int {
	if c.body.Resume == nil {
		return 0
	}
	return c.body.Resume.Tokens
}

// payload returns the body for an attempt that goes on after resume tokens.
// The fields are put behind the caller's: of two that are named alike JSON
// readers take the last.
func (c *modelCall) payload(resume int) []byte {
	out := make([]byte, 0, len(c.raw)+64)
	out = append(out, c.raw[:len(c.raw)-1]...)
	out = append(out, `,"priority":`...)
	out = strconv.AppendInt(out, int64(c.terms.priority), 10)
	if resume > 0 {
		out = append(out, `,"resume":{"tokens":`...)
		out = strconv.AppendInt(out, int64(resume), 10)
		out = append(out, '}')
	}
	return append(out, '}')
}

func (c *modelCall) route(id string, e *Entry) routing.Request {
	return routing.Request{
		ID:           id,
		Service:      c.svc.Doc.Service,
		Org:          c.terms.org,
		Model:        c.body.Model,
		Adapter:      c.body.Adapter,
		Priority:     c.terms.priority,
		PromptTokens: c.tokens,
		OutputTokens: c.output,
		Prefix:       prefix.Blocks(c.prompt),
		Deadline:     time.Until(c.terms.deadline),
		Zone:         e.opts.Zone,
		Seed:         xxhash.Sum64String(id),

		BetweenTokens: c.svc.Doc.Objectives.BetweenTokens,
	}
}

func (c *modelCall) request(id, path string, e *Entry) *attempt.Request {
	return &attempt.Request{
		ID:          id,
		Service:     c.svc,
		Route:       c.route(id, e),
		Deadline:    c.terms.deadline,
		Method:      http.MethodPost,
		Path:        path,
		Header:      http.Header{"Content-Type": {"application/json"}},
		Body:        c.payload,
		Idempotent:  true,
		ToEngine:    true,
		Fingerprint: fingerprint(c.body.Model, c.prompt),
	}
}

// fingerprint names content whatever id or key it comes under.
func fingerprint(model, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + prompt)
}

func (e *Entry) runModel(w http.ResponseWriter, req *http.Request, c *modelCall) {
	id := w.Header().Get(attempt.HeaderID)
	q := c.request(id, req.URL.Path, e)
	obs := newObservation(e.opts.Burn, c.svc.Doc.Service, c.terms.org)
	if e.opts.OnModelRequest != nil {
		e.opts.OnModelRequest(c.body.Model, c.tokens, c.output)
	}
	cost := float64(c.tokens + outputCost*c.output)
	p, err := e.admit(q, c.terms, cost)
	if err != nil {
		obs.end(err, 0)
		writeError(w, err)
		return
	}
	defer p.release()
	ctx, cancel := context.WithDeadline(req.Context(), c.terms.deadline)
	defer cancel()
	if c.body.Stream {
		e.runStream(ctx, w, q, c, p, obs)
		return
	}
	recv := &wholeModel{id: id, max: int64(e.opts.Limits.BodyBytes)}
	_, err = e.runner.Run(ctx, q, &p.decision, recv)
	obs.end(err, recv.tokens)
	if err != nil {
		writeError(w, err)
		return
	}
	writeWhole(w, http.StatusOK, "application/json", recv.body)
}

func (e *Entry) runStream(ctx context.Context, w http.ResponseWriter, q *attempt.Request, c *modelCall, p *permit, obs *observation) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	out := &streamOut{w: w, limit: e.opts.Limits.BufferBytes, timeout: e.opts.WriteTimeout, gone: cancel, obs: obs}
	recv := newStreamModel(q.ID, c.start(), out)
	_, err := e.runner.Run(ctx, q, &p.decision, recv)
	err = out.close(err)
	obs.end(err, recv.relay.Next()-c.start())
}
