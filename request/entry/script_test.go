package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/standin/token"
)

// scriptedTarget is a target whose behaviour is set by a test.
type scriptedTarget struct {
	*httptest.Server // nil on an in-memory network
	play             func(c *call)

	mu      sync.Mutex
	runs    int
	ids     []string
	cancels chan string // ids in cancel requests
}

// call is one request to a scriptedTarget.
type call struct {
	w      http.ResponseWriter
	ctx    <-chan struct{} // closed when the daemon gives up the request
	id     string
	prompt string
	resume int
}

func newScriptedTarget(t testing.TB, play func(c *call)) *scriptedTarget {
	t.Helper()
	s := &scriptedTarget{play: play, cancels: make(chan string, 100)}
	s.Server = httptest.NewServer(s)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// serveScriptedTarget serves a target on an in-memory network, until the network is closed.
func serveScriptedTarget(n *pipenet.Net, addr string, play func(c *call)) *scriptedTarget {
	s := &scriptedTarget{play: play, cancels: make(chan string, 100)}
	n.Serve(addr, s)
	return s
}

// ServeHTTP implements http.Handler.
func (s *scriptedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var b struct {
		Prompt string
		Resume struct{ Tokens int }
		ID     string
	}
	_ = json.Unmarshal(body, &b)
	if r.URL.Path == "/v1/cancel" {
		s.cancels <- b.ID
		return
	}
	s.mu.Lock()
	s.runs++
	s.ids = append(s.ids, r.Header.Get("X-Request-Id"))
	s.mu.Unlock()
	s.play(&call{w: w, ctx: r.Context().Done(), id: r.Header.Get("X-Request-Id"), prompt: b.Prompt, resume: b.Resume.Tokens})
}

func (s *scriptedTarget) addr() string { return s.Listener.Addr().String() }

func (s *scriptedTarget) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// firstRequestID returns the id of the first request.
func (s *scriptedTarget) firstRequestID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[0]
}

// requestIDs returns the ids of all requests.
func (s *scriptedTarget) requestIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ids)
}

// head sends a valid header.
func (c *call) head() *call {
	c.w.Header().Set("X-Request-Id", c.id)
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.flush()
	return c
}

func (c *call) flush() { _ = http.NewResponseController(c.w).Flush() }

// raw sends text unchanged.
func (c *call) raw(text string) *call {
	fmt.Fprint(c.w, text)
	c.flush()
	return c
}

// token sends token i with the given id. The last token has a finish_reason.
func (c *call) token(id string, i int, last bool) *call {
	end := "null"
	if last {
		end = `"length"`
	}
	text := token.At(token.Hash(c.prompt), i)
	return c.raw(fmt.Sprintf(`data: {"id":%q,"token_index":%d,"choices":[{"text":%q,"finish_reason":%s}]}`+"\n\n", id, i, text, end))
}

// tokens sends tokens with the call's own id.
func (c *call) tokens(indexes ...int) *call {
	for _, i := range indexes {
		c.token(c.id, i, false)
	}
	return c
}

// finish sends the last token and the end marker.
func (c *call) finish(last int) { c.token(c.id, last, true).raw("data: [DONE]\n\n") }

// hang sends nothing until the daemon gives up.
func (c *call) hang() { <-c.ctx }

// reset closes the connection abruptly.
func (c *call) reset() { panic(http.ErrAbortHandler) }
