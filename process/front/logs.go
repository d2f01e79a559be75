package front

import (
	"io"
	stdlog "log"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/process/logging"
	"github.com/pomelospool/pomelospool/process/settings"
)

// The bounds on lines of one message: some 60 requests a second that go well
// are logged whole, and of a storm one line in many.
const (
	linesPerSecond = 60.0
	linesAtOnce    = 200
)

// SetLog has the process's log lines written to w as JSON, without ever
// waiting for its reader. Call the result before the process ends.
func SetLog(s settings.Log, w io.Writer) func() {
	level, err := log.ParseLevel(s.Level)
	if err != nil {
		level = log.InfoLevel
	}
	log.SetLevel(level)
	out := logging.NewAsync(w, logging.DefaultQueueSize)
	limited := logging.NewLimiter(out, logging.Options{Rate: linesPerSecond, Burst: linesAtOnce})
	handler := logging.RequestBypass{Unlimited: out, Limited: limited}
	log.SetHandler(handler)
	stdlog.SetFlags(0)
	stdlog.SetOutput(logging.StdlibWriter{Next: handler})
	return func() {
		limited.Report()
		out.Close()
	}
}
