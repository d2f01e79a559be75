package forward

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/pomelospool/pomelospool/connection/h1"
)

// HTTP is a Transport over HTTP/1.1. The daemon that receives a request reads
// its envelope with TakeEnvelope.
type HTTP struct {
	self string
	pool *h1.Pool
}

// NewHTTP returns a Transport of the daemon on the VM self.
func NewHTTP(self string) *HTTP { return &HTTP{self: self, pool: h1.New(h1.Options{})} }

// Send implements Transport.
func (t *HTTP) Send(ctx context.Context, p Peer, r *Request) (resp *Response, unsent bool, err error) {
	e := r.Envelope
	e.From, e.Timeout, e.Send = t.self, time.Until(r.Deadline), uuid.NewString()
	h := maps.Clone(r.Header)
	e.addTo(h)
	got, err := t.pool.Do(ctx, &h1.Request{
		Addr: p.Addr, Target: p.VM, Method: r.Method, URI: r.URI, Host: r.Host, Header: h, Body: r.Body, Reuse: h1.ReuseRecent,
		Name: e.Send, Relate: e.relate,
	})
	if err != nil {
		var he *h1.Error
		unsent := errors.As(err, &he) && !he.Written
		if he != nil {
			logExchange(p, r, he.Use, log.Fields{"unsent": unsent})
		}
		return nil, unsent, err
	}
	logExchange(p, r, got.Use, log.Fields{"status": got.Status, "result": got.Header.Get(headerResult)})
	return &Response{
		Status: got.Status, Header: got.Header, Body: got.Body, VM: p.VM, Refusal: resultOf(got.Header, p.VM),
		Close: func() { got.Close(0) },
	}, false, nil
}

// relate returns how an answer relates to the send. Earlier builds name none.
func (e *Envelope) relate(_ int, h http.Header) h1.Relation {
	switch h.Get(headerSend) {
	case e.Send:
		return h1.Own
	case "":
		return h1.Unnamed
	}
	return h1.Foreign
}

// logExchange logs one send to a daemon: its connection and its outcome.
func logExchange(p Peer, r *Request, use h1.ConnUse, outcome log.Fields) {
	log.WithFields(outcome).WithFields(log.Fields{"request": r.ID, "peer": p.VM, "exchange": use.String()}).Info("forward: exchange")
}

// Trim implements Transport.
func (t *HTTP) Trim() { t.pool.Retain(func(string) bool { return true }) }

// Close implements Transport.
func (t *HTTP) Close() { t.pool.Close() }
