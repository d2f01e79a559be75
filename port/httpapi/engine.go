package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pomelospool/pomelospool/port"
)

// Engine is the adapter to the control side of one engine. Whoever sends
// orders makes a new one for each lease term and closes it when the term
// ends: then no connection, and no byte of an order that stands unsent in the
// kernel, outlives the authority to give it.
type Engine struct{ c *client }

var _ port.Engine = (*Engine)(nil)

// NewEngine returns an adapter to the engine at addr, host and port. It opens
// no connection before the first call.
func NewEngine(addr string, o Options) *Engine { return &Engine{newClient("engine", addr, o)} }

// Close cuts every connection, also under a running call, and drops what the
// kernel has not sent yet. Later calls fail.
func (e *Engine) Close() error {
	e.c.close()
	return nil
}

// State returns the engine's word about itself.
func (e *Engine) State(ctx context.Context) (port.EngineState, error) {
	var s port.EngineState
	err := e.c.get(ctx, "/control/state", &s)
	return s, err
}

// Load returns the engine's newest report.
func (e *Engine) Load(ctx context.Context) (port.Load, error) {
	var l port.Load
	err := e.c.get(ctx, "/control/load", &l)
	return l, err
}

// CacheEvents returns the events after a sequence number.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]port.CacheEvent, error) {
	var events []port.CacheEvent
	err := e.c.get(ctx, "/control/cache?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// Order starts a change. On port.ErrUnavailable the engine may have
// accepted it.
func (e *Engine) Order(ctx context.Context, o port.Order) error {
	_, err := e.post(ctx, "/control/order", o)
	return err
}

// exportRequest is the body of an export.
type exportRequest struct {
	Prefix []uint64 `json:"prefix"`
}

// ExportKV returns the cache of the leading blocks that the engine holds.
func (e *Engine) ExportKV(ctx context.Context, prefix []uint64) ([]byte, error) {
	return e.post(ctx, "/control/kv/export", exportRequest{prefix})
}

// ImportKV gives the engine the cache that another one exported.
func (e *Engine) ImportKV(ctx context.Context, kv []byte) error {
	_, err := e.send(ctx, "/control/kv/import", kv)
	return err
}

func (e *Engine) post(ctx context.Context, path string, v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	return e.send(ctx, path, body)
}

func (e *Engine) send(ctx context.Context, path string, body []byte) ([]byte, error) {
	a, err := e.c.call(ctx, http.MethodPost, path, body, 0)
	if err != nil {
		return nil, err
	}
	switch a.status {
	case http.StatusOK:
		return a.body, nil
	case http.StatusConflict:
		return nil, e.refusal(a)
	default:
		return nil, e.c.statusError(a)
	}
}

// The refusals on the wire.
const (
	refusedFenced = "fenced"
	refusedBusy   = "busy"
)

func (e *Engine) refusal(a answer) error {
	var body struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(a.body, &body); err != nil {
		return e.c.statusError(a)
	}
	switch body.Error {
	case refusedFenced:
		return fmt.Errorf("engine: %w", port.ErrFenced)
	case refusedBusy:
		return fmt.Errorf("engine: %w", port.ErrBusy)
	default:
		return e.c.statusError(a)
	}
}
