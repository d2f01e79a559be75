package h1

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/pomelospool/pomelospool/internal/pipenet"
)

// relateTo relates responses by their header Id to the request of that name.
func relateTo(name string) func(int, http.Header) Relation {
	return func(_ int, h http.Header) Relation {
		switch h.Get("Id") {
		case name:
			return Own
		case "":
			return Unnamed
		}
		return Foreign
	}
}

func response(status int, id, body string) string {
	named := ""
	if id != "" {
		named = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, named, len(body), body)
}

// exchangeNamed sends a request of that name and returns the status and the body.
func exchangeNamed(t *testing.T, p *Pool, name string) (int, string) {
	t.Helper()
	resp, err := p.Do(t.Context(), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h", Name: name, Relate: relateTo(name)})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	resp.Close(0)
	return resp.Status, string(body)
}

// Guards against a copy of the response to one send that is taken for the response to
// the next send of the same request.
func TestSendsOfOneRequestHaveDifferentConnections(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(i int, _ *http.Request) string { return response(503, "a", fmt.Sprint(i)) }))
		for range 3 {
			if _, body := exchangeNamed(t, p, "a"); body != "1" {
				t.Fatalf("response %s of its connection", body)
			}
		}
		if d := n.DialCount("a:1"); d != 3 {
			t.Errorf("%d connections, want 3", d)
		}
	})
}

// Guards against needless connections: the sends of other requests use those that
// exist.
func TestOtherRequestsShareConnections(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(_ int, r *http.Request) string { return response(503, r.Header.Get("Id"), "") }))
		for i := range 20 {
			for range 2 {
				name := fmt.Sprint("r", i)
				resp, err := p.Do(t.Context(), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {name}}, Name: name, Relate: relateTo(name)})
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.ReadAll(resp.Body)
				resp.Close(0)
			}
		}
		if d := n.DialCount("a:1"); d != 2 {
			t.Errorf("%d connections for 40 sends, want 2", d)
		}
	})
}

// Guards against a copy without a name that is taken for the next response.
func TestUnnamedResponseWithAStatusOfTheConnectionIsDiscarded(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(i int, _ *http.Request) string {
			if i == 1 {
				return response(503, "a", "")
			}
			return response(503, "", "") + response(200, "b", "right")
		}))
		exchangeNamed(t, p, "a")
		if status, body := exchangeNamed(t, p, "b"); status != 200 || body != "right" {
			t.Errorf("status %d, body %q", status, body)
		}
	})
}

// Guards against requests that wait for an answer in vain at targets which don't name
// requests in rejections.
func TestUnnamedResponseIsTakenIfItRepeatsNone(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(i int, _ *http.Request) string {
			if i == 3 {
				return response(503, "", "")
			}
			return response(200, fmt.Sprint("r", i), "")
		}))
		for i, want := range []int{200, 200, 503} {
			if status, _ := exchangeNamed(t, p, fmt.Sprint("r", i+1)); status != want {
				t.Errorf("status %d, want %d", status, want)
			}
		}
		if status, _ := exchangeNamed(t, p, "r1"); status != 200 || n.DialCount("a:1") != 2 {
			t.Errorf("status %d, %d connections, want 2: the response without a name may be repeated", status, n.DialCount("a:1"))
		}
	})
}

// Guards against a connection whose history grows without bound.
func TestConnectionCarriesALimitedNumberOfRequests(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(i int, _ *http.Request) string { return response(200, fmt.Sprint("r", i), "") }))
		for i := range 2 * maxConnRequests {
			exchangeNamed(t, p, fmt.Sprint("r", i%maxConnRequests+1))
		}
		if d := n.DialCount("a:1"); d != 2 {
			t.Errorf("%d connections, want 2", d)
		}
	})
}
