package entry

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/hop"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/forward"
	"github.com/pomelospool/pomelospool/request/limit"
	"github.com/pomelospool/pomelospool/request/stopping"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// Peers sends requests through other daemons.
type Peers interface {
	Do(ctx context.Context, r *forward.Request) (*forward.Response, error)
}

// forwardedKey is the context key of the envelope of a forwarded request.
type forwardedKey struct{}

// envelopeOf returns the envelope of a forwarded request, or nil if the request
// came from a caller.
func envelopeOf(req *http.Request) *forward.Envelope {
	e, _ := req.Context().Value(forwardedKey{}).(*forward.Envelope)
	return e
}

// ServeForwarded serves a request that another daemon has forwarded. The error
// states that the answer was cut.
func (e *Entry) ServeForwarded(w http.ResponseWriter, req *http.Request, envelope forward.Envelope) (err error) {
	defer func() {
		if v := recover(); v != nil {
			if v != http.ErrAbortHandler {
				panic(v)
			}
			err = http.ErrAbortHandler
		}
	}()
	e.ServeHTTP(w, req.WithContext(context.WithValue(req.Context(), forwardedKey{}, &envelope)))
	return nil
}

// checkEnvelope refuses a forwarded request that was matched by a newer version
// of the service than the one in force here, or whose targets this daemon
// doesn't reach either.
func (e *Entry) checkEnvelope(req *http.Request, svc *view.Service) error {
	envelope := envelopeOf(req)
	switch {
	case envelope == nil:
		return nil
	case svc.Version < envelope.Version:
		return code.New(code.StaleConfiguration, "version %d, the request was matched by version %d", svc.Version, envelope.Version).WithRetryAfter(retryAfter)
	case e.linksLost(svc):
		return e.linksLostError(svc)
	}
	return nil
}

func (e *Entry) linksLost(svc *view.Service) bool {
	return e.opts.Links != nil && e.opts.Links.Lost(svc.Doc.Service)
}

// checkOwnFinding returns the error of a request for which no target was found. If
// targets are down by this daemon's finding, the cause may be its links: they are
// suspected until a probe decides, and the request can go through another daemon. A
// forwarded one is refused so that its sender asks a further daemon.
func (e *Entry) checkOwnFinding(q *attempt.Request, err error) error {
	if e.opts.Links == nil || code.Of(err) != code.NoTarget || !e.findsTargetsDown(q.Service) {
		return err
	}
	e.opts.Links.Suspect(q.Service.Doc.Service)
	if q.Forwarded {
		return e.linksLostError(q.Service)
	}
	return err
}

// findsTargetsDown reports whether a target that isn't leaving accepts no connections
// of this daemon.
func (e *Entry) findsTargetsDown(svc *view.Service) bool {
	return slices.ContainsFunc(svc.Doc.Targets, func(t document.Target) bool { return !t.Drain && e.opts.Pool.Status(t.Addr).Down })
}

func (e *Entry) linksLostError(svc *view.Service) error {
	return code.New(code.LinksLost, "no target of service %q can be reached", svc.Doc.Service).WithRetryAfter(retryAfter)
}

// viaPeer reports whether a request goes through another daemon. A request that
// was forwarded to this daemon isn't forwarded again.
func (e *Entry) viaPeer(req *http.Request, svc *view.Service) bool {
	return e.opts.Peers != nil && envelopeOf(req) == nil && e.linksLost(svc)
}

// retryViaPeer reports whether a request that failed here with err, without
// being sent to a target, goes through another daemon.
func (e *Entry) retryViaPeer(req *http.Request, svc *view.Service, err error) bool {
	c := code.Of(err)
	return (c == code.NoTarget || c == code.TargetUnreachable) && e.viaPeer(req, svc)
}

// forward sends a request through another daemon and writes the answer.
func (e *Entry) forward(w http.ResponseWriter, req *http.Request, svc *view.Service, params requestParams, body []byte) {
	if err := e.begin(params.deadline); err != nil {
		writeError(w, err)
		return
	}
	defer e.finish()
	ctx, cancel := e.callContext(req.Context(), params.deadline)
	defer cancel()
	obs := newObservation(e.opts.Burn, svc.Doc.Service, params.org)
	id := w.Header().Get(attempt.HeaderID)
	h := maps.Clone(req.Header)
	for _, k := range hop.ConnectionOptions(h) {
		h.Del(k)
	}
	hop.Strip(h)
	h.Set(attempt.HeaderID, id)
	h.Set(attempt.HeaderDeadline, strconv.FormatInt(max(time.Until(params.deadline).Milliseconds(), 1), 10))
	resp, err := e.opts.Peers.Do(ctx, &forward.Request{
		ID: id, Service: svc.Doc.Service, Method: req.Method, URI: req.RequestURI, Host: req.Host, Header: h, Body: body,
		Envelope: forward.Envelope{Version: svc.Version}, Deadline: params.deadline, Caller: req.RemoteAddr,
	})
	if err != nil {
		err = stopping.Error(ctx, err)
		obs.finish(err, 0)
		writeError(w, withDefaultRetryAfter(err))
		return
	}
	defer resp.Close()
	err = e.relayPeer(w, resp)
	obs.finish(err, 0)
	if err != nil {
		panic(http.ErrAbortHandler) // the only way in HTTP to signal that the answer is incomplete
	}
}

// withDefaultRetryAfter adds a Retry-After time to a refusal that has none.
func withDefaultRetryAfter(err error) error {
	var e *code.Error
	if errors.As(err, &e) && e.Code.Info().NotRun && e.RetryAfter == 0 {
		e.RetryAfter = retryAfter
	}
	return err
}

// relayBuffer is the size in bytes of the parts in which an answer of another
// daemon is relayed.
const relayBuffer = 4 << 10

// relayPeer writes the answer of another daemon as it arrives.
func (e *Entry) relayPeer(w http.ResponseWriter, resp *forward.Response) error {
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.Status)
	if !answer.HasBody(resp.Status) {
		return nil
	}
	out := limit.NewWriter(w, e.opts.WriteTimeout)
	buf := make([]byte, relayBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if werr := out.Send(buf[:n]); werr != nil {
				return code.Wrap(code.CallerGone, werr, "")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return code.Wrap(code.StreamCut, err, "at daemon %s", resp.VM)
		}
	}
}
