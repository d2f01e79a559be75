package pool

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/h1"
)

const (
	cancelLimit = time.Second
	maxCancels  = 64 // under way at a time; beyond that the engine's own timeouts have to do
)

// cancelBody is the body of an engine's cancel call.
type cancelBody struct {
	ID string `json:"id"`
}

// Cancel tells the engine at addr over a new connection to drop a request, and
// doesn't wait for it. Closing a connection is the usual way to cancel, but
// the close of a silent one doesn't arrive: the engine would go on making
// tokens for nobody and keep their place.
func (p *Pool) Cancel(addr, id string) {
	select {
	case p.cancels <- struct{}{}:
	default:
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		<-p.cancels
		return
	}
	p.tomb.Go(func() error {
		defer func() { <-p.cancels }()
		if err := p.sendCancel(addr, id); err != nil {
			log.WithField("addr", addr).WithError(err).Info("pool: cancel lost")
		}
		return nil
	})
}

func (p *Pool) sendCancel(addr, id string) error {
	ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), cancelLimit)
	defer cancel()
	body, err := json.Marshal(cancelBody{ID: id})
	if err != nil {
		return err
	}
	resp, err := p.wires.Do(ctx, &h1.Request{
		Addr:   addr,
		Method: http.MethodPost,
		URI:    "/v1/cancel",
		Host:   addr,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   body,
		Reuse:  h1.ReuseNever,
	})
	if err != nil {
		return err
	}
	resp.Close(0)
	return nil
}
