package entry

import (
	"testing"

	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin/engine"
	"github.com/pomelospool/pomelospool/standin/plain"
)

func startEngine(t testing.TB) *engine.Engine {
	t.Helper()
	e := newEngine(t)
	if err := e.Run("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	return e
}

// startEngineOn starts an engine on an in-memory network.
func startEngineOn(t testing.TB, n *pipenet.Net, addr string) *engine.Engine {
	t.Helper()
	e := newEngine(t)
	if err := e.RunListener(n.Listen(addr)); err != nil {
		t.Fatal(err)
	}
	return e
}

func newEngine(t testing.TB) *engine.Engine {
	e := engine.New(engine.Options{Spec: port.EngineSpec{Model: testModel}, StepBase: 1, StepPerSequence: 1})
	t.Cleanup(func() { e.Close() })
	return e
}

func startPlain(t testing.TB) *plain.Service {
	t.Helper()
	s := plain.New(plain.Options{})
	if err := s.Run("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func TestEndToEnd(t *testing.T) {
	e, p := startEngine(t), startPlain(t)
	f := newFixture(t, []string{e.Addr()}, []string{p.Addr()}, nil)

	r := f.complete("hello", 5, "X-Request-Id", "id-1")
	if r.status != 200 || r.code() != "0" || r.header.Get("X-Request-Id") != "id-1" {
		t.Fatalf("stream: %+v", r)
	}
	if err := checkStream(r.body, "id-1", "hello", 5); err != nil {
		t.Fatal(err)
	}
	r = f.do("POST", "/v1/completions", modelRequest("hello", 5, false), "X-Request-Id", "id-2")
	if r.status != 200 || r.code() != "0" {
		t.Fatalf("unstreamed: %+v", r)
	}
	r = f.do("PUT", "/s/app/echo?x=1", "body")
	if r.status != 200 || r.body != "body" || r.code() != "0" {
		t.Fatalf("plain: %+v", r)
	}
	r = f.do("GET", "/v1/addresses", "")
	if want := `{"addresses":[{"addr":"127.0.0.1:1","zone":"a"}],"ttl_ms":1000}`; r.body != want {
		t.Fatalf("addresses: %s", r.body)
	}
	r = f.do("GET", "/v1/models", "")
	if want := `{"object":"list","data":[{"id":"m","object":"model","owned_by":""}]}`; r.body != want {
		t.Fatalf("models: %s", r.body)
	}
	if n := f.entry.Open(); n != 0 {
		t.Fatalf("%d requests open", n)
	}
}
