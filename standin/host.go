package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
)

// maxFaultBytes bounds the body of a fault request.
const maxFaultBytes = 1 << 16

// Host is the HTTP server that each stand-in embeds. Until Start is called, the
// stand-in can be used in process only.
type Host struct {
	mu  sync.Mutex
	srv *Server
}

// Start serves h on addr.
func (h *Host) Start(handler http.Handler, addr string) error {
	return h.start(func() (*Server, error) { return Serve(handler, addr) })
}

// StartListener is Start on a listener, which the server closes.
func (h *Host) StartListener(handler http.Handler, lis net.Listener) error {
	return h.start(func() (*Server, error) { return ServeListener(handler, lis), nil })
}

func (h *Host) start(serve func() (*Server, error)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.srv != nil {
		return errors.New("standin: already running")
	}
	srv, err := serve()
	if err != nil {
		return err
	}
	h.srv = srv
	return nil
}

// Addr returns the listener's host and port, or "" before Start.
func (h *Host) Addr() string {
	if s := h.server(); s != nil {
		return s.Addr()
	}
	return ""
}

// URL returns the base URL, or "" before Start.
func (h *Host) URL() string {
	if a := h.Addr(); a != "" {
		return "http://" + a
	}
	return ""
}

// Stop closes the server.
func (h *Host) Stop() error {
	if s := h.server(); s != nil {
		return s.Close()
	}
	return nil
}

// Crash resets all connections and stops listening, as if the process had
// crashed.
func (h *Host) Crash() {
	if s := h.server(); s != nil {
		s.Crash()
	}
}

// Stall permanently stalls every open connection except the one of the request
// in ctx. It returns the number of stalled connections.
func (h *Host) Stall(ctx context.Context) int {
	if s := h.server(); s != nil {
		return s.Stall(ctx)
	}
	return 0
}

// Abort resets the connection of a request, so that the client doesn't get the
// answer. It panics with http.ErrAbortHandler and so never returns.
func (h *Host) Abort(r *http.Request) {
	if s := h.server(); s != nil {
		s.Reset(r.Context())
	}
	panic(http.ErrAbortHandler)
}

func (h *Host) server() *Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.srv
}

// Fault is the body of POST /_standin/fault, which injects a fault. Each stand-in
// defines its own kinds of fault, and each kind uses only some of the other
// fields.
type Fault struct {
	Kind  string  `json:"kind"`
	Text  string  `json:"text,omitempty"`  // marker in the request's content
	MS    int64   `json:"ms,omitempty"`    // milliseconds
	Count int     `json:"count,omitempty"` // how many times the fault applies; negative is without limit
	Value float64 `json:"value,omitempty"` // factor or rate
	After int     `json:"after,omitempty"` // tokens sent before the fault applies
}

// ErrUnknownFault is returned for a kind of fault that a stand-in doesn't
// support.
var ErrUnknownFault = errors.New("unknown fault")

// FaultHandler returns a handler that decodes a fault and passes it to apply.
func FaultHandler(apply func(context.Context, Fault) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes)).Decode(&f)
		if err == nil {
			err = apply(r.Context(), f)
		}
		if err != nil {
			Error(w, http.StatusBadRequest, err.Error())
			return
		}
		JSON(w, http.StatusOK, f)
	}
}

// JSON writes v as the JSON body of an answer with the given status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// ErrorBody is the JSON body of an error answer.
type ErrorBody struct {
	Error string `json:"error"`
}

// Error writes an ErrorBody with the given status and text.
func Error(w http.ResponseWriter, status int, text string) {
	JSON(w, status, ErrorBody{Error: text})
}
