package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/grpc"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/links"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/forward"
)

// wireLinks creates the parts that serve callers while this daemon has lost its
// links to the targets of a service.
func (d *Daemon) wireLinks() {
	d.links = links.New(links.Options{
		Services: d.serviceNames,
		Targets:  d.linkTargets,
		Probe:    d.pool.Recheck,
		Changed:  func(string, bool) {},
	})
	d.forwarder = forward.New(&peerTransport{d}, d.forwardPeers)
}

func (d *Daemon) serviceNames() []string {
	snap := d.view.Load()
	if snap == nil {
		return nil
	}
	return sortedServices(snap)
}

// linkTargets returns the targets of a service that this daemon uses and that
// aren't leaving.
func (d *Daemon) linkTargets(service string) []links.Target {
	snap := d.view.Load()
	if snap == nil || snap.Services[service] == nil {
		return nil
	}
	var out []links.Target
	for _, t := range snap.Services[service].Doc.Targets {
		if !t.Drain && !snap.Leaving[t.Addr] {
			out = append(out, links.Target{ID: t.Name, Addr: t.Addr})
		}
	}
	return out
}

// forwardPeers returns the other daemons that take requests, in a random order,
// those of this daemon's availability zone first.
func (d *Daemon) forwardPeers() []forward.Peer {
	var near, far []forward.Peer
	for _, m := range d.members.View().Members {
		p := forward.Peer{VM: m.Member.Id, Addr: m.Member.PeerAddr}
		switch {
		case !m.Usable():
		case m.Member.Zone == d.s.Zone:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	return forward.Shuffled(near, far)
}

// peerTransport is a forward.Transport over the protocol between daemons.
type peerTransport struct{ d *Daemon }

// Trim implements forward.Transport. The connections are shared with other
// calls between daemons.
func (t *peerTransport) Trim() {}

// Close implements forward.Transport.
func (t *peerTransport) Close() {}

// Send implements forward.Transport.
func (t *peerTransport) Send(ctx context.Context, p forward.Peer, r *forward.Request) (*forward.Response, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, first, unsent, err := t.d.dialer.Forward(ctx, p.Addr, &peerpb.ForwardRequest{
		From: t.d.s.VM, Method: r.Method, Uri: r.URI, CallerAddr: r.Caller, Header: encodeHeader(r.Header), Body: r.Body, Version: r.Envelope.Version,
	})
	if err != nil {
		cancel()
		return nil, unsent, err
	}
	resp := &forward.Response{Status: int(first.Status), Header: decodeHeader(first.Header), Body: &replyBody{stream: stream}, VM: p.VM, Close: cancel}
	if resp.Header.Get(answer.HeaderNotRun) == "true" {
		resp.Refusal = refusalOf(resp.Header, p.VM)
	}
	return resp, false, nil
}

// refusalOf returns the error of a daemon that didn't run a forwarded request.
func refusalOf(h http.Header, vm string) *code.Error {
	n, err := strconv.Atoi(h.Get(answer.HeaderCode))
	if c := code.Code(n); err == nil && code.Known(c) && c != code.OK {
		e := code.New(c, "at daemon %s", vm)
		if s, err := strconv.Atoi(h.Get(answer.HeaderRetry)); err == nil {
			e.RetryAfter = time.Duration(s) * time.Second
		}
		return e
	}
	return code.New(code.LinksLost, "daemon %s refused with the unknown code %.20q", vm, h.Get(answer.HeaderCode))
}

// replyBody reads the body from the replies of a daemon.
type replyBody struct {
	stream grpc.ServerStreamingClient[peerpb.ForwardReply]
	rest   []byte
}

// Read implements io.Reader.
func (b *replyBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		reply, err := b.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		if err != nil {
			return 0, fmt.Errorf("daemon: forwarded answer: %w", err)
		}
		b.rest = reply.Body
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func encodeHeader(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for k, v := range h {
		out = append(out, &peerpb.Header{Name: k, Values: v})
	}
	return out
}

func decodeHeader(list []*peerpb.Header) http.Header {
	out := make(http.Header, len(list))
	for _, e := range list {
		out[http.CanonicalHeaderKey(e.Name)] = e.Values
	}
	return out
}

// handleForward serves a request for a daemon that has lost its links.
func (d *Daemon) handleForward(ctx context.Context, r *peerpb.ForwardRequest, send func(*peerpb.ForwardReply) error) error {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+d.s.Listen.Callers+r.Uri, bytes.NewReader(r.Body))
	if err != nil {
		return fmt.Errorf("daemon: forwarded request: %w", err)
	}
	req.Header, req.RequestURI, req.RemoteAddr = decodeHeader(r.Header), r.Uri, r.CallerAddr
	w := &replyWriter{header: make(http.Header), send: send}
	if err := d.entry.ServeForwarded(w, req, forward.Envelope{From: r.From, Version: r.Version}); err != nil {
		return err
	}
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.err
}

// replyWriter is an http.ResponseWriter that sends the answer to the daemon that
// forwarded the request. A blocked send ends with the context of the call, which
// that daemon cancels when its caller stops reading.
type replyWriter struct {
	header http.Header
	send   func(*peerpb.ForwardReply) error
	begun  bool
	err    error
}

// Header implements http.ResponseWriter.
func (w *replyWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *replyWriter) WriteHeader(status int) {
	if w.begun {
		return
	}
	w.begun = true
	w.err = w.send(&peerpb.ForwardReply{Status: int32(status), Header: encodeHeader(w.header)})
}

// Write implements http.ResponseWriter.
func (w *replyWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err == nil && len(p) > 0 {
		w.err = w.send(&peerpb.ForwardReply{Body: bytes.Clone(p)})
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// FlushError does nothing: each write is sent at once.
func (w *replyWriter) FlushError() error { return nil }

// SetReadDeadline and SetWriteDeadline do nothing, see replyWriter.
func (w *replyWriter) SetReadDeadline(time.Time) error  { return nil }
func (w *replyWriter) SetWriteDeadline(time.Time) error { return nil }
