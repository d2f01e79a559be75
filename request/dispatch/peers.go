package dispatch

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/request/forward"
)

// Links tracks whether this process reaches the targets of a service.
type Links interface {
	Reached(service string)
	Failed(service, target string)
	// Suspect is called when calls are refused because this process alone doesn't
	// reach the targets that take them.
	Suspect(service string)
	// Lost reports whether calls should be sent through another daemon.
	Lost(service string) bool
	// Confirmed reports whether failures say nothing about the targets.
	Confirmed(service string) bool
}

// Peers sends calls through other daemons.
type Peers interface {
	Do(ctx context.Context, r *forward.Request) (*forward.Response, error)
}

// linksLost reports whether this process has lost its links to the targets of
// the call's service.
func (x *execution) linksLost() bool { return x.opts.Links.Lost(x.call.Service.Name) }

// viaPeer reports whether the call goes through another daemon. A call that was
// forwarded to this daemon doesn't: two daemons without links would send it back
// and forth.
func (x *execution) viaPeer() bool {
	return x.opts.Peers != nil && !x.call.Forwarded && !x.trace.AnswerStarted && x.linksLost()
}

// refuseForwarded returns the error of a call that another daemon has forwarded
// to this one, which has lost its links too, or nil.
func (x *execution) refuseForwarded() error {
	if !x.call.Forwarded || x.possibleRuns > x.call.PriorRuns || !x.linksLost() {
		return nil
	}
	if x.budget.MayHaveSent() {
		return x.finalError(x.lastFailure) // another daemon would send it as its first
	}
	return code.New(code.LinksLost, "no target of service %q can be reached", x.call.Service.Name).WithRetryAfter(x.retryDelay(nil))
}

// refuseOrForward ends a call that isn't admitted. If the links are suspected for
// that reason, other daemons may reach the engines.
func (x *execution) refuseOrForward(ctx context.Context, out Stream, refusal error) error {
	if err := x.refuseForwarded(); err != nil {
		return err
	}
	if code.Of(refusal) == code.NoTarget && x.viaPeer() {
		return x.streamAtPeer(ctx, out)
	}
	return refusal
}

// askPeer forwards the call.
func (x *execution) askPeer(ctx context.Context) (*forward.Response, error) {
	counted := x.budget.Begin("")
	resp, err := x.opts.Peers.Do(ctx, &forward.Request{
		ID: x.call.Meta.RequestID, Service: x.call.Service.Name,
		Method: x.call.Method, URI: x.call.URI, Host: x.call.Host, Header: x.call.CallerHeader(), Body: x.call.Body,
		Deadline: x.call.Deadline, Envelope: forward.Envelope{Version: x.call.Version, Runs: x.possibleRuns},
	})
	switch {
	case err == nil:
		counted.Received()
	case code.Of(err) == code.LinksLost:
		counted.NotWritten()
	default:
		counted.Lost()
	}
	if err != nil {
		return nil, x.peerError(err)
	}
	x.trace.ForwardedTo = resp.VM
	return resp, nil
}

// peerError returns the error of a call that no peer answered. A target may
// have run the call before it was forwarded.
func (x *execution) peerError(err error) error {
	var e *code.Error
	if !errors.As(err, &e) {
		return code.Wrap(code.Internal, err, "")
	}
	if e.Code.Info().NotRun && x.possibleRuns > 0 {
		return code.Wrap(code.TargetFailed, e, "after %d sends", x.trace.Sends)
	}
	if e.Code.Info().NotRun && e.RetryAfter == 0 {
		e.RetryAfter = x.retryDelay(nil)
	}
	return e
}

// plainAtPeer executes the call at another daemon.
func (x *execution) plainAtPeer(ctx context.Context) (*Answer, error) {
	resp, err := x.askPeer(ctx)
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	body, err := quota.ReadAll(quota.FromContext(ctx), resp.Body, maxAnswer)
	if err == nil && len(body) > maxAnswer {
		err = errTooLarge
	}
	if err != nil {
		return nil, x.peerReadError(ctx, resp.VM, err)
	}
	return &Answer{Status: resp.Status, Header: resp.Header, Body: body}, nil
}

// streamAtPeer executes a streamed call at another daemon. That daemon has
// checked the events.
func (x *execution) streamAtPeer(ctx context.Context, out Stream) error {
	resp, err := x.askPeer(ctx)
	if err != nil {
		return err
	}
	defer resp.Close()
	x.trace.AnswerStarted = true
	out.Begin(resp.Status, resp.Header)
	buf := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if x.trace.TimeToFirst == 0 {
				x.trace.TimeToFirst = time.Since(x.call.Arrived)
			}
			if werr := out.Write(buf[:n]); werr != nil {
				return code.Wrap(code.CallerGone, werr, "")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return x.peerReadError(ctx, resp.VM, err)
		}
	}
}

// peerReadError returns the error of an answer that ended early.
func (x *execution) peerReadError(ctx context.Context, vm string, err error) error {
	switch {
	case ctx.Err() == nil:
		return code.Wrap(code.StreamCut, err, "at daemon %s", vm)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return code.Wrap(code.DeadlinePassed, err, "at daemon %s", vm)
	}
	return code.Wrap(code.CallerGone, err, "")
}
