package entry

import (
	"errors"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/hop"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/limit"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/request/stopping"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// plainCall is a parsed and validated request to a plain service.
type plainCall struct {
	svc        *view.Service
	params     requestParams
	path       string // with the query, as sent to the target
	body       []byte
	atMostOnce bool
	key        string
}

func (e *Entry) plain(w http.ResponseWriter, req bunrouter.Request) error {
	c, err := e.readPlain(w, req)
	if err != nil {
		writeError(w, err)
		return nil
	}
	if e.viaPeer(req.Request, c.svc) {
		e.forward(w, req.Request, c.svc, c.params, c.body)
		return nil
	}
	if c.atMostOnce {
		e.runOnce(w, req.Request, c)
		return nil
	}
	e.runPlain(w, req.Request, c)
	return nil
}

func (e *Entry) readPlain(w http.ResponseWriter, req bunrouter.Request) (*plainCall, error) {
	if err := e.checkAccepting(); err != nil {
		return nil, err
	}
	snap, err := e.snapshot()
	if err != nil {
		return nil, err
	}
	name := req.Param("service")
	c := &plainCall{svc: snap.Services[name]}
	if c.svc == nil || c.svc.Doc.Kind != document.KindPlain {
		return nil, code.New(code.UnknownService, "service %.80q", name)
	}
	if c.params, err = readParams(req.Request, c.svc.Doc, time.Now()); err != nil {
		return nil, err
	}
	if err := c.readPath(req.Request, name); err != nil {
		return nil, err
	}
	if err := e.checkEnvelope(req.Request, c.svc); err != nil {
		return nil, err
	}
	c.body, err = limit.ReadBody(w, req.Request, e.bodyLimit(c.svc.Doc), e.opts.Limits.ReadBody)
	return c, err
}

func (e *Entry) bodyLimit(doc *document.Document) int64 {
	if doc.Limits.BodyBytes > 0 {
		return min(doc.Limits.BodyBytes, e.opts.Limits.BodyBytes)
	}
	return e.opts.Limits.BodyBytes
}

// readPath removes the service's prefix from the path and determines whether
// the call is idempotent. The configured prefixes are compared with the decoded
// path, which is what the target acts on.
func (c *plainCall) readPath(req *http.Request, name string) error {
	servicePrefix := "/s/" + name
	decoded := strings.TrimPrefix(req.URL.Path, servicePrefix)
	c.path = strings.TrimPrefix(req.URL.EscapedPath(), servicePrefix)
	if req.URL.RawQuery != "" {
		c.path += "?" + req.URL.RawQuery
	}
	for _, p := range c.svc.Doc.Once.Paths {
		c.atMostOnce = c.atMostOnce || strings.HasPrefix(decoded, p)
	}
	c.key = req.Header.Get(headerKey)
	if c.atMostOnce && c.key == "" {
		return code.New(code.KeyMissing, "")
	}
	if len(c.key) > maxIDBytes {
		return code.New(code.BadRequest, "Idempotency-Key has over %d bytes", maxIDBytes)
	}
	return nil
}

func (c *plainCall) digest(method string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method + "\x00" + c.path + "\x00")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// fingerprint identifies the call's content. It is zero for a call without a
// body: too many unrelated calls would share one fingerprint for a target's
// crash to be attributed to it.
func (c *plainCall) fingerprint(method string) quarantine.Fingerprint {
	if len(c.body) == 0 {
		return quarantine.Fingerprint{}
	}
	r := quarantine.Request{Caller: c.params.org, Scope: c.svc.Doc.Service, Method: method, Path: c.path, Body: c.body}
	return r.Fingerprint()
}

func (c *plainCall) request(id string, req *http.Request, e *Entry) *attempt.Request {
	return &attempt.Request{
		ID:      id,
		Service: c.svc,
		Route: routing.Request{
			ID:       id,
			Service:  c.svc.Doc.Service,
			Org:      c.params.org,
			Priority: c.params.priority,
			Deadline: time.Until(c.params.deadline),
			Zone:     e.opts.Zone,
			Seed:     xxhash.Sum64String(id),
		},
		Deadline:    c.params.deadline,
		Method:      req.Method,
		Path:        c.path,
		Header:      forwardedHeaders(req.Header),
		Body:        func(int) []byte { return c.body },
		Idempotent:  !c.atMostOnce,
		Forwarded:   envelopeOf(req) != nil,
		Fingerprint: c.fingerprint(req.Method),
	}
}

// ownHeaders are the headers that this process sets itself.
var ownHeaders = []string{attempt.HeaderID, attempt.HeaderDeadline, answer.HeaderCode, answer.HeaderNotRun}

// forwardedHeaders returns a copy of a caller's headers without those that must
// not be forwarded.
func forwardedHeaders(h http.Header) http.Header {
	out := stripHeaders(h)
	for _, k := range hop.ConnectionOptions(h) {
		out.Del(k)
	}
	return out
}

// stripHeaders returns a copy of h without hop-by-hop headers and ownHeaders.
func stripHeaders(h http.Header) http.Header {
	out := maps.Clone(h)
	hop.Strip(out)
	for _, k := range ownHeaders {
		out.Del(k)
	}
	return out
}

func (e *Entry) runPlain(w http.ResponseWriter, req *http.Request, c *plainCall) {
	q := c.request(w.Header().Get(attempt.HeaderID), req, e)
	obs := newObservation(e.opts.Burn, c.svc.Doc.Service, c.params.org)
	p, err := e.admit(q, c.params, 1)
	if e.retryViaPeer(req, c.svc, err) {
		e.forward(w, req, c.svc, c.params, c.body)
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
	recv := &plainReceiver{w: w, maxBuffered: int64(e.opts.Limits.BufferBytes), writeTimeout: e.opts.WriteTimeout, account: quota.FromContext(req.Context())}
	_, err = e.runner.Run(ctx, q, &p.decision, recv)
	err = stopping.Error(ctx, err)
	if !recv.committed && e.retryViaPeer(req, c.svc, err) {
		p.release()
		e.forward(w, req, c.svc, c.params, c.body)
		return
	}
	obs.finish(err, 0)
	recv.finish(err)
}

// finish writes the received answer, or an error answer for err.
func (r *plainReceiver) finish(err error) {
	if err != nil && r.committed {
		// Once the header is sent, aborting the connection is the only way in
		// HTTP to signal that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	if r.committed {
		return
	}
	if err != nil && !r.isTargetAnswer(err) {
		writeError(r.w, err)
		return
	}
	r.writeHeader(code.Of(err))
	if answer.HasBody(r.status) {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(r.buffered)))
	}
	r.w.WriteHeader(r.status)
	_ = limit.WriteAll(r.w, r.account, r.buffered, r.writeTimeout) // a disconnected caller can't be answered
}

// isTargetAnswer reports whether err represents a complete error answer of the
// target. Such an answer is forwarded, since it is more informative to the
// caller of a plain service than an answer of this daemon.
func (r *plainReceiver) isTargetAnswer(err error) bool {
	var f *failure.Failure
	return errors.As(err, &f) && f.Class == failure.Failed && r.status != 0
}
