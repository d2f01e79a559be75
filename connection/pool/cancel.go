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
	cancelTimeout = time.Second
	maxCancels    = 64 // calls in flight; further requests are left to the engine's own timeouts
)

// cancelBody is the body of an engine's cancel call.
type cancelBody struct {
	ID string `json:"id"`
}

// Cancel asks the engine at addr over a new connection to cancel a request, and
// doesn't wait for the result. A request is usually cancelled by closing its
// connection, but the close of a stalled connection doesn't arrive: the engine
// would continue to generate tokens and occupy a decoding slot.
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
			log.WithField("addr", addr).WithError(err).Info("pool: cancel call failed")
		}
		return nil
	})
}

func (p *Pool) sendCancel(addr, id string) error {
	ctx, cancel := context.WithTimeout(p.tomb.Context(context.Background()), cancelTimeout)
	defer cancel()
	body, err := json.Marshal(cancelBody{ID: id})
	if err != nil {
		return err
	}
	resp, err := p.conns.Do(ctx, &h1.Request{
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
