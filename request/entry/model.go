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
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/limit"
	"github.com/pomelospool/pomelospool/request/prefix"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/request/stopping"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

const (
	defaultOutputTokens = 256 // estimated output of a request without max_tokens
	outputTokenCost     = 8   // cost of an output token relative to a prompt token
	retryAfter          = time.Second
)

// modelBody holds the fields of a model request's body that this package reads.
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
	Tokens  int     `json:"tokens"`
	Version *string `json:"version"` // the X-Model-Version of the answer that the tokens are from
}

// modelCall is a parsed and validated model request.
type modelCall struct {
	raw          []byte // a JSON object
	body         modelBody
	svc          *view.Service
	params       requestParams
	prompt       string
	promptTokens int // estimate of the prompt
	outputTokens int // estimate of the answer
}

func (e *Entry) model(chat bool) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		c, err := e.readModel(w, req.Request, chat)
		if err != nil {
			writeError(w, err)
			return nil
		}
		if e.viaPeer(req.Request, c.svc) {
			e.forward(w, req.Request, c.svc, c.params, c.raw)
			return nil
		}
		e.runModel(w, req.Request, c)
		return nil
	}
}

func (e *Entry) readModel(w http.ResponseWriter, req *http.Request, chat bool) (*modelCall, error) {
	if err := e.checkAccepting(); err != nil {
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
	if c.params, err = readParams(req, c.svc.Doc, time.Now()); err != nil {
		return nil, err
	}
	if err := e.checkEnvelope(req, c.svc); err != nil {
		return nil, err
	}
	return c, c.estimateAndCheck(req, chat)
}

// estimateAndCheck estimates the request's tokens and checks it against the
// limits.
func (c *modelCall) estimateAndCheck(req *http.Request, chat bool) error {
	doc := c.svc.Doc
	if max := doc.Limits.BodyBytes; max > 0 && int64(len(c.raw)) > max {
		return code.New(code.BodyTooLarge, "%d bytes, at most %d", len(c.raw), max)
	}
	if c.body.MaxTokens < 0 || c.body.Resume != nil && c.body.Resume.Tokens < 0 {
		return code.New(code.BadRequest, "a number of tokens is negative")
	}
	if c.body.Priority != nil && req.Header.Get(headerPriority) == "" {
		c.params.priority = min(max(*c.body.Priority, -1), 1)
	}
	c.prompt = c.body.Prompt
	if chat {
		c.prompt = prefix.Prompt(c.body.Messages)
	}
	c.promptTokens = prefix.EstimateTokens(c.prompt)
	c.outputTokens = c.body.MaxTokens
	if c.outputTokens == 0 {
		c.outputTokens = defaultOutputTokens
	}
	return c.checkTokens(doc)
}

func (c *modelCall) checkTokens(doc *document.Document) error {
	if max := doc.Limits.PromptTokens; max > 0 && c.promptTokens > max {
		return code.New(code.PromptTooLong, "about %d prompt tokens, at most %d", c.promptTokens, max)
	}
	if max := doc.Limits.OutputTokens; max > 0 && c.body.MaxTokens > max {
		return code.New(code.PromptTooLong, "%d output tokens, at most %d", c.body.MaxTokens, max)
	}
	for _, m := range doc.Models {
		if m.Name == c.body.Model && m.MaxTokens > 0 && c.promptTokens+c.body.MaxTokens > m.MaxTokens {
			return code.New(code.PromptTooLong, "%d tokens in all, at most %d", c.promptTokens+c.body.MaxTokens, m.MaxTokens)
		}
	}
	return nil
}

// firstToken returns the index of the first token that the caller requests.
func (c *modelCall) firstToken() int {
	if c.body.Resume == nil {
		return 0
	}
	return c.body.Resume.Tokens
}

// resumedVersion returns the model version of the tokens that the caller has, or nil
// if it isn't stated.
func (c *modelCall) resumedVersion() *string {
	if c.firstToken() == 0 {
		return nil
	}
	return c.body.Resume.Version
}

// payload returns the body of an attempt that resumes after the given number of
// tokens. The added fields come after those of the caller, since JSON parsers
// use the last of several fields with the same name.
func (c *modelCall) payload(resume int) []byte {
	out := make([]byte, 0, len(c.raw)+64)
	out = append(out, c.raw[:len(c.raw)-1]...)
	out = append(out, `,"priority":`...)
	out = strconv.AppendInt(out, int64(c.params.priority), 10)
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
		Org:          c.params.org,
		Model:        c.body.Model,
		Adapter:      c.body.Adapter,
		Priority:     c.params.priority,
		PromptTokens: c.promptTokens,
		OutputTokens: c.outputTokens,
		Prefix:       prefix.Blocks(c.prompt),
		Deadline:     time.Until(c.params.deadline),
		Zone:         e.opts.Zone,
		Seed:         xxhash.Sum64String(id),

		BetweenTokens: c.svc.Doc.Objectives.BetweenTokens,
	}
}

func (c *modelCall) request(id, path string, e *Entry) *attempt.Request {
	return &attempt.Request{
		ID:             id,
		Service:        c.svc,
		Route:          c.route(id, e),
		Deadline:       c.params.deadline,
		Method:         http.MethodPost,
		Path:           path,
		Header:         http.Header{"Content-Type": {"application/json"}},
		Body:           c.payload,
		Idempotent:     true,
		ToEngine:       true,
		Resumes:        c.firstToken() > 0,
		ResumedVersion: c.resumedVersion(),
		Fingerprint:    fingerprint(c.params.org, c.body.Model, c.prompt),
		Parts:          c.parts(),
	}
}

// parts returns the parts of the prompt that other requests may share: the messages of
// a chat but the last, or prefixes of the prompt.
func (c *modelCall) parts() []quarantine.Fingerprint {
	if len(c.body.Messages) == 0 {
		return quarantine.PrefixesOf(c.params.org, c.body.Model, prefix.Blocks(c.prompt))
	}
	var parts []string
	for _, m := range c.body.Messages[:len(c.body.Messages)-1] {
		parts = append(parts, m.Role+": "+m.Content)
	}
	return quarantine.PartsOf(c.params.org, c.body.Model, parts)
}

// fingerprint identifies a request's content independently of its id and
// idempotency key.
func fingerprint(org, model, prompt string) quarantine.Fingerprint {
	r := quarantine.Request{Caller: org, Scope: model, Body: []byte(prompt)}
	return r.Fingerprint()
}

func (e *Entry) runModel(w http.ResponseWriter, req *http.Request, c *modelCall) {
	id := w.Header().Get(attempt.HeaderID)
	q := c.request(id, req.URL.Path, e)
	q.Forwarded = envelopeOf(req) != nil
	obs := newObservation(e.opts.Burn, c.svc.Doc.Service, c.params.org)
	if e.opts.OnModelRequest != nil {
		e.opts.OnModelRequest(c.body.Model, c.promptTokens, c.outputTokens)
	}
	c.params.stream = c.body.Stream
	cost := float64(c.promptTokens + outputTokenCost*c.outputTokens)
	p, err := e.admit(q, c.params, cost)
	if e.retryViaPeer(req, c.svc, err) {
		e.forward(w, req, c.svc, c.params, c.raw)
		return
	}
	if err != nil {
		obs.finish(err, 0)
		writeError(w, err)
		return
	}
	defer p.release()
	ctx, cancel := e.callContext(req.Context(), c.params.deadline)
	defer cancel()
	if c.body.Stream {
		if e.runStream(ctx, w, req, q, c, p, obs) != nil {
			p.release()
			e.forward(w, req, c.svc, c.params, c.raw)
		}
		return
	}
	recv := &unstreamedReceiver{id: id, max: int64(e.opts.Limits.BodyBytes), account: quota.FromContext(req.Context())}
	_, err = e.runner.Run(ctx, q, &p.decision, recv)
	err = stopping.Error(ctx, err)
	if e.retryViaPeer(req, c.svc, err) {
		p.release()
		e.forward(w, req, c.svc, c.params, c.raw)
		return
	}
	obs.finish(err, recv.tokens)
	if err != nil {
		writeError(w, err)
		return
	}
	writeAnswer(w, recv.account, http.StatusOK, "application/json", recv.body)
}

// runStream runs a request whose answer is streamed and writes the answer. An
// error with which the request can be forwarded is returned, and no answer
// written.
func (e *Entry) runStream(ctx context.Context, w http.ResponseWriter, req *http.Request, q *attempt.Request, c *modelCall, p *permit, obs *observation) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	out := &streamSink{w: w, bufferBytes: e.opts.Limits.BufferBytes, writeTimeout: e.opts.WriteTimeout, cancel: cancel, obs: obs}
	recv := newStreamReceiver(q.ID, c.firstToken(), out)
	recv.relay.Charge(quota.FromContext(ctx))
	_, err := e.runner.Run(ctx, q, &p.decision, recv)
	err = stopping.Error(ctx, err)
	if out.writer == nil && e.retryViaPeer(req, c.svc, err) {
		return err
	}
	err = out.close(err)
	obs.finish(err, recv.relay.Next()-c.firstToken())
	return nil
}
