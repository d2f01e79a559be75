package entry

import (
	"context"
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
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/limit"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// plainCall is one request to a plain service, read and checked.
type plainCall struct {
	svc   *view.Service
	terms terms
	path  string // with the query, as the target gets it
	body  []byte
	once  bool
	key   string
}

func (e *Entry) plain(w http.ResponseWriter, req bunrouter.Request) error {
	c, err := e.readPlain(w, req)
	if err != nil {
		writeError(w, err)
		return nil
	}
	if c.once {
		e.runOnce(w, req.Request, c)
		return nil
	}
	e.runPlain(w, req.Request, c)
	return nil
}

func (e *Entry) readPlain(w http.ResponseWriter, req bunrouter.Request) (*plainCall, error) {
	if err := e.gate(); err != nil {
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
	if c.terms, err = readTerms(req.Request, c.svc.Doc, time.Now()); err != nil {
		return nil, err
	}
	if err := c.readPath(req.Request, name); err != nil {
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

// readPath cuts the service off the path and looks up whether the call is
// idempotent. The prefixes are held against the decoded path, which is what
// the target will see.
func (c *plainCall) readPath(req *http.Request, name string) error {
	before := "/s/" + name
	decoded := strings.TrimPrefix(req.URL.Path, before)
	c.path = strings.TrimPrefix(req.URL.EscapedPath(), before)
	if req.URL.RawQuery != "" {
		c.path += "?" + req.URL.RawQuery
	}
	for _, p := range c.svc.Doc.Once.Paths {
		c.once = c.once || strings.HasPrefix(decoded, p)
	}
	c.key = req.Header.Get(headerKey)
	if c.once && c.key == "" {
		return code.New(code.KeyMissing, "")
	}
	if len(c.key) > maxID {
		return code.New(code.BadRequest, "Idempotency-Key has over %d bytes", maxID)
	}
	return nil
}

func (c *plainCall) digest(method string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(method + "\x00" + c.path + "\x00")
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// fingerprint names the content. Calls without a body share theirs with too
// many others to be suspected of anything.
func (c *plainCall) fingerprint(method string) uint64 {
	if len(c.body) == 0 {
		return 0
	}
	return c.digest(method)
}

func (c *plainCall) request(id string, req *http.Request, e *Entry) *attempt.Request {
	return &attempt.Request{
		ID:      id,
		Service: c.svc,
		Route: routing.Request{
			ID:       id,
			Service:  c.svc.Doc.Service,
			Org:      c.terms.org,
			Priority: c.terms.priority,
			Deadline: time.Until(c.terms.deadline),
			Zone:     e.opts.Zone,
			Seed:     xxhash.Sum64String(id),
		},
		Deadline:    c.terms.deadline,
		Method:      req.Method,
		Path:        c.path,
		Header:      forwarded(req.Header),
		Body:        func(int) []byte { return c.body },
		Idempotent:  !c.once,
		Fingerprint: c.fingerprint(req.Method),
	}
}

// ownHeaders are set by this process.
var ownHeaders = []string{attempt.HeaderID, attempt.HeaderDeadline, answer.HeaderCode, answer.HeaderNotRun}

// forwarded returns a copy of a caller's header without what ends at this
// process.
func forwarded(h http.Header) http.Header {
	out := without(h)
	for _, k := range hop.ConnectionOptions(h) {
		out.Del(k)
	}
	return out
}

// without returns a copy of h without the headers of connections and those
// that this process sets itself.
func without(h http.Header) http.Header {
	out := maps.Clone(h)
	hop.Strip(out)
	for _, k := range ownHeaders {
		out.Del(k)
	}
	return out
}

func (e *Entry) runPlain(w http.ResponseWriter, req *http.Request, c *plainCall) {
	q := c.request(w.Header().Get(attempt.HeaderID), req, e)
	obs := newObservation(e.opts.Burn, c.svc.Doc.Service, c.terms.org)
	p, err := e.admit(q, c.terms, 1)
	if err != nil {
		obs.end(err, 0)
		writeError(w, err)
		return
	}
	defer p.release()
	ctx, cancel := context.WithDeadline(req.Context(), c.terms.deadline)
	defer cancel()
	recv := &plainAnswer{w: w, hold: int64(e.opts.Limits.BufferBytes), stall: e.opts.WriteTimeout}
	_, err = e.runner.Run(ctx, q, &p.decision, recv)
	obs.end(err, 0)
	recv.finish(err)
}

// finish answers with what was received, or with err.
func (r *plainAnswer) finish(err error) {
	if err != nil && r.committed {
		// Breaking the connection off is HTTP's only way to say that an answer
		// whose header went out is not whole.
		panic(http.ErrAbortHandler)
	}
	if r.committed {
		return
	}
	if err != nil && !r.passOn(err) {
		writeError(r.w, err)
		return
	}
	r.writeHeader(code.Of(err))
	if answer.HasBody(r.status) {
		r.w.Header().Set("Content-Length", strconv.Itoa(len(r.held)))
	}
	r.w.WriteHeader(r.status)
	_, _ = r.w.Write(r.held)
}

// passOn reports whether err is the target's own whole answer of failure, which
// the caller of a plain service understands better than ours.
func (r *plainAnswer) passOn(err error) bool {
	var f *failure.Failure
	return errors.As(err, &f) && f.Class == failure.Failed && r.status != 0
}
