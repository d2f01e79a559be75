package plain

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/standin"
)

func start(t *testing.T) *Service {
	t.Helper()
	s := New(Options{Name: "p1"})
	if err := s.Run("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// result is what the caller of one request has received.
type result struct {
	status int
	id     string
	body   string
	err    error
}

func post(s *Service, id, body string) result {
	req, err := http.NewRequest(http.MethodPost, s.URL()+"/holds/7", strings.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	req.Header.Set(HeaderRequestID, id)
	req.Header.Set(HeaderKey, "key-"+id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header.Get(HeaderRequestID), string(data), err}
}

func TestFaults(t *testing.T) {
	complete := func(r result) bool { return r == result{200, "a", "body", nil} }
	cases := []struct {
		name  string
		fault standin.Fault
		check func(result) bool
		runs  int
	}{
		{"none", standin.Fault{Kind: "latency"}, complete, 1},
		{"refused unrun", standin.Fault{Kind: "refuse", Count: 1}, func(r result) bool { return r.status == 503 && r.id == "a" }, 0},
		{"answer lost after the run", standin.Fault{Kind: "lose", Count: 1}, func(r result) bool { return r.err != nil }, 1},
		{"answer cut", standin.Fault{Kind: "cut", Count: -1}, func(r result) bool { return r.err != nil && r.body == "bo" }, 1},
		{"late answer", standin.Fault{Kind: "late", Count: 1, MS: 1}, complete, 1},
		{"crash on a content", standin.Fault{Kind: "crash_on", Text: "bod"}, func(r result) bool { return r.err != nil }, 1},
		{"other content", standin.Fault{Kind: "crash_on", Text: "x"}, complete, 1},
		{"silent before", standin.Fault{Kind: "silent"}, complete, 1},
		{"crashed before", standin.Fault{Kind: "crash"}, func(r result) bool { return r.err != nil }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t)
			if err := s.Apply(t.Context(), c.fault); err != nil {
				t.Fatal(err)
			}
			if r := post(s, "a", "body"); !c.check(r) {
				t.Fatalf("result %+v", r)
			}
			rec := s.Record()
			if rec.Runs != c.runs || rec.Keys["key-a"] != c.runs || rec.Requests["a"] != c.runs {
				t.Fatalf("record %+v, want %d runs", rec, c.runs)
			}
		})
	}
}

func TestCrossedAnswers(t *testing.T) {
	s := start(t)
	if err := s.Apply(t.Context(), standin.Fault{Kind: "cross", Count: 2}); err != nil {
		t.Fatal(err)
	}
	first := make(chan result, 1)
	go func() { first <- post(s, "a", "of a") }()
	b := post(s, "b", "of b")
	if a := <-first; a.id != "b" || a.body != "of b" || b.id != "a" || b.body != "of a" {
		t.Fatalf("a got %+v, b got %+v", a, b)
	}
}

func TestUnknownFault(t *testing.T) {
	s := start(t)
	resp, err := http.Post(s.URL()+"/_standin/fault", "application/json", strings.NewReader(`{"kind":"flood"}`))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		t.Fatalf("status %d", resp.StatusCode)
	}
}
