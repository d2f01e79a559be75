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

	"github.com/pomelospool/pomelospool/standin/token"
)

// script is a target that misbehaves on command.
type script struct {
	*httptest.Server
	mu      sync.Mutex
	runs    int
	ids     []string
	cancels chan string // ids of the cancel calls
}

// call is one request at a script.
type call struct {
	w      http.ResponseWriter
	ctx    <-chan struct{} // closed when the daemon gave the request up
	id     string
	prompt string
	resume int
}

func newScript(t testing.TB, play func(c *call)) *script {
	t.Helper()
	s := &script{cancels: make(chan string, 100)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		play(&call{w: w, ctx: r.Context().Done(), id: r.Header.Get("X-Request-Id"), prompt: b.Prompt, resume: b.Resume.Tokens})
	}))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

func (s *script) addr() string { return s.Listener.Addr().String() }

func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// id returns the id of the first request.
func (s *script) id() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[0]
}

// seen returns the ids of all requests.
func (s *script) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ids)
}

// head sends a good header.
func (c *call) head() *call {
	c.w.Header().Set("X-Request-Id", c.id)
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.flush()
	return c
}

func (c *call) flush() { _ = http.NewResponseController(c.w).Flush() }

// raw sends text as it is.
func (c *call) raw(text string) *call {
	fmt.Fprint(c.w, text)
	c.flush()
	return c
}

// token sends token i under id, the last one with its reason.
func (c *call) token(id string, i int, last bool) *call {
	end := "null"
	if last {
		end = `"length"`
	}
	text := token.At(token.Hash(c.prompt), i)
	return c.raw(fmt.Sprintf(`data: {"id":%q,"token_index":%d,"choices":[{"text":%q,"finish_reason":%s}]}`+"\n\n", id, i, text, end))
}

// tokens sends its own tokens named.
func (c *call) tokens(indexes ...int) *call {
	for _, i := range indexes {
		c.token(c.id, i, false)
	}
	return c
}

// finish sends the last token and the end marker.
func (c *call) finish(last int) { c.token(c.id, last, true).raw("data: [DONE]\n\n") }

// hang makes no progress until the daemon gives up.
func (c *call) hang() { <-c.ctx }

// reset breaks the connection off.
func (c *call) reset() { panic(http.ErrAbortHandler) }
