package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
)

// maxKVBytes bounds the size of an imported KV cache.
const maxKVBytes = 64 << 20

// Error texts of a refused order.
const (
	refusedFenced = "fenced"
	refusedBusy   = "busy"
)

// Handler serves completion requests, the control API and the stand-in's own
// endpoints under /_standin/.
func (e *Engine) Handler() http.Handler {
	r := bunrouter.New()
	r.POST("/v1/chat/completions", func(w http.ResponseWriter, req bunrouter.Request) error {
		e.complete(w, req.Request, true)
		return nil
	})
	r.POST("/v1/completions", func(w http.ResponseWriter, req bunrouter.Request) error {
		e.complete(w, req.Request, false)
		return nil
	})
	r.POST("/v1/cancel", e.serveCancel)
	r.GET("/control/state", func(w http.ResponseWriter, req bunrouter.Request) error {
		st, err := e.State(req.Context())
		return answer(w, st, err)
	})
	r.GET("/control/load", func(w http.ResponseWriter, req bunrouter.Request) error {
		l, err := e.Load(req.Context())
		return answer(w, l, err)
	})
	r.GET("/control/cache", e.serveCache)
	r.POST("/control/order", e.serveOrder)
	r.POST("/control/kv/export", e.serveExport)
	r.POST("/control/kv/import", e.serveImport)
	r.POST("/_standin/fault", bunrouter.HTTPHandlerFunc(standin.FaultHandler(e.Apply)))
	r.GET("/_standin/record", func(w http.ResponseWriter, _ bunrouter.Request) error {
		standin.JSON(w, http.StatusOK, e.Record())
		return nil
	})
	return r
}

// answer writes v, or err with the matching status.
func answer(w http.ResponseWriter, v any, err error) error {
	switch {
	case err == nil:
		standin.JSON(w, http.StatusOK, v)
	case errors.Is(err, port.ErrFenced):
		standin.Error(w, http.StatusConflict, refusedFenced)
	case errors.Is(err, port.ErrBusy):
		standin.Error(w, http.StatusConflict, refusedBusy)
	case errors.Is(err, port.ErrUnavailable):
		standin.Error(w, http.StatusServiceUnavailable, err.Error())
	default:
		standin.Error(w, http.StatusBadRequest, err.Error())
	}
	return nil
}

// Cancel is the body of POST /v1/cancel.
type Cancel struct {
	ID string `json:"id"`
}

// Cancelled is the answer to POST /v1/cancel.
type Cancelled struct {
	Found bool `json:"found"`
}

func (e *Engine) serveCancel(w http.ResponseWriter, req bunrouter.Request) error {
	var c Cancel
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		return answer(w, nil, err)
	}
	found, err := e.CancelID(req.Context(), c.ID)
	return answer(w, Cancelled{found}, err)
}

// CancelID cancels the request with the given id and reports whether it was
// running or waiting.
func (e *Engine) CancelID(ctx context.Context, id string) (found bool, err error) {
	err = e.do(ctx, func() {
		if s := e.batch.find(id); s != nil {
			found = e.batch.remove(s, finishCancelled)
		}
	})
	return found, err
}

func (e *Engine) serveCache(w http.ResponseWriter, req bunrouter.Request) error {
	after, _ := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	events, err := e.CacheEvents(req.Context(), after)
	return answer(w, events, err)
}

func (e *Engine) serveOrder(w http.ResponseWriter, req bunrouter.Request) error {
	var o port.Order
	err := json.NewDecoder(req.Body).Decode(&o)
	if err == nil {
		err = e.Order(req.Context(), o)
	}
	if errors.Is(err, errAnswerLost) {
		e.Abort(req.Request)
	}
	return answer(w, struct{}{}, err)
}

func (e *Engine) serveExport(w http.ResponseWriter, req bunrouter.Request) error {
	var body struct {
		Prefix []uint64 `json:"prefix"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		return answer(w, nil, err)
	}
	kv, err := e.ExportKV(req.Context(), body.Prefix)
	if err != nil {
		return answer(w, nil, err)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, err = w.Write(kv)
	return err
}

func (e *Engine) serveImport(w http.ResponseWriter, req bunrouter.Request) error {
	kv, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxKVBytes))
	if err == nil {
		err = e.ImportKV(req.Context(), kv)
	}
	return answer(w, struct{}{}, err)
}
