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

// Headers of requests.
const (
	headerPriority = "X-Priority"
	headerOrg      = "X-Organisation"
	headerKey      = "Idempotency-Key"
)

const (
	maxID           = 128 // bytes of an id, a key, an organisation's name
	defaultDeadline = 30 * time.Second
)

// requestID returns the caller's id, or a new one when there is none or it
// can't be used.
func requestID(req *http.Request) (string, error) {
	id := req.Header.Get(attempt.HeaderID)
	if id == "" {
		return uuid.NewString(), nil
	}
	if !validID(id) {
		return uuid.NewString(), code.New(code.BadRequest, "X-Request-Id has over %d bytes or other signs than A-Z a-z 0-9 . _ : -", maxID)
	}
	return id, nil
}

func validID(id string) bool {
	if len(id) > maxID {
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

// checkForm refuses headers over the limit and paths that aren't clean.
//
// A path such as "/s/app/x/../holds" would not look like a call to /holds
// here, and run as an idempotent one, while the target takes it as such: a
// slot hold could run twice. Only clean paths pass.
func (e *Entry) checkForm(req *http.Request) error {
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

// terms are what a caller asks of any request.
type terms struct {
	org      string
	priority int
	deadline time.Time
	caller   string // for limits per caller
}

func readTerms(req *http.Request, doc *document.Document, now time.Time) (terms, error) {
	t := terms{org: req.Header.Get(headerOrg)}
	if len(t.org) > maxID {
		return t, code.New(code.BadRequest, "X-Organisation has over %d bytes", maxID)
	}
	if v := req.Header.Get(headerPriority); v != "" {
		p, err := strconv.Atoi(v)
		if err != nil || p < -1 || p > 1 {
			return t, code.New(code.BadRequest, "X-Priority is -1, 0 or 1")
		}
		t.priority = p
	}
	left, err := timeLeft(req.Header.Get(attempt.HeaderDeadline), doc)
	if err != nil {
		return t, err
	}
	t.deadline = now.Add(left)
	host, _, _ := net.SplitHostPort(req.RemoteAddr)
	t.caller = t.org + "\x00" + host
	return t, nil
}

func timeLeft(header string, doc *document.Document) (time.Duration, error) {
	left := doc.Objectives.Answer
	if left <= 0 {
		left = defaultDeadline
	}
	if header != "" {
		ms, err := strconv.ParseInt(header, 10, 32)
		if err != nil || ms <= 0 {
			return 0, code.New(code.BadRequest, "X-Deadline-Ms is a positive number of milliseconds")
		}
		left = time.Duration(ms) * time.Millisecond
	}
	if most := doc.Limits.MaxDeadline; most > 0 {
		left = min(left, most)
	}
	return left, nil
}
