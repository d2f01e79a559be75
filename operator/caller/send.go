package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/pomelospool/pomelospool/code"
)

// codeAnsweredByTarget is the X-Result-Code of an answer that comes from a
// target, whatever its HTTP status.
const codeAnsweredByTarget = "0"

// Do sends r and retries it where that is safe, until it is answered completely,
// refused permanently or past its deadline. The error is a *code.Error. The
// answer holds what was received, even if there is an error.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	if r.Deadline <= 0 {
		r.Deadline = defaultDeadline
	}
	start := time.Now()
	call := &call{c: c, r: &r, a: &Answer{ID: r.ID}, start: start, deadline: start.Add(r.Deadline)}
	ctx, cancel := context.WithDeadline(ctx, call.deadline.Add(deadlineGrace))
	defer cancel()
	err := call.finalError(call.runAttempts(ctx))
	call.a.Total = time.Since(start)
	call.a.Complete = err == nil
	return call.a, err
}

// call is one request with all its attempts.
type call struct {
	c                      *Client
	r                      *Request
	a                      *Answer
	start                  time.Time
	deadline               time.Time
	lastFailedAddr         string // last address whose daemon refused or failed
	mayHaveRun             bool   // an attempt may have run
	consecutiveUnavailable int    // consecutive attempts at daemons that couldn't serve
}

// finalError turns the last attempt's error into that of the whole request. A
// refusal marked "not run" holds for its own attempt only. If an earlier attempt
// may have run, a caller that trusted the mark would send the call again under
// another key, and it would run twice.
func (c *call) finalError(err error) error {
	if err == nil || !c.a.NotRun || !c.mayHaveRun {
		return err
	}
	c.a.Code, c.a.NotRun = code.OutcomeUnknown, false
	return code.Wrap(code.OutcomeUnknown, err, "an earlier attempt may have run")
}

func (c *call) runAttempts(ctx context.Context) error {
	var last error
	for c.a.Attempts < c.c.opts.MaxAttempts {
		addr, err := c.c.cache.pick(ctx, c.lastFailedAddr)
		if err != nil {
			return c.addressError(last, err)
		}
		next, err := c.runAttempt(ctx, addr)
		if err == nil {
			return nil
		}
		last = err
		if !next.retry || time.Now().Add(next.delay).After(c.deadline) || !sleep(ctx, next.delay) {
			return err
		}
	}
	return last
}

// addressError returns the error of an earlier attempt if there is one, because
// it is more specific.
func (c *call) addressError(last, err error) error {
	if last != nil {
		return last
	}
	c.a.Code, c.a.NotRun = code.Of(err), true
	return err
}

// runAttempt sends the request to one address and decides whether to retry it if
// that fails.
func (c *call) runAttempt(ctx context.Context, addr string) (retryDecision, error) {
	c.a.Attempts++
	c.a.Addr = addr
	at := &attempt{c: c.c, r: c.r, a: c.a, start: c.start, deadline: c.deadline}
	err := at.send(ctx, addr)
	c.a.Code = code.Of(err)
	if err == nil {
		return retryDecision{}, nil
	}
	c.mayHaveRun = c.mayHaveRun || !c.a.NotRun
	next := at.decideRetry(err)
	next.delay <<= c.backoffDoublings(next)
	if next.otherDaemon {
		c.c.cache.markFailed(addr)
		c.lastFailedAddr = addr
	}
	return next, err
}

// backoffDoublings returns how often the delay after an attempt is doubled: once
// more for each consecutive daemon that can't serve. No daemon can serve while
// all are replaced at once, and they refuse for a while when the log is down.
// Without the backoff a caller would use up its attempts within seconds, long
// before its deadline.
func (c *call) backoffDoublings(next retryDecision) int {
	if !next.otherDaemon {
		c.consecutiveUnavailable = 0
		return 0
	}
	c.consecutiveUnavailable++
	return min(c.consecutiveUnavailable-1, maxBackoffDoublings)
}

const maxBackoffDoublings = 5

var errAnswerTooLarge = fmt.Errorf("the answer is larger than %d bytes", maxBody)

// attempt sends a request once to one daemon.
type attempt struct {
	c         *Client
	r         *Request
	a         *Answer
	start     time.Time
	deadline  time.Time
	badTokens int // lost or wrong tokens of this attempt
}

func (at *attempt) send(ctx context.Context, addr string) error {
	at.a.Status, at.a.NotRun, at.a.RetryAfter = 0, false, 0
	ctx, stall, stop := at.withStallTimer(ctx)
	defer stop()
	req, err := at.newRequest(ctx, addr)
	if err != nil {
		at.a.NotRun = true
		return code.Wrap(code.BadRequest, err, "%s", at.r.Path)
	}
	resp, err := at.c.http.Do(req)
	if err != nil {
		return at.classifySendError(ctx, addr, err)
	}
	defer resp.Body.Close()
	return at.readAnswer(resp, stall.wrapBody(resp.Body), addr)
}

// readAnswer reads the answer of the daemon at addr from content.
func (at *attempt) readAnswer(resp *http.Response, content io.Reader, addr string) error {
	at.a.Status = resp.StatusCode
	at.a.ContentType = resp.Header.Get("Content-Type")
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != at.r.ID {
		at.a.Faults.Crossed++
		return code.New(code.AnswerMismatch, "%s answered request %s", addr, id)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(HeaderCode) != codeAnsweredByTarget {
		return at.readRefusal(resp, content)
	}
	if at.r.Stream && strings.HasPrefix(at.a.ContentType, "text/event-stream") {
		return at.readStream(content)
	}
	body, err := io.ReadAll(io.LimitReader(content, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errAnswerTooLarge
	}
	if err != nil {
		at.a.CutAttempts++
		return code.Wrap(code.StreamCut, err, "%s", addr)
	}
	at.a.Body = body
	at.a.TimeToFirstToken = time.Since(at.start)
	return nil
}

func (at *attempt) newRequest(ctx context.Context, addr string) (*http.Request, error) {
	method := at.r.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, at.c.scheme+"://"+addr+at.r.Path, bytes.NewReader(at.r.Body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set(HeaderRequestID, at.r.ID)
	h.Set(HeaderDeadline, strconv.FormatInt(max(time.Until(at.deadline).Milliseconds(), 1), 10))
	h.Set("Content-Type", at.r.Type)
	if at.r.Type == "" {
		h.Set("Content-Type", "application/json")
	}
	if at.r.Priority != 0 {
		h.Set(HeaderPriority, strconv.Itoa(at.r.Priority))
	}
	if at.r.Org != "" {
		h.Set(HeaderOrg, at.r.Org)
	}
	if at.r.Key != "" {
		h.Set(HeaderKey, at.r.Key)
	}
	return req, nil
}

// classifySendError returns an error with a code for an attempt without an
// answer. Only a failed dial proves that nothing ran.
func (at *attempt) classifySendError(ctx context.Context, addr string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		at.a.NotRun = true
		return code.Wrap(code.DaemonUnreachable, err, "%s", addr)
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errNoProgress) {
		return code.Wrap(code.DeadlinePassed, err, "%s", addr)
	}
	return code.Wrap(code.OutcomeUnknown, err, "%s gave no answer", addr)
}

// errorBody is the body of a refusal and of an error within a stream.
type errorBody struct {
	Error *struct {
		Code         code.Code `json:"code"`
		Message      string    `json:"message"`
		NotRun       bool      `json:"not_run"`
		RetryAfterMs int64     `json:"retry_after_ms"`
	} `json:"error"`
}

// readRefusal decodes a refusal. The request counts as not run only if the header
// says so and the body doesn't contradict it.
func (at *attempt) readRefusal(resp *http.Response, content io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(content, maxEvent))
	at.a.Body = data
	at.a.NotRun = resp.Header.Get(HeaderNotRun) == "true"
	var body errorBody
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error == nil {
		return code.New(at.refusalCode(resp), "%s", resp.Status)
	}
	at.a.NotRun = at.a.NotRun && body.Error.NotRun
	return at.daemonError(body)
}

// refusalCode returns a code for an error answer that isn't in the daemon's
// format, such as one from a plain service.
func (at *attempt) refusalCode(resp *http.Response) code.Code {
	if n, err := strconv.Atoi(resp.Header.Get(HeaderCode)); err == nil && code.Known(code.Code(n)) && n != 0 {
		return code.Code(n)
	}
	return code.TargetRefused
}

// daemonError returns the error that a daemon reports in body, and records its
// retry delay.
func (at *attempt) daemonError(body errorBody) error {
	at.a.RetryAfter = time.Duration(body.Error.RetryAfterMs) * time.Millisecond
	return code.New(body.Error.Code, "%s", body.Error.Message).WithRetryAfter(at.a.RetryAfter)
}

// retryDecision says whether, where and when to retry after a failed attempt.
type retryDecision struct {
	retry       bool
	otherDaemon bool
	delay       time.Duration
}

// minRetryDelay is the shortest delay between attempts.
const minRetryDelay = 20 * time.Millisecond

// decideRetry decides whether to repeat an attempt. An attempt that ran, or may
// have run, is repeated only if the request may run twice or has an idempotency
// key, with which the daemons prevent a second run.
func (at *attempt) decideRetry(err error) retryDecision {
	delay := max(at.a.RetryAfter, minRetryDelay)
	switch code.Of(err) {
	case code.Isolated, code.Draining, code.NoConfiguration, code.TooManyConns, code.DaemonUnreachable:
		return retryDecision{retry: at.a.NotRun, otherDaemon: true, delay: minRetryDelay}
	case code.Overloaded, code.OrgOverShare, code.TooManyStreams, code.CrashSuspect, code.NoTarget, code.TargetUnreachable, code.OnceUnavailable:
		return retryDecision{retry: at.a.NotRun, delay: delay}
	case code.KeyBusy:
		return retryDecision{retry: at.r.Key != "", delay: delay}
	case code.OutcomeUnknown, code.StreamCut:
		// Without a response, or with an answer that was cut off, the daemon may be
		// down. With an error status the code comes from the daemon itself, and is
		// final for a request with a key.
		daemonMayBeDown := at.a.Status == 0 || at.a.Status == http.StatusOK
		return retryDecision{retry: at.r.Idempotent || at.r.Key != "" && daemonMayBeDown, otherDaemon: daemonMayBeDown, delay: delay}
	case code.TargetFailed, code.RetryBudgetSpent, code.AnswerMismatch:
		return retryDecision{retry: at.r.Idempotent, delay: delay}
	}
	return retryDecision{}
}

// sleep waits for d. It reports false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
