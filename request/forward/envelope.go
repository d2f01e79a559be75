// Package forward sends callers' requests through another daemon. It is used by
// a daemon that has lost its links to the targets of a service. A request is
// forwarded at most once: the daemon that receives it runs it or refuses it.
package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// Headers between daemons. They are removed before a request is sent to a
// target and before an answer is sent to a caller.
const (
	headerFrom       = "Pomelospool-Forwarded-By"
	headerTimeout    = "Pomelospool-Forward-Timeout-Ms"
	headerVersion    = "Pomelospool-Forward-Version"
	headerRuns       = "Pomelospool-Forward-Runs"
	headerSend       = "Pomelospool-Forward-Id" // of this send, in the request and in its answer
	headerResult     = "Pomelospool-Forward-Result"
	headerRetryAfter = "Pomelospool-Forward-Retry-Ms"
)

// Envelope is what a daemon states about a request that it forwards.
type Envelope struct {
	From    string        // VM of the forwarding daemon
	Timeout time.Duration // time left for the request
	Version int64         // of the configuration that it was matched by
	Runs    int           // targets that may have run the request
	Send    string        // id of this send; empty if an earlier build sent it
}

// addTo adds the envelope to the headers of a forwarded request.
func (e *Envelope) addTo(h http.Header) {
	h.Set(headerFrom, e.From)
	h.Set(headerTimeout, strconv.FormatInt(max(e.Timeout.Milliseconds(), 1), 10))
	h.Set(headerVersion, strconv.FormatInt(e.Version, 10))
	h.Set(headerRuns, strconv.Itoa(e.Runs))
	h.Set(headerSend, e.Send)
}

// IsForwarded reports whether the request has an envelope.
func IsForwarded(h http.Header) bool { return h.Get(headerFrom) != "" }

// TakeEnvelope reads the envelope of a forwarded request and removes it.
func TakeEnvelope(h http.Header) (Envelope, error) {
	e := Envelope{From: h.Get(headerFrom), Send: h.Get(headerSend)}
	ms, err := strconv.ParseInt(h.Get(headerTimeout), 10, 64)
	if err == nil {
		e.Timeout = time.Duration(ms) * time.Millisecond
		e.Version, err = strconv.ParseInt(h.Get(headerVersion), 10, 64)
	}
	if err == nil {
		e.Runs, err = strconv.Atoi(h.Get(headerRuns))
	}
	for _, k := range []string{headerFrom, headerTimeout, headerVersion, headerRuns, headerSend} {
		h.Del(k)
	}
	if err != nil || e.Runs < 0 {
		return e, fmt.Errorf("forward: invalid envelope: %w", err)
	}
	return e, nil
}

// SetResult marks the answer to a forwarded request as an error of the daemon that
// received it, as opposed to an answer of a target.
func (e *Envelope) SetResult(h http.Header, err *code.Error) {
	h.Set(headerResult, strconv.Itoa(int(err.Code)))
	h.Set(headerRetryAfter, strconv.FormatInt(err.RetryAfter.Milliseconds(), 10))
	e.setSend(h)
}

// SetServed marks an answer as a target's, relayed by a daemon that understands
// the envelope.
func (e *Envelope) SetServed(h http.Header) {
	h.Set(headerResult, strconv.Itoa(int(code.OK)))
	h.Del(headerRetryAfter)
	e.setSend(h)
}

func (e *Envelope) setSend(h http.Header) {
	if e.Send != "" {
		h.Set(headerSend, e.Send)
	}
}

// ClearResult removes the marks.
func ClearResult(h http.Header) {
	h.Del(headerSend)
	h.Del(headerResult)
	h.Del(headerRetryAfter)
}

// resultOf returns the error that SetResult marked, or nil if the answer is a
// target's. An answer without a mark may be that of another program, which may have
// run the request.
func resultOf(h http.Header, peer string) *code.Error {
	v := h.Get(headerResult)
	n, err := strconv.Atoi(v)
	switch {
	case v == "":
		return code.New(code.PeerUnreachable, "the answer from the address of daemon %s isn't marked", peer)
	case err == nil && n == int(code.OK):
		return nil
	case err != nil || !code.Known(code.Code(n)):
		return code.New(code.PeerUnreachable, "daemon %s answered with the unknown code %.20q", peer, v)
	}
	e := code.New(code.Code(n), "at daemon %s", peer)
	if ms, err := strconv.ParseInt(h.Get(headerRetryAfter), 10, 64); err == nil && ms > 0 {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return e
}
