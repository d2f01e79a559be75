package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/pomelospool/pomelospool/process/logging"
	"github.com/pomelospool/pomelospool/version/document"
)

const benchTokens = 32

// benchEngine starts an engine that answers each request with benchTokens
// tokens without delay.
func benchEngine(b testing.TB) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range benchTokens {
			end := "null"
			if i == benchTokens-1 {
				end = `"length"`
			}
			fmt.Fprintf(w, `data: {"id":%q,"token_index":%d,"choices":[{"text":" token","finish_reason":%s}]}`+"\n\n", id, i, end)
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}))
	b.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func postModelRequest(b testing.TB, url string) {
	resp, err := http.Post(url+"/v1/completions", "application/json", strings.NewReader(modelRequest("prompt", benchTokens, true)))
	if err != nil {
		b.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil || n < 1000 {
		b.Fatal(n, err)
	}
}

func BenchmarkDirect(b *testing.B) {
	url := "http://" + benchEngine(b)
	runBenchmark(b, url)
}

func BenchmarkThroughEntry(b *testing.B) {
	runBenchmark(b, newFixture(b, []string{benchEngine(b)}, nil, nil).url)
}

func runBenchmark(b *testing.B, url string) {
	postModelRequest(b, url)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			postModelRequest(b, url)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// maxAllocRatio bounds the ratio of allocations of a request through an Entry,
// client and engine included, to those of a direct request.
const maxAllocRatio = 5.5

// TestAllocationBound guards against a gradual increase of the cost of a
// request. It compares allocations with those of direct requests in the same
// run, since times vary too much.
func TestAllocationBound(t *testing.T) {
	engine := benchEngine(t)
	f := newFixture(t, []string{engine}, nil, nil)
	measure := func(url string) float64 {
		return testing.AllocsPerRun(200, func() { postModelRequest(t, url) })
	}
	direct, through := measure("http://"+engine), measure(f.url)
	t.Logf("allocations a request of %d tokens: %.0f direct, %.0f through the entry", benchTokens, direct, through)
	if through > maxAllocRatio*direct {
		t.Errorf("%.0f allocations, more than %.1f times %.0f", through, maxAllocRatio, direct)
	}
}

// countingWriter counts the lines written to it.
type countingWriter struct{ lines atomic.Int64 }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.lines.Add(int64(bytes.Count(p, []byte("\n"))))
	return len(p), nil
}

// BenchmarkLogInStorm reports the log lines a second when every request fails
// on all targets, and when all requests are refused, each with and without rate
// limiting.
func BenchmarkLogInStorm(b *testing.B) {
	for _, bounded := range []bool{false, true} {
		for name, limit := range map[string]int{"failing": 1000, "refused": 0} {
			b.Run(fmt.Sprintf("%s/bounded=%t", name, bounded), func(b *testing.B) {
				w := &countingWriter{}
				captureLog(b, func(log.Handler) log.Handler {
					if bounded {
						return logging.NewLimiter(logfmt.New(w), logging.Options{})
					}
					return logfmt.New(w)
				})
				s := newScriptedTarget(b, func(c *call) { c.w.WriteHeader(http.StatusInternalServerError) })
				f := newFixture(b, []string{s.addr()}, nil, func(_ *Options, d *document.Document) { d.Limits.QueuePerTarget = limit })
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						f.complete("p", 1)
					}
				})
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
				b.ReportMetric(float64(w.lines.Load())/b.Elapsed().Seconds(), "lines/s")
			})
		}
	}
}
