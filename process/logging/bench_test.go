package logging

import (
	"io"
	"testing"

	"github.com/apex/log"
)

// countingWriter counts the bytes written to it.
type countingWriter struct{ n int64 }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.n += int64(len(p))
	return len(p), nil
}

// BenchmarkRefusedLine measures the line of a refused request. Under overload most
// requests are refused, and none of their lines is dropped by the limiter.
func BenchmarkRefusedLine(b *testing.B) {
	out := &countingWriter{}
	async := NewAsync(io.Writer(out), 4096)
	logger := &log.Logger{Handler: RequestBypass{Unlimited: async}, Level: log.InfoLevel}
	fields := log.Fields{
		"request": "0aa5c44340d12a2f", "route": "r-xxm9ghy", "service": "llm-desk", "version": 12,
		"code": 1001, "status": 429, "ms": 0, "sends": 0, "targets": "", "failed": true,
		"left_ms": 7850, "predicted_ms": 430, "first_ms": 0, "error": "OVERLOADED the first event would take 430ms",
	}
	b.ReportAllocs()
	for b.Loop() {
		logger.WithFields(fields).Info("ingress: request ended")
	}
	async.Close()
	b.ReportMetric(float64(out.n)/float64(b.N), "bytes/line")
}
