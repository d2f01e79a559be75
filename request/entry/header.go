package entry

import (
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/version/document"
)

// Request headers.
const (
	headerPriority = "X-Priority"
	headerOrg      = "X-Organisation"
	headerKey      = "Idempotency-Key"
)

// headerModelVersion is the header of a streamed answer with the model version that makes
// it. A caller that resumes the stream states it.
const headerModelVersion = "X-Model-Version"

const (
	maxIDBytes      = 128 // of an id, an idempotency key or an organisation's name
	defaultDeadline = 30 * time.Second
)

// requestID returns the request id that the caller sent. If the id is missing
// or invalid, it returns a new one, with an error in the latter case.
func requestID(req *http.Request) (string, error) {
	id := req.Header.Get(attempt.HeaderID)
	if id == "" {
		return uuid.NewString(), nil
	}
	if !validID(id) {
		return uuid.NewString(), code.New(code.BadRequest, "X-Request-Id has over %d bytes or other signs than A-Z a-z 0-9 . _ : -", maxIDBytes)
	}
	return id, nil
}

func validID(id string) bool {
	if len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune("._:-", rune(c)) {
			return false
		}
	}
	return true
}

// checkHeaderAndPath refuses headers over the limit and paths that aren't in
// canonical form.
//
// A path such as "/s/app/x/../holds" doesn't match the prefix /holds here and
// would be handled as an idempotent call, but the target resolves it to /holds.
// A retry could then run a non-idempotent call twice.
func (e *Entry) checkHeaderAndPath(req *http.Request) error {
	if n := headerBytes(req); n > e.opts.Limits.HeaderBytes {
		return code.New(code.HeaderTooLarge, "%d bytes, at most %d", n, e.opts.Limits.HeaderBytes)
	}
	clean := path.Clean(req.URL.Path)
	if strings.HasSuffix(req.URL.Path, "/") && clean != "/" {
		clean += "/"
	}
	if clean != req.URL.Path {
		return code.New(code.BadRequest, "the path isn't clean")
	}
	return nil
}

func headerBytes(req *http.Request) int {
	n := len(req.RequestURI)
	for k, vs := range req.Header {
		for _, v := range vs {
			n += len(k) + len(v) + len(": \r\n")
		}
	}
	return n
}

// requestParams holds the parameters that a caller can set on every request.
type requestParams struct {
	org      string
	priority int
	deadline time.Time
	caller   string // key of the limits per caller
	stream   bool   // the caller wants a streamed answer
}

func readParams(req *http.Request, doc *document.Document, now time.Time) (requestParams, error) {
	params := requestParams{org: req.Header.Get(headerOrg)}
	if len(params.org) > maxIDBytes {
		return params, code.New(code.BadRequest, "X-Organisation has over %d bytes", maxIDBytes)
	}
	if v := req.Header.Get(headerPriority); v != "" {
		p, err := strconv.Atoi(v)
		if err != nil || p < -1 || p > 1 {
			return params, code.New(code.BadRequest, "X-Priority is -1, 0 or 1")
		}
		params.priority = p
	}
	timeout, err := requestTimeout(req.Header.Get(attempt.HeaderDeadline), doc)
	if err != nil {
		return params, err
	}
	params.deadline = now.Add(timeout)
	host, _, _ := net.SplitHostPort(req.RemoteAddr)
	params.caller = params.org + "\x00" + host
	return params, nil
}

func requestTimeout(header string, doc *document.Document) (time.Duration, error) {
	timeout := doc.Objectives.Answer
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 32)
		if err != nil || ms <= 0 {
			return 0, code.New(code.BadRequest, "X-Deadline-Ms is a positive number of milliseconds")
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	if limit := doc.Limits.MaxDeadline; limit > 0 {
		timeout = min(timeout, limit)
	}
	return timeout, nil
}
