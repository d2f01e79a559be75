package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pomelospool/pomelospool/port"
)

// Engine is the adapter to the control interface of one engine. A sender of
// orders creates a new adapter for each lease term and closes it when the term
// ends, so that neither a connection nor unsent bytes of an order in the kernel
// outlive the lease.
type Engine struct{ client *client }

var _ port.Engine = (*Engine)(nil)

// NewEngine returns an adapter to the engine at addr, host:port. It opens no
// connection before the first call.
func NewEngine(addr string, o Options) *Engine { return &Engine{newClient("engine", addr, o)} }

// Close closes all connections, including those of running calls, and discards
// bytes that the kernel hasn't sent yet. Later calls fail.
func (e *Engine) Close() error {
	e.client.close()
	return nil
}

// State returns the engine's state.
func (e *Engine) State(ctx context.Context) (port.EngineState, error) {
	var s port.EngineState
	err := e.client.get(ctx, "/control/state", &s)
	return s, err
}

// Load returns the engine's newest load report.
func (e *Engine) Load(ctx context.Context) (port.Load, error) {
	var l port.Load
	err := e.client.get(ctx, "/control/load", &l)
	return l, err
}

// CacheEvents returns the events after a sequence number.
func (e *Engine) CacheEvents(ctx context.Context, after int64) ([]port.CacheEvent, error) {
	var events []port.CacheEvent
	err := e.client.get(ctx, "/control/cache?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// Order starts a change. When it returns port.ErrUnavailable, the engine may
// still have accepted the order.
func (e *Engine) Order(ctx context.Context, o port.Order) error {
	_, err := e.post(ctx, "/control/order", o)
	return err
}

// exportRequest is the body of an export call.
type exportRequest struct {
	Prefix []uint64 `json:"prefix"`
}

// ExportKV returns the KV cache of the leading blocks of prefix that the engine
// has cached.
func (e *Engine) ExportKV(ctx context.Context, prefix []uint64) ([]byte, error) {
	return e.post(ctx, "/control/kv/export", exportRequest{prefix})
}

// ImportKV adds KV cache that another engine exported to the engine's cache.
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
	a, err := e.client.call(ctx, http.MethodPost, path, body, 0)
	if err != nil {
		return nil, err
	}
	switch a.status {
	case http.StatusOK:
		return a.body, nil
	case http.StatusConflict:
		return nil, e.refusal(a)
	default:
		return nil, e.client.statusError(a)
	}
}

// Refusals as named on the wire.
const (
	refusedFenced = "fenced"
	refusedBusy   = "busy"
)

func (e *Engine) refusal(a answer) error {
	var body struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(a.body, &body); err != nil {
		return e.client.statusError(a)
	}
	switch body.Error {
	case refusedFenced:
		return fmt.Errorf("engine: %w", port.ErrFenced)
	case refusedBusy:
		return fmt.Errorf("engine: %w", port.ErrBusy)
	default:
		return e.client.statusError(a)
	}
}
