package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/pomelospool/pomelospool/code"
)

// answeredWhole is the result code of an answer that a target gave itself,
// whatever its status.
const answeredWhole = "0"

// Do sends r, again where that is safe, until it is answered whole, refused
// for good or past its deadline. The error is a *code.Error; the answer holds
// what came, also with an error.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if r.Deadline <= 0 {
		r.Deadline = defaultDeadline
	}
	start := time.Now()
	call := &call{c: c, r: &r, a: &Answer{ID: r.ID}, start: start, end: start.Add(r.Deadline)}
	ctx, cancel := context.WithDeadline(ctx, call.end.Add(deadlineGrace))
	defer cancel()
	err := call.verdict(call.run(ctx))
	call.a.Total = time.Since(start)
	call.a.Whole = err == nil
	return call.a, err
}

// call is one request with all its attempts.
type call struct {
	c      *Client
	r      *Request
	a      *Answer
	start  time.Time
	end    time.Time
	avoid  string // address that refused or failed last
	mayRun bool   // an attempt may have run
	passed int    // attempts in a row at daemons that could not serve
}

// verdict corrects what the last attempt said about the whole request. A
// refusal as not run is true for its own attempt only: after one that may have
// run, a caller who takes it for the whole would send the call anew under
// another key, and it would run twice.
func (c *call) verdict(err error) error {
	if err == nil || !c.a.NotRun || !c.mayRun {
		return err
	}
	c.a.Code, c.a.NotRun = code.OutcomeUnknown, false
	return code.Wrap(code.OutcomeUnknown, err, "an earlier attempt may have run")
}

func (c *call) run(ctx context.Context) error {
	var last error
	for c.a.Attempts < c.c.opts.Attempts {
		addr, err := c.c.book.pick(ctx, c.avoid)
		if err != nil {
			return c.noAddress(last, err)
		}
		next, err := c.attempt(ctx, addr)
		if err == nil {
			return nil
		}
		last = err
		if !next.again || time.Now().Add(next.after).After(c.end) || !wait(ctx, next.after) {
			return err
		}
	}
	return last
}

// noAddress keeps the error of an earlier attempt, which says more.
func (c *call) noAddress(last, err error) error {
	if last != nil {
		return last
	}
	c.a.Code, c.a.NotRun = code.Of(err), true
	return err
}

// attempt tries one address and says what to do if that failed.
func (c *call) attempt(ctx context.Context, addr string) (step, error) {
	c.a.Attempts++
	c.a.Addr = addr
	t := &try{c: c.c, r: c.r, a: c.a, start: c.start, end: c.end}
	err := t.run(ctx, addr)
	c.a.Code = code.Of(err)
	if err == nil {
		return step{}, nil
	}
	c.mayRun = c.mayRun || !c.a.NotRun
	next := t.next(err)
	next.after <<= c.doublings(next)
	if next.elsewhere {
		c.c.book.fail(addr)
		c.avoid = addr
	}
	return next, err
}

// doublings gives how often the pause after an attempt is doubled: once more for
// each daemon in a row that can't serve. While all daemons are replaced at once
// none can, and with the log down they refuse for a while; a caller that ran
// through its attempts within seconds would give up long before its deadline.
func (c *call) doublings(next step) int {
	if !next.elsewhere {
		c.passed = 0
		return 0
	}
	c.passed++
	return min(c.passed-1, maxDoublings)
}

const maxDoublings = 5

// try is one attempt.
type try struct {
	c     *Client
	r     *Request
	a     *Answer
	start time.Time
	end   time.Time
	wrong int // tokens of this attempt that are lost or wrong
}

func (t *try) run(ctx context.Context, addr string) error {
	t.a.Status, t.a.NotRun, t.a.RetryAfter = 0, false, 0
	ctx, silence, stop := t.watchSilence(ctx)
	defer stop()
	req, err := t.request(ctx, addr)
	if err != nil {
		t.a.NotRun = true
		return code.Wrap(code.BadRequest, err, "%s", t.r.Path)
	}
	resp, err := t.c.http.Do(req)
	if err != nil {
		return t.failed(ctx, addr, err)
	}
	defer resp.Body.Close()
	return t.answered(resp, silence.body(resp.Body), addr)
}

// answered reads the answer of the daemon at addr.
func (t *try) answered(resp *http.Response, content io.Reader, addr string) error {
	t.a.Status = resp.StatusCode
	t.a.ContentType = resp.Header.Get("Content-Type")
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != t.r.ID {
		t.a.Faults.Crossed++
		return code.New(code.AnswerMismatch, "%s answered request %s", addr, id)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderCode) != answeredWhole {
		return t.refusal(resp)
	}
	if t.r.Stream && strings.HasPrefix(t.a.ContentType, "text/event-stream") {
		return t.stream(content)
	}
	body, err := io.ReadAll(io.LimitReader(content, maxBody))
	if err != nil {
		t.a.Cut++
		return code.Wrap(code.StreamCut, err, "%s", addr)
	}
	t.a.Body = body
	t.a.First = time.Since(t.start)
	return nil
}

func (t *try) request(ctx context.Context, addr string) (*http.Request, error) {
	method := t.r.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, t.c.scheme+"://"+addr+t.r.Path, bytes.NewReader(t.r.Body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set(HeaderRequestID, t.r.ID)
	h.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(t.end).Milliseconds(), 1), 10))
	h.Set("Content-Type", t.r.Type)
	if t.r.Type == "" {
		h.Set("Content-Type", "application/json")
	}
	if t.r.Priority != 0 {
		h.Set(HeaderPriority, strconv.Itoa(t.r.Priority))
	}
	if t.r.Org != "" {
		h.Set(HeaderOrg, t.r.Org)
	}
	if t.r.Key != "" {
		h.Set(HeaderKey, t.r.Key)
	}
	return req, nil
}

// failed gives a code to an attempt without an answer. Only a connection that
// was never made proves that nothing ran.
func (t *try) failed(ctx context.Context, addr string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		t.a.NotRun = true
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		return code.Wrap(code.DeadlinePassed, err, "%s", addr)
	}
	return code.Wrap(code.OutcomeUnknown, err, "%s gave no answer", addr)
}

// wireError is the body of a refusal and of an error within a stream.
type wireError struct {
	Error *struct {
		Code         code.Code `json:"code"`
		Message      string    `json:"message"`
		NotRun       bool      `json:"not_run"`
		RetryAfterMs int64     `json:"retry_after_ms"`
	} `json:"error"`
}

// refusal decodes a refusal. It counts as not run only if the header says so,
// and the body doesn't deny it.
func (t *try) refusal(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxEvent))
	t.a.Body = data
	t.a.NotRun = resp.Header.Get(HeaderNotRun) == "true"
	var w wireError
	if err != nil || json.Unmarshal(data, &w) != nil || w.Error == nil {
		return code.New(t.codeOf(resp), "%s", resp.Status)
	}
	t.a.NotRun = t.a.NotRun && w.Error.NotRun
	return t.wire(w)
}

// codeOf gives a code to an error answer that isn't of the daemon's form, as
// a plain service's own.
func (t *try) codeOf(resp *http.Response) code.Code {
	if n, err := strconv.Atoi(resp.Header.Get(HeaderCode)); err == nil && code.Known(code.Code(n)) && n != 0 {
		return code.Code(n)
	}
	return code.TargetRefused
}

func (t *try) wire(w wireError) error {
	t.a.RetryAfter = time.Duration(w.Error.RetryAfterMs) * time.Millisecond
	return code.New(w.Error.Code, "%s", w.Error.Message).WithRetryAfter(t.a.RetryAfter)
}

// step says what to do after a failed attempt.
type step struct {
	again     bool
	elsewhere bool
	after     time.Duration
}

// pauseElsewhere is the least time between attempts.
const pauseElsewhere = 20 * time.Millisecond

// next decides whether an attempt may be repeated. One that ran, or may have,
// is repeated only if the request may run twice; with an idempotency key the
// daemons see to it that it doesn't.
func (t *try) next(err error) step {
	after := max(t.a.RetryAfter, pauseElsewhere)
	switch code.Of(err) {
	case code.Isolated, code.Draining, code.NoConfiguration, code.TooManyConns, code.DaemonUnreachable:
		return step{again: t.a.NotRun, elsewhere: true, after: pauseElsewhere}
	case code.Overloaded, code.OrgOverShare, code.TooManyStreams, code.CrashSuspect, code.NoTarget, code.TargetUnreachable, code.OnceUnavailable:
		return step{again: t.a.NotRun, after: after}
	case code.KeyBusy:
		return step{again: t.r.Key != "", after: after}
	case code.OutcomeUnknown, code.StreamCut:
		// Without a status nothing came from the daemon, which may be dead. A
		// status says that the daemon itself gives the code, and with a key it
		// stands for good.
		dead := t.a.Status == 0 || t.a.Status == http.StatusOK
		return step{again: t.r.Idempotent || t.r.Key != "" && dead, elsewhere: dead, after: after}
	case code.TargetFailed, code.RetryBudgetSpent, code.AnswerMismatch:
		return step{again: t.r.Idempotent, after: after}
	}
	return step{}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
