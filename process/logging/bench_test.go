package logging

import (
	"io"
	"testing"

	"github.com/apex/log"
)

// counting counts the bytes of lines.
type counting struct{ n int64 }

func (c *counting) Write(p []byte) (int, error) {
	c.n += int64(len(p))
	return len(p), nil
}

// BenchmarkRefusedLine is the line of a request that is refused: under overload
// most are, and none of their lines is left out.
func BenchmarkRefusedLine(b *testing.B) {
	out := &counting{}
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
