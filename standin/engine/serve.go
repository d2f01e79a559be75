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
	maxBody          = 16 << 20
	defaultMaxTokens = 16
)

// The headers of requests and answers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"
)

// call is one completion request under way.
type call struct {
	e    *Engine
	w    http.ResponseWriter
	r    *http.Request
	seq  *seq
	form form
	plan plan
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID)) // refusals too
	var req Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&req); err != nil {
		e.refuse(w, http.StatusBadRequest, err)
		return
	}
	// The server notices that a caller left only once the body is read whole.
	io.Copy(io.Discard, r.Body)
	prompt := req.Prompt
	if chat {
		prompt = prefix.Prompt(req.Messages)
	}
	c := &call{e: e, w: w, r: r, seq: newSeq(r, req, prompt), plan: e.fault.plan(prompt)}
	c.form = form{chat: chat, model: req.Model, identity: identity{c.seq.id, token.Hash(prompt)}}
	if status, err := c.start(req); err != nil {
		e.refuse(w, status, err)
		return
	}
	c.answer(req.Stream)
}

func newSeq(r *http.Request, req Request, prompt string) *seq {
	s := &seq{
		id:       r.Header.Get(HeaderRequestID),
		blocks:   prefix.Blocks(prompt),
		prompt:   max(prefix.EstimateTokens(prompt), 1),
		priority: req.Priority,
		max:      req.MaxTokens,
	}
	if s.id == "" {
		s.id = uuid.NewString()
	}
	if s.max <= 0 {
		s.max = defaultMaxTokens
	}
	if req.Resume != nil {
		s.from = min(max(req.Resume.Tokens, 0), s.max)
	}
	s.out.wake = make(chan struct{}, 1)
	s.out.made = s.from
	return s
}

// The reasons to refuse a request for what it asks.
var (
	errRefused = errors.New("refused")
	errModel   = errors.New("model not served here")
)

func (c *call) start(req Request) (int, error) {
	if c.plan.refuse {
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

func (e *Engine) refuse(w http.ResponseWriter, status int, err error) {
	e.rec.update(func(r *Record) { r.Refused++ })
	w.Header().Set(HeaderNotRun, "true")
	standin.Error(w, status, err.Error())
}

// answer sends what the sequence makes, and takes the sequence out of the
// batch when the caller is gone before its end.
func (c *call) answer(stream bool) {
	defer c.finish()
	if c.plan.cross {
		c.form.identity = c.e.cross.Swap(c.r.Context(), c.form.identity)
	}
	c.w.Header().Set(HeaderRequestID, c.form.id)
	c.reportLoad()
	if stream {
		c.stream()
		return
	}
	c.unstreamed()
}

// reportLoad puts the load of this moment on the answer.
func (c *call) reportLoad() {
	var l port.Load
	if err := c.e.do(c.r.Context(), func() { l = c.e.samples[len(c.e.samples)-1] }); err == nil {
		c.w.Header().Set(port.LoadHeader, port.FormatLoad(l))
	}
}

func (c *call) finish() {
	c.e.cancel(c.seq)
	made, end := c.seq.out.get()
	if end == "" {
		end = endCut
	}
	c.e.rec.finished(c.seq.id, end, made-c.seq.from)
}

// next waits for progress. It returns false when the caller is gone.
func (c *call) next() (made int, end string, ok bool) {
	select {
	case <-c.seq.out.wake:
		made, end = c.seq.out.get()
		return made, end, end != endCut
	case <-c.r.Context().Done():
		return 0, "", false
	}
}

func (c *call) stream() {
	c.w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(c.w)
	flusher.Flush()
	for sent := c.seq.from; ; {
		made, end, ok := c.next()
		if !ok {
			c.e.Abort(c.r)
		}
		for ; sent < made; sent++ {
			if c.strike(sent) {
				return
			}
			c.event(sent, token.At(c.form.hash, sent), endOf(sent, made, end))
		}
		if end != "" {
			c.close(made, end)
			return
		}
		if flusher.Flush() != nil {
			return
		}
	}
}

// endOf gives the last token of an answer the reason of its end.
func endOf(i, made int, end string) string {
	if i == made-1 && end == endLength {
		return end
	}
	return ""
}

// close ends a stream. An answer whose last token didn't carry the reason
// gets an event without text for it.
func (c *call) close(made int, end string) {
	if end != endLength || made == c.seq.from {
		c.event(made, "", end)
	}
	fmt.Fprint(c.w, "data: [DONE]\n\n")
}

func (c *call) event(i int, text, end string) {
	fmt.Fprintf(c.w, "data: %s\n\n", c.form.chunk(i, text, end))
}

// strike lets the planned crash or cut happen before token i is sent. A cut
// without reset ends the answer in good form, but without [DONE].
func (c *call) strike(i int) bool {
	if i-c.seq.from < c.plan.at {
		return false
	}
	if c.plan.crash {
		c.e.opts.Exit()
		panic(http.ErrAbortHandler)
	}
	if c.plan.cut && c.plan.reset {
		c.e.Abort(c.r)
	}
	return c.plan.cut
}

func (c *call) unstreamed() {
	for {
		made, end, ok := c.next()
		if !ok {
			c.e.Abort(c.r)
		}
		if made > c.seq.from && c.strike(made-1) {
			c.cutWhole(made)
		}
		if end != "" {
			standin.JSON(c.w, http.StatusOK, c.form.whole(c.seq, made, end))
			return
		}
	}
}

// cutWhole sends the first half of an answer and then resets the connection.
func (c *call) cutWhole(made int) {
	data, _ := json.Marshal(c.form.whole(c.seq, made, endLength))
	c.w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	c.w.Write(data[:len(data)/2])
	http.NewResponseController(c.w).Flush()
	c.e.Abort(c.r)
}
