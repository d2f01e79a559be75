package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
)

// maxFaultBytes bounds the body of a fault command.
const maxFaultBytes = 1 << 16

// Host is the server that each stand-in embeds. Run starts it; before Run,
// the stand-in works in process only.
type Host struct {
	mu  sync.Mutex
	srv *Server
}

// Start serves h on addr.
func (h *Host) Start(handler http.Handler, addr string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.srv != nil {
		return errors.New("standin: already running")
	}
	srv, err := Serve(handler, addr)
	if err != nil {
		return err
	}
	h.srv = srv
	return nil
}

// Addr returns host and port, empty before Run.
func (h *Host) Addr() string {
	if s := h.server(); s != nil {
		return s.Addr()
	}
	return ""
}

// URL returns the base URL, empty before Run.
func (h *Host) URL() string {
	if a := h.Addr(); a != "" {
		return "http://" + a
	}
	return ""
}

// Stop ends the server.
func (h *Host) Stop() error {
	if s := h.server(); s != nil {
		return s.Close()
	}
	return nil
}

// Crash resets all connections and stops listening, without a word.
func (h *Host) Crash() {
	if s := h.server(); s != nil {
		s.Crash()
	}
}

// Stall makes every open connection silent for good, but for the one of the
// request in ctx. It returns how many.
func (h *Host) Stall(ctx context.Context) int {
	if s := h.server(); s != nil {
		return s.Stall(ctx)
	}
	return 0
}

// Abort loses the answer to a request: its connection is reset. It doesn't
// return.
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

// Fault is a fault on command, the body of POST /_standin/fault. Which kinds
// there are is up to the stand-in; the other fields are for some kinds only.
type Fault struct {
	Kind  string  `json:"kind"`
	Text  string  `json:"text,omitempty"`  // marker in the content
	MS    int64   `json:"ms,omitempty"`    // milliseconds
	Count int     `json:"count,omitempty"` // how many times; negative is for good
	Value float64 `json:"value,omitempty"` // a factor or a rate
	After int     `json:"after,omitempty"` // tokens or bytes before it strikes
}

// ErrUnknownFault is the answer to a fault that a stand-in doesn't know.
var ErrUnknownFault = errors.New("unknown fault")

// FaultHandler decodes a fault command and hands it to apply.
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

// JSON answers with v.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error string `json:"error"`
}

// Error answers with an ErrorBody.
func Error(w http.ResponseWriter, status int, text string) {
	JSON(w, status, ErrorBody{Error: text})
}
