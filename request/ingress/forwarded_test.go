package ingress

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/forward"
	"github.com/pomelospool/pomelospool/version/inforce"
	"github.com/pomelospool/pomelospool/version/route"
)

// forwardTo returns a Forwarder whose only peer is the fixture.
func (f *fixture) forwardTo(t *testing.T) *forward.Forwarder {
	srv := httptest.NewServer(http.HandlerFunc(f.ServeForwarded))
	t.Cleanup(srv.Close)
	out := forward.New(forward.NewHTTP("vm-1"), func() []forward.Peer {
		return []forward.Peer{{VM: "vm-2", Addr: strings.TrimPrefix(srv.URL, "http://")}}
	})
	t.Cleanup(out.Close)
	return out
}

func forwardedCall(f *fixture, id string, version int64) *forward.Request {
	return &forward.Request{
		ID: id, Service: "app", Method: "POST", URI: "/p/x", Host: "a.example", Header: f.o.Protocol.ForwardHeaders(headers(id), false), Body: []byte("body"),
		Envelope: forward.Envelope{Version: version}, Deadline: time.Now().Add(5 * time.Second),
	}
}

// Guards against a target that is handed more time than the caller has left, and
// against headers between daemons that reach targets.
func TestForwardedRequestKeepsItsDeadline(t *testing.T) {
	f := start(t, true)
	resp, err := f.forwardTo(t).Do(t.Context(), forwardedCall(f, "r1", 7))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "answer to r1" || resp.Status != http.StatusOK {
		t.Errorf("status %d, %q, %v", resp.Status, body, err)
	}
	got := f.plain.RequestHeaders()[0]
	meta, err := f.o.Protocol.ParseRequest(got)
	if err != nil || meta.Timeout <= 0 || meta.Timeout > 5*time.Second {
		t.Errorf("the target may take %v, %v", meta.Timeout, err)
	}
	for name := range got {
		if strings.HasPrefix(name, "Pomelospool-Forward") {
			t.Errorf("the target received %s", name)
		}
	}
	if len(f.observations) != 0 {
		t.Error("the request was observed by the daemon that it was forwarded to")
	}
}

// Guards against a daemon behind the configuration that handles a forwarded
// request as only an older version allows.
func TestForwardedRequestNeedsItsVersion(t *testing.T) {
	f := start(t, true)
	_, err := f.forwardTo(t).Do(t.Context(), forwardedCall(f, "r1", 8))
	if code.Of(err) != code.StaleConfiguration || len(f.plain.Ran()) != 0 {
		t.Errorf("%v, ran %v", err, f.plain.Ran())
	}
}

// Guards against requests that fail for a moment after each new version, since
// the daemon that they are forwarded to reads it some milliseconds later.
func TestForwardedRequestWaitsForItsVersion(t *testing.T) {
	f := start(t, true)
	versions := inforce.New(func(r port.KeyedRecord) (*route.Config, bool, error) { return config(r.Offset), true, nil })
	versions.Apply([]port.KeyedRecord{{Offset: 7}})
	f.o.Config = versions
	time.AfterFunc(20*time.Millisecond, func() { versions.Apply([]port.KeyedRecord{{Offset: 8}}) })
	resp, err := f.forwardTo(t).Do(t.Context(), forwardedCall(f, "r1", 8))
	if err != nil {
		t.Fatal(err)
	}
	resp.Close()
	if len(f.plain.Ran()) != 1 {
		t.Errorf("ran %v", f.plain.Ran())
	}
}
