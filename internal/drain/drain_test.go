package drain

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pipenet"
)

// Guards against requests that a planned stop reads and doesn't answer, since their
// connections were accepted just before it.
func TestRequestOfNewConnectionIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Net{}
		l := network.Listen("server")
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })}
		tracker := Track(server)
		go func() { _ = server.Serve(l) }()
		caller, err := network.Dial(t.Context(), "server")
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- tracker.Shutdown(t.Context(), l) }()
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); string(body) != "whole" || !resp.Close {
			t.Errorf("%q, connection closed: %v, %v", body, resp.Close, err)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a stop that waits for callers that connect and send nothing.
func TestSilentConnectionEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipenet.Net{}
		l := network.Listen("server")
		server := &http.Server{}
		tracker := Track(server)
		go func() { _ = server.Serve(l) }()
		caller, err := network.Dial(t.Context(), "server")
		if err != nil {
			t.Fatal(err)
		}
		begun := time.Now()
		_ = tracker.Shutdown(t.Context(), l)
		// Shutdown itself waits for up to 7 s for a connection without a request.
		if took := time.Since(begun); took > 8*time.Second {
			t.Errorf("took %v", took)
		}
		_ = caller.Close()
	})
}
