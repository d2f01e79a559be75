package stream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/quota"
)

type sink struct {
	events []string
	err    error
}

func (s *sink) Event(data []byte) error {
	s.events = append(s.events, string(data))
	return s.err
}

func TestReader(t *testing.T) {
	cases := []struct {
		name, in string
		want     []string
		err      error
	}{
		{"two events", "data: a\n\ndata:b\r\n\r\n", []string{"a", "b"}, io.EOF},
		{"several lines", "data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		{"comments and fields", ": ping\n\nevent: x\nid: 1\ndata: a\n\n", []string{"a"}, io.EOF},
		{"end within an event", "data: a\n", nil, io.ErrUnexpectedEOF},
		{"end within a line", "data: a\n\ndat", []string{"a"}, io.ErrUnexpectedEOF},
		{"unknown field", "x: a\n\n", nil, ErrMalformed},
		{"long line", "data: " + strings.Repeat("x", MaxEvent) + "\n\n", nil, ErrTooLong},
		{"long event", strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 300), nil, ErrTooLong},
	}
	for _, tc := range cases {
		for _, src := range []io.Reader{strings.NewReader(tc.in), iotest.OneByteReader(strings.NewReader(tc.in))} {
			got, err := readAll(src)
			if fmt.Sprint(got) != fmt.Sprint(tc.want) || !errors.Is(err, tc.err) {
				t.Errorf("%s: got %q, %v", tc.name, got, err)
			}
		}
	}
}

func readAll(src io.Reader) ([]string, error) {
	r := NewReader(src, nil)
	var out []string
	for {
		data, err := r.Next()
		if err != nil {
			return out, err
		}
		out = append(out, string(data))
	}
}

// TestRelayErrors checks the error of each kind of broken stream.
func TestRelayErrors(t *testing.T) {
	own := `data: {"id":"a","token_index":0}` + "\n\n"
	for in, want := range map[string]error{
		own + `data: {"error":{"code":1},"id":"a","token_index":1}` + "\n\n": ErrTarget,
		own + `data: {"error":null,"id":"a","token_index":2}` + "\n\n":       ErrCut,
		own + "data: [DONE]\n\n": ErrCut,
		own:                      io.EOF,
		own + "data":             io.ErrUnexpectedEOF,
		own + "data: {\n\n":      ErrMalformed,
		strings.Repeat(`data: {"id":"b","token_index":0}`+"\n\n", maxForeignChunks+1): ErrCut,
	} {
		if err := NewRelay("caller", 0, &sink{}).Run(strings.NewReader(in), "a"); !errors.Is(err, want) {
			t.Errorf("%.80q: %v, want %v", in, err, want)
		}
	}
	if err := NewRelay("caller", 0, &sink{err: io.ErrClosedPipe}).Run(strings.NewReader(own), "a"); !errors.Is(err, ErrCaller) {
		t.Error(err)
	}
}

// FuzzSSE checks that for any input, in chunks of any size, the Reader
// terminates and respects its limit. A Relay must forward no token twice, none
// out of order and no end marker before the last token.
func FuzzSSE(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"a\",\"token_index\":0,\"choices\":[{\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"a\",\"token_index\":1}\n\n"))
	f.Add([]byte(": x\r\n\r\ndata:\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		atOnce, err1 := readAll(bytes.NewReader(in))
		byByte, err2 := readAll(iotest.OneByteReader(bytes.NewReader(in)))
		if fmt.Sprint(atOnce) != fmt.Sprint(byByte) || fmt.Sprint(err1) != fmt.Sprint(err2) {
			t.Fatalf("result depends on chunk size: %q, %v and %q, %v", atOnce, err1, byByte, err2)
		}
		out := &sink{}
		r := NewRelay("caller", 0, out)
		err := r.Run(bytes.NewReader(in), "a")
		checkForwarded(t, out.events, r, err)
	})
}

func checkForwarded(t *testing.T, events []string, r *Relay, err error) {
	ended := false
	next := 0
	for _, e := range events {
		if ended {
			t.Fatalf("event %q after the end", e)
		}
		if e == string(endMarker) {
			ended = true
			continue
		}
		var c chunk
		if perr := c.parse([]byte(e)); perr != nil || c.TokenIndex != next {
			t.Fatalf("forwarded %q as token %d", e, next)
		}
		next++
	}
	if ended != (err == nil) || ended && !r.Finished() || next != r.Next() {
		t.Fatalf("ended %v, finished %v, error %v", ended, r.Finished(), err)
	}
}

// blockedCaller blocks each write until it is released and then fails it.
type blockedCaller struct {
	httptest.ResponseRecorder
	release chan struct{}
}

func (b *blockedCaller) Write(p []byte) (int, error) {
	<-b.release
	return 0, http.ErrHandlerTimeout
}

// TestWriterBound covers a caller that stops reading. Events are buffered up to
// the limit, then the engine's side blocks until the write fails and gets that
// error.
func TestWriterBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, size = 1000, 92
		b := &blockedCaller{release: make(chan struct{})}
		var writeErr error
		w := NewWriter(b, limit, time.Second, func(err error) { writeErr = err })
		taken := 0
		result := make(chan error, 1)
		go func() {
			for {
				if err := w.Event(make([]byte, size)); err != nil {
					result <- err
					return
				}
				taken += size
			}
		}()
		synctest.Wait()
		if taken == 0 || taken > limit+size {
			t.Errorf("%d bytes buffered, limit %d", taken, limit)
		}
		close(b.release)
		if err := <-result; !errors.Is(err, http.ErrHandlerTimeout) {
			t.Error(err)
		}
		if err := w.Close(); err == nil || writeErr == nil {
			t.Errorf("close: %v, write error: %v", err, writeErr)
		}
	})
}

// TestWriterWritesAllEventsInOrder checks that all events added before Close
// are written in order.
func TestWriterWritesAllEventsInOrder(t *testing.T) {
	rec := httptest.NewRecorder()
	w := NewWriter(rec, 64, time.Second, func(error) {})
	var want strings.Builder
	for i := range 100 {
		fmt.Fprintf(&want, "data: %d\n\n", i)
		if err := w.Event(fmt.Append(nil, i)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil || rec.Body.String() != want.String() {
		t.Errorf("got %q, %v", rec.Body, err)
	}
	if err := w.Event(nil); !errors.Is(err, errClosed) {
		t.Error(err)
	}
}

// Guards against a daemon that runs out of memory by targets whose events don't end.
func TestEventsAreCharged(t *testing.T) {
	for name, in := range map[string]string{"line": "data: " + strings.Repeat("e", 64<<10), "lines": strings.Repeat("data: e\n", 16<<10)} {
		memory := quota.New(16 << 10)
		account := memory.Open(func(bool) {})
		r := NewReader(strings.NewReader(in), account)
		if _, err := r.Next(); !errors.Is(err, quota.ErrExhausted) {
			t.Errorf("%s: error %v", name, err)
		}
		r.Release()
		if used := memory.Used(); used != 0 {
			t.Errorf("%s: %d bytes are charged after the end", name, used)
		}
	}
}
