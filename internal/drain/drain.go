// Package drain stops an HTTP server without dropping requests that it has read.
// Package net/http closes a connection without an answer if it reads a request's
// header after the call of Shutdown.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
)

const (
	// maxNewWait bounds the wait for the first requests of new connections. Callers
	// send them as soon as they are connected.
	maxNewWait = time.Second
	// pollInterval is the interval between two checks for open requests.
	pollInterval = 5 * time.Millisecond
)

// Tracker tracks the states of a server's connections. It is safe for concurrent use.
type Tracker struct {
	server *http.Server

	mu     sync.Mutex
	states map[net.Conn]http.ConnState // new and active connections
}

// Track returns a Tracker of a server that doesn't serve yet. It sets the server's
// ConnState.
func Track(s *http.Server) *Tracker {
	t := &Tracker{server: s, states: make(map[net.Conn]http.ConnState)}
	s.ConnState = t.recordState
	return t
}

func (t *Tracker) recordState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		t.states[c] = state
	} else {
		delete(t.states, c)
	}
}

// open reports whether there are connections with an open request or, if withNew is
// set, without a request yet.
func (t *Tracker) open(withNew bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.states {
		if state == http.StateActive || withNew {
			return true
		}
	}
	return false
}

// Shutdown is http.Server.Shutdown, but first closes the server's listener and answers
// the requests of open connections. The server's Serve may return net.ErrClosed.
func (t *Tracker) Shutdown(ctx context.Context, l net.Listener) error {
	_ = l.Close()
	t.server.SetKeepAlivesEnabled(false)
	begun := time.Now()
	// A connection that was accepted last isn't tracked at once.
	for pause.For(ctx, pollInterval) == nil && t.open(time.Since(begun) < maxNewWait) {
	}
	return t.server.Shutdown(ctx)
}
