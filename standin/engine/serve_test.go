package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/standin"
	"github.com/pomelospool/pomelospool/standin/token"
)

// streamResult is what the caller of a streamed answer has received at its end.
type streamResult struct {
	status       int
	id           string // id in the last chunk
	text         string
	firstIndex   int // token_index of the first chunk
	finishReason string
	done         bool // [DONE] was received
	err          error
}

func start(t *testing.T, o Options) *Engine {
	t.Helper()
	e := New(o)
	if err := e.Run("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	return e
}

// open sends a request over a new connection.
func open(ctx context.Context, e *Engine, id string, req Request) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(HeaderRequestID, id)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(r)
}

// readStream sends a request and reads the streamed answer to its end or to an
// error.
func readStream(ctx context.Context, e *Engine, id string, req Request) streamResult {
	req.Stream = true
	resp, err := open(ctx, e, id, req)
	if err != nil {
		return streamResult{err: err}
	}
	defer resp.Body.Close()
	g := streamResult{status: resp.StatusCode, firstIndex: -1}
	scan := bufio.NewScanner(resp.Body)
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if ok {
			g.addEvent(data)
		}
	}
	if g.err == nil {
		g.err = scan.Err()
	}
	return g
}

func (r *streamResult) addEvent(data string) {
	if data == "[DONE]" {
		r.done = true
		return
	}
	var c Chunk
	if r.err = json.Unmarshal([]byte(data), &c); r.err != nil {
		return
	}
	if r.firstIndex < 0 {
		r.firstIndex = *c.TokenIndex
	}
	r.id = c.ID
	r.text += *c.Choices[0].Text
	if end := c.Choices[0].FinishReason; end != nil {
		r.finishReason = *end
	}
}

// isComplete reports whether g is the complete answer to prompt, with the tokens
// from index from up to max.
func (r streamResult) isComplete(prompt string, from, max int) bool {
	return r.err == nil && r.done && r.finishReason == finishLength && r.text == token.Text(token.Hash(prompt), from, max)
}

func fault(t *testing.T, e *Engine, f standin.Fault) {
	t.Helper()
	if err := e.Apply(t.Context(), f); err != nil {
		t.Fatal(err)
	}
}

func TestStreamedAnswer(t *testing.T) {
	e := start(t, Options{})
	g := readStream(t.Context(), e, "r1", Request{Prompt: "p", MaxTokens: 20})
	if !g.isComplete("p", 0, 20) || g.id != "r1" || g.firstIndex != 0 {
		t.Fatalf("got %+v", g)
	}
	g = readStream(t.Context(), e, "r2", Request{Prompt: "p", MaxTokens: 20, Resume: &Resume{Tokens: 15}})
	if !g.isComplete("p", 15, 20) || g.firstIndex != 15 {
		t.Fatalf("resumed: %+v", g)
	}
	g = readStream(t.Context(), e, "r3", Request{Prompt: "p", MaxTokens: 5, Resume: &Resume{Tokens: 5}})
	if !g.isComplete("p", 5, 5) {
		t.Fatalf("resumed at the end: %+v", g)
	}
	if r := e.Record(); r.Tokens != 25 || r.Requests["r2"] != (RequestRecord{Starts: 1, Finishes: 1, Tokens: 5}) {
		t.Fatalf("record %+v", r)
	}
}

func TestUnstreamedAnswer(t *testing.T) {
	e := start(t, Options{})
	resp, err := open(t.Context(), e, "r1", Request{Prompt: "12345", MaxTokens: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var c Chunk
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	if *c.Choices[0].Text != token.Text(token.Hash("12345"), 0, 4) {
		t.Fatalf("text %q", *c.Choices[0].Text)
	}
	if *c.Usage != (Usage{PromptTokens: 2, CompletionTokens: 4, TotalTokens: 6}) || resp.Header.Get(HeaderRequestID) != "r1" {
		t.Fatalf("usage %+v of %q", c.Usage, resp.Header.Get(HeaderRequestID))
	}
}

func TestRefusedRequestsDoNotRun(t *testing.T) {
	cases := []struct {
		name   string
		fault  standin.Fault
		req    Request
		status int
	}{
		{"refuse", standin.Fault{Kind: "refuse", Count: 1}, Request{Model: "m"}, 503},
		{"leaving", standin.Fault{Kind: "leaving", Count: 1}, Request{Model: "m"}, 503},
		{"another model", standin.Fault{Kind: "cut"}, Request{Model: "x"}, 404},
		{"another adapter", standin.Fault{Kind: "cut"}, Request{Model: "m", Adapter: "x"}, 404},
		{"too long", standin.Fault{Kind: "cut"}, Request{Model: "m", MaxTokens: 1000}, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := start(t, Options{Spec: port.EngineSpec{Model: "m"}, KVCapacity: 500})
			fault(t, e, c.fault)
			resp, err := open(t.Context(), e, "r", c.req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			h := resp.Header
			if resp.StatusCode != c.status || h.Get(HeaderNotRun) != "true" || h.Get(HeaderRequestID) != "r" {
				t.Fatalf("status %d, header %v", resp.StatusCode, resp.Header)
			}
			if r := e.Record(); r.Refused != 1 || len(r.Requests) != 0 {
				t.Fatalf("record %+v", r)
			}
		})
	}
}

func TestAnswerFaults(t *testing.T) {
	cases := []struct {
		name  string
		fault standin.Fault
		check func(streamResult) bool
	}{
		{"cut in good form, but without [DONE]", standin.Fault{Kind: "cut", Count: 1, After: 3}, func(g streamResult) bool {
			return g.err == nil && !g.done && g.finishReason == "" && g.text == token.Text(token.Hash("p"), 0, 3)
		}},
		{"cut with a reset", standin.Fault{Kind: "cut", Count: 1, After: 3, Text: "reset"}, func(g streamResult) bool {
			return g.err != nil && !g.done
		}},
		{"crash on a marker", standin.Fault{Kind: "crash_on", Text: "p", After: 2}, func(g streamResult) bool {
			return g.err != nil && !g.done
		}},
		{"no fault for another content", standin.Fault{Kind: "crash_on", Text: "q"}, func(g streamResult) bool {
			return g.isComplete("p", 0, 10)
		}},
		{"slow", standin.Fault{Kind: "slow", Value: 2}, func(g streamResult) bool {
			return g.isComplete("p", 0, 10)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := start(t, Options{})
			fault(t, e, c.fault)
			g := readStream(t.Context(), e, "r", Request{Prompt: "p", MaxTokens: 10})
			if !c.check(g) {
				t.Fatalf("got %+v", g)
			}
		})
	}
}

func TestCrossedAnswers(t *testing.T) {
	e := start(t, Options{})
	fault(t, e, standin.Fault{Kind: "cross", Count: 2})
	other := make(chan streamResult, 1)
	go func() { other <- readStream(t.Context(), e, "b", Request{Prompt: "pb", MaxTokens: 8}) }()
	a := readStream(t.Context(), e, "a", Request{Prompt: "pa", MaxTokens: 8})
	b := <-other
	if a.id != "b" || b.id != "a" || !a.isComplete("pb", 0, 8) || !b.isComplete("pa", 0, 8) {
		t.Fatalf("a got %+v, b got %+v", a, b)
	}
}

// startLongStream starts a stream that doesn't end during the test, and returns
// once its first token has arrived.
func startLongStream(t *testing.T, ctx context.Context, e *Engine) (*http.Response, *bufio.Reader) {
	t.Helper()
	resp, err := open(ctx, e, "long", Request{Prompt: "p", MaxTokens: 100000, Stream: true})
	if err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	return resp, r
}

// waitForWork polls until the engine has work (busy) or has none.
func waitForWork(t *testing.T, e *Engine, busy bool) {
	t.Helper()
	for {
		l, err := e.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if (l.Running+l.Waiting > 0) == busy {
			return
		}
	}
}

func TestClosedConnectionCancels(t *testing.T) {
	e := start(t, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	resp, _ := startLongStream(t, ctx, e)
	defer resp.Body.Close()
	cancel()
	waitForWork(t, e, false)
}

func TestCancelByID(t *testing.T) {
	e := start(t, Options{})
	resp, r := startLongStream(t, t.Context(), e)
	defer resp.Body.Close()
	found, err := e.CancelID(t.Context(), "long")
	if err != nil || !found {
		t.Fatalf("found %v, %v", found, err)
	}
	rest, err := io.ReadAll(r)
	if err != nil || !bytes.Contains(rest, []byte(`"finish_reason":"cancelled"`)) {
		t.Fatalf("%v, rest %s", err, rest[max(len(rest)-200, 0):])
	}
	waitForWork(t, e, false)
}

// A stalled connection must deliver no more of its answer and no FIN, as when a
// device on the path has lost the connection's state. New connections are served.
func TestStalledConnection(t *testing.T) {
	e := start(t, Options{})
	resp, r := startLongStream(t, t.Context(), e)
	defer resp.Body.Close()
	fault(t, e, standin.Fault{Kind: "silent"})
	var generated int
	e.do(t.Context(), func() { generated = e.batch.find("long").generated })
	if g := readStream(t.Context(), e, "new", Request{Prompt: "p", MaxTokens: 50}); !g.isComplete("p", 0, 50) {
		t.Fatalf("the new connection got %+v", g)
	}
	e.Close()
	rest, err := io.ReadAll(r)
	if got := 1 + bytes.Count(rest, []byte("data: ")); err == nil || got > generated {
		t.Fatalf("the stalled connection got %d tokens, %d were generated before it stalled; %v", got, generated, err)
	}
}

// An engine that receives an order during a stream must complete the stream
// before the change. With CutOnChange it must cut the stream; otherwise, tests
// that rely on the cut would pass without one.
func TestChangeWaitsForRunningRequests(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut %v", cut), func(t *testing.T) {
			e := start(t, Options{CutOnChange: cut})
			done := make(chan streamResult, 1)
			go func() { done <- readStream(t.Context(), e, "r", Request{Prompt: "p", MaxTokens: 200}) }()
			waitForWork(t, e, true)
			err := e.Order(t.Context(), port.Order{ID: "o", Spec: port.EngineSpec{Role: port.RoleDecode}})
			if err != nil {
				t.Fatal(err)
			}
			if g := <-done; g.isComplete("p", 0, 200) == cut {
				t.Fatalf("answer complete: %v, error %v", !cut, g.err)
			}
			if q := e.Record().Requests["r"]; (q.Finishes == 0) != cut {
				t.Fatalf("record %+v", q)
			}
		})
	}
}
