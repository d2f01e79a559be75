package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/google/uuid"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/prefix"
	"github.com/pomelospool/pomelospool/standin"
	"github.com/pomelospool/pomelospool/standin/token"
)

const (
	maxBodyBytes     = 16 << 20
	defaultMaxTokens = 16
)

// Headers of requests and answers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"
)

// call is one completion request in progress.
type call struct {
	e      *Engine
	w      http.ResponseWriter
	r      *http.Request
	seq    *seq
	enc    encoder
	faults faultPlan
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID)) // also for refusals
	var req Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		e.refuse(w, http.StatusBadRequest, err)
		return
	}
	// net/http detects a closed connection only once the body has been read
	// completely.
	io.Copy(io.Discard, r.Body)
	prompt := req.Prompt
	if chat {
		prompt = prefix.Prompt(req.Messages)
	}
	c := &call{e: e, w: w, r: r, seq: newSeq(r, req, prompt), faults: e.faults.next(prompt)}
	c.enc = encoder{chat: chat, model: req.Model, identity: identity{c.seq.id, token.Hash(prompt)}}
	if status, err := c.start(req); err != nil {
		e.refuse(w, status, err)
		return
	}
	c.answer(req.Stream)
}

func newSeq(r *http.Request, req Request, prompt string) *seq {
	s := &seq{
		id:           r.Header.Get(HeaderRequestID),
		blocks:       prefix.Blocks(prompt),
		promptTokens: max(prefix.EstimateTokens(prompt), 1),
		priority:     req.Priority,
		maxTokens:    req.MaxTokens,
	}
	if s.id == "" {
		s.id = uuid.NewString()
	}
	if s.maxTokens <= 0 {
		s.maxTokens = defaultMaxTokens
	}
	if req.Resume != nil {
		s.resumeAt = min(max(req.Resume.Tokens, 0), s.maxTokens)
	}
	s.progress.wake = make(chan struct{}, 1)
	s.progress.generated = s.resumeAt
	return s
}

// Reasons to refuse a request before it is submitted.
var (
	errRefused = errors.New("refused")
	errModel   = errors.New("model not served here")
)

// start submits the sequence. If that fails, it returns the error and the HTTP
// status for it.
func (c *call) start(req Request) (int, error) {
	if c.faults.refuse {
		return http.StatusServiceUnavailable, errRefused
	}
	st, err := c.e.State(c.r.Context())
	if err != nil {
		return http.StatusServiceUnavailable, err
	}
	if st.Spec.Model != "" && (req.Model != st.Spec.Model || req.Adapter != "" && req.Adapter != st.Spec.Adapter) {
		return http.StatusNotFound, errModel
	}
	err = c.e.submit(c.r.Context(), c.seq)
	switch {
	case errors.Is(err, errTooLong):
		return http.StatusBadRequest, err
	case errors.Is(err, errFull):
		return http.StatusTooManyRequests, err
	}
	return http.StatusServiceUnavailable, err
}

// refuse answers a request that didn't run.
func (e *Engine) refuse(w http.ResponseWriter, status int, err error) {
	e.rec.update(func(r *Record) { r.Refused++ })
	w.Header().Set(HeaderNotRun, "true")
	standin.Error(w, status, err.Error())
}

// answer sends the tokens of the sequence. It removes the sequence from the
// batch if the caller disconnects before the end.
func (c *call) answer(stream bool) {
	defer c.finish()
	if c.faults.cross {
		c.enc.identity = c.e.swapper.Swap(c.r.Context(), c.enc.identity)
	}
	c.w.Header().Set(HeaderRequestID, c.enc.id)
	c.reportLoad()
	if stream {
		c.stream()
		return
	}
	c.unstreamed()
}

// reportLoad sets the header with the current load, without the load lag.
func (c *call) reportLoad() {
	var l port.Load
	if err := c.e.do(c.r.Context(), func() { l = c.e.samples[len(c.e.samples)-1] }); err == nil {
		c.w.Header().Set(port.LoadHeader, port.FormatLoad(l))
	}
}

func (c *call) finish() {
	c.e.cancel(c.seq)
	generated, reason := c.seq.progress.get()
	if reason == "" {
		reason = finishCut
	}
	c.e.rec.recordEnd(c.seq.id, reason, generated-c.seq.resumeAt)
}

// next waits for progress. It returns false if the sequence was cut or the
// caller has disconnected.
func (c *call) next() (generated int, reason string, ok bool) {
	select {
	case <-c.seq.progress.wake:
		generated, reason = c.seq.progress.get()
		return generated, reason, reason != finishCut
	case <-c.r.Context().Done():
		return 0, "", false
	}
}

func (c *call) stream() {
	c.w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(c.w)
	flusher.Flush()
	for sent := c.seq.resumeAt; ; {
		generated, reason, ok := c.next()
		if !ok {
			c.e.Abort(c.r)
		}
		for ; sent < generated; sent++ {
			if c.injectFault(sent) {
				return
			}
			c.writeEvent(sent, token.At(c.enc.hash, sent), finishReasonAt(sent, generated, reason))
		}
		if reason != "" {
			c.endStream(generated, reason)
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
}

// finishReasonAt returns the finish reason for the event of token i. Only the
// last token of a full-length answer has one.
func finishReasonAt(i, generated int, reason string) string {
	if i == generated-1 && reason == finishLength {
		return reason
	}
	return ""
}

// endStream ends a stream. If the event of the last token didn't carry the
// finish reason, an event without text is sent for it.
func (c *call) endStream(generated int, reason string) {
	if reason != finishLength || generated == c.seq.resumeAt {
		c.writeEvent(generated, "", reason)
	}
	fmt.Fprint(c.w, "data: [DONE]\n\n")
}

func (c *call) writeEvent(i int, text, reason string) {
	fmt.Fprintf(c.w, "data: %s\n\n", c.enc.chunk(i, text, reason))
}

// injectFault applies the planned crash or cut, if it is due before token i. It
// returns true if the caller must end the answer. A cut without reset ends the
// HTTP answer normally, but without [DONE].
func (c *call) injectFault(i int) bool {
	if i-c.seq.resumeAt < c.faults.after {
		return false
	}
	if c.faults.crash {
		c.e.opts.Exit()
		panic(http.ErrAbortHandler)
	}
	if c.faults.cut && c.faults.reset {
		c.e.Abort(c.r)
	}
	return c.faults.cut
}

func (c *call) unstreamed() {
	for {
		generated, reason, ok := c.next()
		if !ok {
			c.e.Abort(c.r)
		}
		if generated > c.seq.resumeAt && c.injectFault(generated-1) {
			c.sendTruncated(generated)
		}
		if reason != "" {
			standin.JSON(c.w, http.StatusOK, c.enc.complete(c.seq, generated, reason))
			return
		}
	}
}

// sendTruncated sends the first half of an answer and resets the connection.
func (c *call) sendTruncated(generated int) {
	data, _ := json.Marshal(c.enc.complete(c.seq, generated, finishLength))
	c.w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	c.w.Write(data[:len(data)/2])
	http.NewResponseController(c.w).Flush()
	c.e.Abort(c.r)
}
